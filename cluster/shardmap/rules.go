package shardmap

import (
	"errors"
	"fmt"
)

// Rule is a rule that a map can break.
type Rule uint8

// The rules.
const (
	NoRanges Rule = iota + 1
	EmptyRange
	RangesOutOfOrder
	CoverageGap
	RangesOverlap
	TailUncovered
	InvalidOwner // an index without an owner, or an owner listed twice
	UnknownOwner
	StaleIncarnation
	AbsentOwner
	ReplicaIsOwner     // a replica is the owner, or listed twice
	ReplicaInOwnerZone // the first replica is in the owner's zone although there are others
	Unbalanced
	NotSuccessor
	TooManyMoved
)

var ruleNames = [...]string{
	NoRanges:           "no ranges",
	EmptyRange:         "an empty range",
	RangesOutOfOrder:   "ranges out of order",
	CoverageGap:        "a gap",
	RangesOverlap:      "an overlap",
	TailUncovered:      "the last keys are not covered",
	InvalidOwner:       "an owner that is not listed once",
	UnknownOwner:       "an unknown owner",
	StaleIncarnation:   "an owner of an earlier incarnation",
	AbsentOwner:        "an absent owner",
	ReplicaIsOwner:     "a replica that is the owner or listed twice",
	ReplicaInOwnerZone: "a replica in the owner's zone",
	Unbalanced:         "an owner with too many keys",
	NotSuccessor:       "not a successor of the current map",
	TooManyMoved:       "too many keys moved",
}

func (r Rule) String() string { return ruleNames[r] }

// Transient reports whether a map that breaks the rule may keep it later, once more is known of the owners it names.
func (r Rule) Transient() bool {
	return r == UnknownOwner || r == AbsentOwner || r == StaleIncarnation || r == ReplicaInOwnerZone
}

// ValidationError tells which rule a map breaks, and the first and the last key concerned.
type ValidationError struct {
	Rule        Rule
	First, Last Key
	RangeIndex  int // in the map's Ranges; -1: the rule concerns no single range
}

func (e *ValidationError) Error() string {
	return fmt.Sprintf("%v, keys %016x to %016x", e.Rule, uint64(e.First), uint64(e.Last))
}

// isTransient reports whether a map that was not valid may be valid later.
func isTransient(err error) bool {
	var invalid *ValidationError
	return errors.As(err, &invalid) && invalid.Rule.Transient()
}

// wholeMap is the error of a rule that concerns no single range.
func wholeMap(rule Rule) error { return &ValidationError{rule, 0, LastKey, -1} }

// inRange is the error of a rule that one range breaks.
func inRange(rule Rule, r *Range, index int) error {
	return &ValidationError{rule, r.First, r.Last, index}
}
