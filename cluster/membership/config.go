package membership

import "threadrun/internal/clock"

// Timing configures the probing of members.
type Timing struct {
	ProbeInterval  Micros // time between the starts of two probes
	AckTimeout     Micros // time without an ack after which a ping is repeated, if this router is not slow
	Attempts       int    // pings per probe; indirect pings are requested with the last one
	IndirectProbes int    // number of members that are asked for an indirect ping
}

// Suspicion configures how long a suspect has to refute: MaxTimeout with one accuser, and less with each further
// member that accuses it independently, down to MinTimeout with Confirmations further members.
type Suspicion struct {
	MinTimeout, MaxTimeout Micros
	Confirmations          int
}

// Defaults for networks in which a ping takes some milliseconds.
var (
	DefaultTiming = Timing{
		ProbeInterval:  150 * clock.Millisecond,
		AckTimeout:     75 * clock.Millisecond,
		Attempts:       3,
		IndirectProbes: 3,
	}
	DefaultSuspicion = Suspicion{
		MinTimeout:    700 * clock.Millisecond,
		MaxTimeout:    2400 * clock.Millisecond,
		Confirmations: 3,
	}
)
