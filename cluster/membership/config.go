package membership

import "threadrun/internal/clock"

// Timing configures the probing of members.
type Timing struct {
	ProbeInterval  Micros // time between the starts of two probes
	AckTimeout     Micros // time without an ack after which a ping is repeated
	Attempts       int    // pings per probe; indirect pings accompany the last one
	IndirectProbes int    // members that are asked for an indirect ping
}

// Suspicion configures how long a suspect has to refute: MaxTimeout with one accuser, down to MinTimeout once
// Confirmations further members have independently confirmed the accusation.
type Suspicion struct {
	MinTimeout, MaxTimeout Micros
	Confirmations          int
}

// Defaults for routers between which a ping takes some milliseconds.
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
