package faults

import (
	"slices"
	"strings"
)

// Kind is a kind of fault.
type Kind uint8

// The kinds. A fault that lasts has a span; some kinds have a magnitude, as documented here.
const (
	// Drain makes discovery list a machine as draining; after the span it restarts.
	Drain Kind = iota
	// Remove removes a machine from the endpoint list and stops it; after the span it restarts.
	Remove
	// Replace stops a machine, and another one takes over its address.
	Replace
	// Purge purges an object or a group.
	Purge
	// Crash kills a process; after the span a new one starts.
	Crash
	// Pause suspends a process.
	Pause
	// Shutdown shuts a router down gracefully; after the span a new process starts.
	Shutdown
	// Partition drops all packets from and to a host.
	Partition
	// Slow slows a machine's work down. The magnitude is a factor.
	Slow
	// Reject makes a machine reject all attempts and fills.
	Reject
	// Fail makes a machine fail all attempts and fills.
	Fail
	// HangConnects makes a machine neither accept nor refuse connections.
	HangConnects
	// Truncate cuts a machine's answers off after their first bytes.
	Truncate
	// HalfClose makes a machine close connections for writing after an answer, and continue to read.
	HalfClose
	// ExhaustDescriptors leaves a router hardly any file descriptors.
	ExhaustDescriptors
	// ClockJump moves a host's wall clock by the span, which may be negative.
	ClockJump
	// Cut drops all packets from one host to another.
	Cut
	// Loss drops a share of the datagrams from one host to another and duplicates as many. The magnitude is the share.
	Loss
	// Throttle limits the rate of a link, and splits what is sent into small segments.
	Throttle
	// Reset resets connections between two hosts, selected by its variant. The magnitude is the maximum number.
	Reset
	// DelayDiscovery delays the events that reach discovery.
	DelayDiscovery
	// FragmentDiscovery makes discovery send its answers in small parts.
	FragmentDiscovery
	// DiscoveryOutage drops all packets from and to discovery.
	DiscoveryOutage
	// LoadSurge raises the request rate. The magnitude is a factor.
	LoadSurge
	// HotObject makes half of the requests ask for one object.
	HotObject
	// ClientsCancel makes clients cancel requests and retry them. The magnitude is a share of the requests.
	ClientsCancel
	// LargeWrites makes most requests writes of nearly the maximum size.
	LargeWrites
	kinds
)

// Placeholders in the syntax of a kind, for a target's name and for one of ResetVariants.
const (
	syntaxTarget  = "*"
	syntaxVariant = "+"
)

// kindSpec describes the lines of a kind.
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

// The variants of Reset: which connections it selects.
const (
	ResetNew  = "new"
	ResetIdle = "idle"
	ResetUsed = "used"
)

// ResetVariants lists the variants of Reset.
var ResetVariants = [...]string{ResetNew, ResetIdle, ResetUsed}

// HasSpan reports whether a kind's lines have a span.
func (k Kind) HasSpan() bool { return !specs[k].instant }

// HasMagnitude reports whether a kind's lines have a magnitude.
func (k Kind) HasMagnitude() bool { return specs[k].hasMagnitude }

func (k Kind) String() string { return specs[k].name }

// match parses a line's words by a kind's syntax.
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
