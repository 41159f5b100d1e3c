package recovery

import "slices"

// State is the state of a router's recovery.
type State uint8

// The states. The transitions table defines their order.
const (
	Joining    State = iota // the present routers are not known yet
	Alone                   // no other router is present: the router continues with its saved records, if any
	Fetching                // records are being requested from other routers, most requested first
	CatchingUp              // fetching has ended; the router waits for purges that it has missed
	Recovered               // final: recovery is complete, or its timeouts have passed
)

var stateNames = [...]string{"joining", "alone", "fetching", "catching up", "recovered"}

// String returns the state's name for logs.
func (s State) String() string { return stateNames[s] }

// transitions lists the states that may follow each state.
var transitions = [...][]State{
	Joining:    {Alone, Fetching},
	Alone:      {Fetching, Recovered},
	Fetching:   {CatchingUp, Alone},
	CatchingUp: {Recovered},
	Recovered:  {},
}

// mayBecome reports whether a state may follow s.
func (s State) mayBecome(to State) bool { return slices.Contains(transitions[s], to) }

// Permissions says what a router may do in a state. A router serves requests in every state, even without records.
// The Use fields are for simulations only: the router's program uses records and located copies in every state.
type Permissions struct {
	UseEstimates    bool // use request gaps and update rates of records
	UseCopies       bool // use copies named by records, which a missed purge could have invalidated
	ServeRecords    bool // send records to other routers, and save them
	ProposeShardMap bool // propose shard maps if it holds the map lease
}

// permissions lists the permissions of each state.
var permissions = [...]Permissions{
	Joining:    {},
	Alone:      {ServeRecords: true, ProposeShardMap: true},
	Fetching:   {UseEstimates: true, ProposeShardMap: true},
	CatchingUp: {UseEstimates: true, ProposeShardMap: true},
	Recovered:  {UseEstimates: true, UseCopies: true, ServeRecords: true, ProposeShardMap: true},
}
