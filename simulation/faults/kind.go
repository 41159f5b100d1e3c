package faults

import (
	"slices"
	"strings"
)

// Kind is a kind of fault.
type Kind uint8

// The kinds of faults. Kinds whose faults last have a span; the comments say which kinds have a magnitude. Scripts
// refer to a kind by its words in specs.
const (
	// Drain makes discovery list a machine as draining; the machine restarts after the span.
	Drain Kind = iota
	// Remove removes a machine from the endpoint list and stops it; the machine restarts after the span.
	Remove
	// Replace stops a machine, and starts another one with a new name at its address.
	Replace
	// Purge purges an object or a group.
	Purge
	// Crash kills a process without notice; a new process starts after the span.
	Crash
	// Pause suspends a process.
	Pause
	// Shutdown shuts a router down gracefully; a new process starts after the span.
	Shutdown
	// Partition drops all packets from and to a host.
	Partition
	// Slow slows a machine's work down. The magnitude is a factor.
	Slow
	// Reject makes a machine reject all attempts and fills.
	Reject
	// Fail makes a machine fail all attempts and fills.
	Fail
	// HangConnects makes a machine neither accept nor refuse connections, so that connects time out.
	HangConnects
	// Truncate makes a machine send only the first bytes of its answers.
	Truncate
	// HalfClose makes a machine close connections for writing after an answer, and continue to read from them.
	HalfClose
	// ExhaustDescriptors limits a router's file descriptors to those that it uses.
	ExhaustDescriptors
	// ClockJump moves a host's wall clock by the span, which may be negative.
	ClockJump
	// Cut drops all packets from one host to another. Packets in the other direction pass.
	Cut
	// Loss drops a share of the datagrams from one host to another and duplicates as many. The magnitude is the share.
	Loss
	// Throttle limits the rate of the link from one host to another, and splits what is sent into small segments.
	Throttle
	// Reset resets those connections between two hosts that its variant selects. The magnitude is the maximum number of
	// connections.
	Reset
	// DelayDiscovery delays the events that reach discovery.
	DelayDiscovery
	// FragmentDiscovery makes discovery send its answers in several small parts.
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
	numKinds // not a kind
)

// Placeholders in the syntax of a kind.
const (
	syntaxTarget  = "*" // the name of a target
	syntaxVariant = "+" // one of ResetVariants
)

// kindSpec describes the lines of a kind.
type kindSpec struct {
	syntax       string // the words between the time and the magnitude or span
	name         string // in reports
	instant      bool   // lines have no span
	hasMagnitude bool
}

// specs describes all kinds. The words and names are part of the syntax of scripts and of reports, and differ from
// the names of the constants.
var specs = [numKinds]kindSpec{
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

// The variants of Reset, by the connections that they select.
const (
	ResetNew  = "new"  // connections that are not established yet
	ResetIdle = "idle" // established connections without unread or unsent bytes
	ResetUsed = "used" // all established connections
)

// ResetVariants lists the variants of Reset.
var ResetVariants = [...]string{ResetNew, ResetIdle, ResetUsed}

// HasSpan reports whether a kind's lines have a span.
func (k Kind) HasSpan() bool { return !specs[k].instant }

// HasMagnitude reports whether a kind's lines have a magnitude.
func (k Kind) HasMagnitude() bool { return specs[k].hasMagnitude }

func (k Kind) String() string { return specs[k].name }

// match parses the words of a line, without time, magnitude and span, by a kind's syntax. ok is false if the line is
// of another kind.
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
