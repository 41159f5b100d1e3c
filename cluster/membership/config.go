package membership

import "threadrun/internal/clock"

// Timing says how members are probed.
type Timing struct {
	ProbeInterval  Micros // between the starts of two probes
	AckTimeout     Micros // until an attempt without an ack is repeated
	Attempts       int    // pings of one probe; with the last one other members are asked to ping
	IndirectProbes int    // members that are asked
}

// Suspicion bounds how long a suspect has to refute: MaxTimeout with one accuser, MinTimeout once the given number of
// members have confirmed the accusation independently.
type Suspicion struct {
	MinTimeout, MaxTimeout Micros
	Confirmations          int
}

// Defaults for routers some milliseconds apart.
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
