package shardmap

import (
	"errors"
	"fmt"
)

// Rule is a validation rule that a map can break.
type Rule uint8

// The rules.
const (
	NoRanges Rule = iota + 1
	EmptyRange
	RangesOutOfOrder
	CoverageGap
	RangesOverlap
	TailUncovered
	InvalidOwner // an index out of bounds, or an owner listed twice
	UnknownOwner
	StaleIncarnation
	AbsentOwner
	ReplicaIsOwner     // a replica is the owner, or is listed twice
	ReplicaInOwnerZone // the first replica is in the owner's zone although other zones exist
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
	InvalidOwner:       "an invalid owner index, or an owner listed twice",
	UnknownOwner:       "an unknown owner",
	StaleIncarnation:   "an owner of an earlier incarnation",
	AbsentOwner:        "an absent owner",
	ReplicaIsOwner:     "a replica that is the owner or listed twice",
	ReplicaInOwnerZone: "a replica in the owner's zone",
	Unbalanced:         "an owner with too many keys",
	NotSuccessor:       "not a successor of the current map",
	TooManyMoved:       "too many keys moved",
}

// String returns a description of a violation of the rule.
func (r Rule) String() string { return ruleNames[r] }

// Transient reports whether a map that breaks the rule may become valid when more is known about its owners.
func (r Rule) Transient() bool {
	return r == UnknownOwner || r == AbsentOwner || r == StaleIncarnation || r == ReplicaInOwnerZone
}

// ValidationError reports the rule that a map breaks, and the first and last key concerned.
type ValidationError struct {
	Rule        Rule
	First, Last Key
	RangeIndex  int // index into the map's Ranges; -1: no single range is concerned
}

// Error returns the violation and the keys concerned.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("%v, keys %016x to %016x", e.Rule, uint64(e.First), uint64(e.Last))
}

// isTransient reports whether an invalid map may become valid later.
func isTransient(err error) bool {
	var invalid *ValidationError
	return errors.As(err, &invalid) && invalid.Rule.Transient()
}

// mapError returns the error for a rule that concerns no single range.
func mapError(rule Rule) error { return &ValidationError{rule, 0, LastKey, -1} }

// rangeError returns the error for a rule that one range breaks.
func rangeError(rule Rule, r *Range, index int) error {
	return &ValidationError{rule, r.First, r.Last, index}
}
