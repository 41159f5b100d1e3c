package invariants

// Settings are the parameters of the rules.
type Settings struct {
	DrainGrace   Micros // after a router was notified of a drain
	PurgeGrace   Micros // after it was notified of a purge
	AbandonGrace Micros // after a client has left; until then attempts of its request may still begin
	Slack        Micros // tolerance of each time limit

	DeadlineSlack Micros // by which the deadline passed on may be later than the client's
	LostAfter     Micros // past its deadline a request without an answer counts as lost

	NotificationTimeout Micros // after which a router should have received an announcement
	ReconnectGrace      Micros // for a router that was paused or could not reach discovery

	KeyWindow Micros // in which repeats of a keyed request are recognized
	Hedging   bool   // a request may have several attempts at a time

	SlowStart map[MachineID]SlowStart // machines without an entry are not checked
}

// SlowStart is the load that a machine can take after its start.
type SlowStart struct {
	InitialShare     float64 // share of Capacity at its start
	WarmUp           Micros  // until it takes all of Capacity
	OverloadMultiple float64 // of its current capacity; a higher load within Window overloads it
	Window           Micros
	Capacity         float64 // once warm, in requests of mean size a second
}

// Stats counts what a Checker has observed.
type Stats struct {
	Requests, Succeeded, Rejected, Failed, ClientsLeft int
	Attempts, Executions                               int
	Excused                                            int // requests without an answer for which faults are to blame
}
