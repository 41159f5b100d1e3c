package faults

import (
	"slices"
	"strings"
)

// Kind is a kind of fault.
type Kind uint8

// The kinds. Lines of a kind have a span where they last, and a magnitude where one is named here.
const (
	// Drain has the endpoint list show a machine as draining; after its span it has restarted.
	Drain Kind = iota
	// Remove has it removed from the list, and ends it; after its span it has restarted.
	Remove
	// Replace ends a machine, and another one takes its address.
	Replace
	// Purge purges an object or a group.
	Purge
	// Crash kills a process; after its span there is a new one.
	Crash
	// Pause gives a process no processor time.
	Pause
	// Shutdown asks a router to end; after its span there is a new one.
	Shutdown
	// Partition takes a host off the network, silently.
	Partition
	// Slow makes a machine's work take longer. The magnitude is a factor.
	Slow
	// Reject has a machine reject all it is asked.
	Reject
	// Fail has a machine fail all it is asked.
	Fail
	// HangConnects has connects to a machine neither accepted nor refused.
	HangConnects
	// Truncate has a machine's answers end after their heads.
	Truncate
	// HalfClose has a machine end connections for writing after an answer, and go on reading.
	HalfClose
	// ExhaustDescriptors leaves a router hardly any file descriptor.
	ExhaustDescriptors
	// ClockJump moves a host's wall clock by the span, which may be below 0.
	ClockJump
	// Cut has nothing get from one host to another.
	Cut
	// Loss loses datagrams from one host to another, and duplicates as many. The magnitude is a share.
	Loss
	// Throttle makes a link slow, with small segments.
	Throttle
	// Reset resets connections between two hosts, those of its variant. The magnitude is how many at most.
	Reset
	// DelayDiscovery has events reach discovery late.
	DelayDiscovery
	// FragmentDiscovery has discovery's answers sent in small parts.
	FragmentDiscovery
	// DiscoveryOutage takes discovery off the network.
	DiscoveryOutage
	// LoadSurge raises the request rate. The magnitude is a factor.
	LoadSurge
	// HotObject has half the requests ask for one object.
	HotObject
	// ClientsCancel has clients cancel requests and retry. The magnitude is a share of the requests.
	ClientsCancel
	// LargeWrites makes most requests writes, as large as they may be.
	LargeWrites
	kinds
)

// In the syntax of a kind, a target stands for a name and a variant for one of ResetVariants.
const (
	syntaxTarget  = "*"
	syntaxVariant = "+"
)

// kindSpec is how lines of a kind read.
type kindSpec struct {
	syntax       string
	name         string // in reports
	instant      bool   // it has no span
	hasMagnitude bool
}

var specs = [kinds]kindSpec{
	Drain:              {syntax: "drain *", name: "drain"},
	Remove:             {syntax: "remove *", name: "remove"},
	Replace:            {syntax: "replace *", name: "replace", instant: true},
	Purge:              {syntax: "purge *", name: "purge", instant: true},
	Crash:              {syntax: "* dies", name: "dies"},
	Pause:              {syntax: "* stops", name: "stops"},
	Shutdown:           {syntax: "* leaves", name: "leaves"},
	Partition:          {syntax: "* lost", name: "lost"},
	Slow:               {syntax: "* slow", name: "slow", hasMagnitude: true},
	Reject:             {syntax: "* refuses", name: "refuses"},
	Fail:               {syntax: "* fails", name: "fails"},
	HangConnects:       {syntax: "* hangs", name: "hangs"},
	Truncate:           {syntax: "* halves", name: "halves"},
	HalfClose:          {syntax: "* finishes", name: "finishes"},
	ExhaustDescriptors: {syntax: "* full", name: "full"},
	ClockJump:          {syntax: "* leaps", name: "leaps"},
	Cut:                {syntax: "way * * cut", name: "cut"},
	Loss:               {syntax: "way * * lossy", name: "lossy", hasMagnitude: true},
	Throttle:           {syntax: "way * * narrow", name: "narrow"},
	Reset:              {syntax: "way * * reset +", name: "reset", instant: true, hasMagnitude: true},
	DelayDiscovery:     {syntax: "list late", name: "late list"},
	FragmentDiscovery:  {syntax: "list in pieces", name: "list in pieces"},
	DiscoveryOutage:    {syntax: "list down", name: "no list"},
	LoadSurge:          {syntax: "clients crowd", name: "crowd", hasMagnitude: true},
	HotObject:          {syntax: "clients at *", name: "hot"},
	ClientsCancel:      {syntax: "clients leave", name: "leave", hasMagnitude: true},
	LargeWrites:        {syntax: "clients heavy", name: "heavy"},
}

// The variants of Reset: which connections it is meant for.
const (
	ResetNew  = "new"
	ResetIdle = "idle"
	ResetUsed = "used"
)

// ResetVariants are all of them.
var ResetVariants = [...]string{ResetNew, ResetIdle, ResetUsed}

// HasSpan tells whether a kind's lines have a span.
func (k Kind) HasSpan() bool { return !specs[k].instant }

// HasMagnitude tells whether a kind's lines have a magnitude.
func (k Kind) HasMagnitude() bool { return specs[k].hasMagnitude }

func (k Kind) String() string { return specs[k].name }

// match reads a line's words by a kind's syntax.
func (k Kind) match(words []string) (targets []string, variant string, ok bool) {
	syntax := strings.Fields(specs[k].syntax)
	if len(syntax) != len(words) {
		return nil, "", false
	}
	for i, word := range words {
		switch {
		case syntax[i] == syntaxTarget:
			targets = append(targets, word)
		case syntax[i] == syntaxVariant && slices.Contains(ResetVariants[:], word):
			variant = word
		case syntax[i] != word:
			return nil, "", false
		}
	}
	return targets, variant, true
}
