package invariants

// Settings are the figures of the rules.
type Settings struct {
	DrainGrace   Micros // after a router was notified of a drain
	PurgeGrace   Micros // after it was notified of a purge
	AbandonGrace Micros // after a client has left: until then an attempt of its request may still begin
	Slack        Micros // each time limit is longer by this

	DeadlineSlack Micros // the deadline passed on may be later than the client's by this
	LostAfter     Micros // past its deadline, a request without an answer is lost

	NotificationTimeout Micros // an announcement counts as known after this, whether or not it came
	ReconnectGrace      Micros // but not sooner than this after a router that was paused or cut off is back

	KeyWindow Micros // for which the repeats of a keyed request are recognized
	Hedging   bool   // a request may have several attempts at a time

	SlowStart map[MachineID]SlowStart // machines without an entry are not checked
}

// SlowStart says what a machine that has just started can take.
type SlowStart struct {
	InitialShare     float64 // share of Capacity at its start
	WarmUp           Micros  // until it takes all of Capacity
	OverloadMultiple float64 // of what it can take then: more than that within Window overloads it
	Window           Micros
	Capacity         float64 // requests of mean work a second, once warm
}

// Stats are what a Checker has seen.
type Stats struct {
	Requests, Succeeded, Rejected, Failed, ClientsLeft int
	Attempts, Executions                               int
	Excused                                            int // without an answer, and the router is not to blame
}
