package shardmap

import (
	"errors"
	"fmt"
)

// Rule is a validation rule that a map can break.
type Rule uint8

// The rules. Each is named after its violation.
const (
	NoRanges           Rule = iota + 1
	EmptyRange              // the last key of a range is below its first
	RangesOutOfOrder        // the ranges are not sorted by their first keys
	CoverageGap             // no range contains the keys before a range
	RangesOverlap           // two ranges contain the same key
	TailUncovered           // no range contains the highest keys
	InvalidOwner            // an index out of bounds, an owner without an ID, or an owner listed twice
	UnknownOwner            // membership does not know the router
	StaleIncarnation        // the router has restarted since
	AbsentOwner             // the router is not running, or is leaving
	ReplicaIsOwner          // a replica is the owner, or is listed twice
	ReplicaInOwnerZone      // the first replica is in the owner's zone although other zones exist
	Unbalanced              // an owner has more keys than Bounds.MaxImbalance permits
	NotSuccessor            // the version is not higher than the current map's, or the predecessor is not that map
	TooManyMoved            // more keys leave present owners than Bounds.MaxMoved permits
)

var ruleNames = [...]string{
	NoRanges:           "no ranges",
	EmptyRange:         "an empty range",
	RangesOutOfOrder:   "ranges out of order",
	CoverageGap:        "a gap between ranges",
	RangesOverlap:      "overlapping ranges",
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

// Transient reports whether a map that breaks the rule may become valid later without a change: the rule depends on
// membership, of which this router may have an older view than the proposer.
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

// isTransient reports whether err is a violation of a transient rule.
func isTransient(err error) bool {
	var invalid *ValidationError
	return errors.As(err, &invalid) && invalid.Rule.Transient()
}

// mapError returns the error for a violation that concerns the whole map rather than a single range.
func mapError(rule Rule) error { return &ValidationError{rule, 0, LastKey, -1} }

// rangeError returns the error for a violation by the range with the given index.
func rangeError(rule Rule, r *Range, index int) error {
	return &ValidationError{rule, r.First, r.Last, index}
}
