package invariants

// Settings holds the limits and tolerances of the rules.
type Settings struct {
	DrainGrace   Micros // time after the notification of a drain in which a router may still use the endpoint
	PurgeGrace   Micros // time after the notification of a purge in which attempts may still return older copies
	AbandonGrace Micros // time after a client has left in which attempts of its request may still begin
	Slack        Micros // tolerance added to the client's deadline, to the graces above and to KeyWindow

	DeadlineSlack Micros // by how much the deadline passed on may be later than the client's
	LostAfter     Micros // time after its deadline at which a request without an answer counts as lost

	NotificationTimeout Micros // time in which a router should receive a notice of discovery
	ReconnectGrace      Micros // time after a pause or an outage of discovery for missed notices to arrive

	KeyWindow Micros // time in which machines recognize repeats of a keyed request
	Hedging   bool   // a request may have several attempts at a time

	SlowStart map[MachineID]SlowStart // machines without an entry are not checked for overload
}

// SlowStart describes the load that a machine can take after its start. Its capacity rises linearly from InitialShare
// to all of Capacity within WarmUp.
type SlowStart struct {
	InitialShare     float64 // share of Capacity at the start
	WarmUp           Micros
	OverloadMultiple float64 // more than this multiple of the current capacity within Window is an overload
	Window           Micros
	Capacity         float64 // once warm, in requests of mean size per second
}

// Stats counts what a Checker has observed.
type Stats struct {
	Requests, Succeeded, Rejected, Failed, ClientsLeft int
	Attempts, Executions                               int
	Excused                                            int // requests that got no answer because of an injected fault
}
