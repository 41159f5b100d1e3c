package shardmap

import "fmt"

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
	EmptyRange:         "empty range",
	RangesOutOfOrder:   "ranges out of order",
	CoverageGap:        "gap in coverage",
	RangesOverlap:      "overlapping ranges",
	TailUncovered:      "last keys not covered",
	InvalidOwner:       "owner not listed exactly once",
	UnknownOwner:       "unknown owner",
	StaleIncarnation:   "owner of an earlier incarnation",
	AbsentOwner:        "absent owner",
	ReplicaIsOwner:     "replica is the owner or listed twice",
	ReplicaInOwnerZone: "replica in the owner's zone",
	Unbalanced:         "owner with too many keys",
	NotSuccessor:       "not a successor of the current map",
	TooManyMoved:       "too many keys moved",
}

func (r Rule) String() string { return ruleNames[r] }

// Transient tells whether a map that breaks the rule may keep it later, once more is known of the owners it names.
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

// wholeMap is the error of a rule that concerns no single range.
func wholeMap(rule Rule) *ValidationError { return &ValidationError{rule, 0, LastKey, -1} }

// inRange is the error of a rule that one range breaks.
func inRange(rule Rule, r *Range, index int) *ValidationError {
	return &ValidationError{rule, r.First, r.Last, index}
}
