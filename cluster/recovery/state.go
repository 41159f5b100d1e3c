package recovery

import "slices"

// State is how far a router has recovered.
type State uint8

// States, see transitions for their order.
const (
	Joining    State = iota // it does not know yet who is present
	Alone                   // nobody is present to be asked: it goes on with nothing
	Fetching                // it requests records from the others, the most requested first
	CatchingUp              // it has its records, and waits for the purges that it has missed
	Recovered
)

var stateNames = [...]string{"joining", "alone", "fetching", "catching up", "recovered"}

// String names a state for logs.
func (s State) String() string { return stateNames[s] }

// transitions are the states that may follow a state.
var transitions = [...][]State{
	Joining:    {Alone, Fetching},
	Alone:      {Fetching, Recovered},
	Fetching:   {CatchingUp, Alone},
	CatchingUp: {Recovered},
	Recovered:  {},
}

func (s State) mayBecome(to State) bool { return slices.Contains(transitions[s], to) }

// Permissions is what a router may do in a state. It serves requests in all of them, if need be without any records.
type Permissions struct {
	UseEstimates    bool // take request gaps and update rates from records
	UseCopies       bool // name caches by records: a purge that was missed could have made their copies invalid
	ServeRecords    bool // give records to other routers, and save them
	ProposeShardMap bool // propose shard maps
}

var permissions = [...]Permissions{
	Joining:    {},
	Alone:      {ServeRecords: true, ProposeShardMap: true},
	Fetching:   {UseEstimates: true, ProposeShardMap: true},
	CatchingUp: {UseEstimates: true, ProposeShardMap: true},
	Recovered:  {UseEstimates: true, UseCopies: true, ServeRecords: true, ProposeShardMap: true},
}
