package shardmap

// State is the state of a map at one router.
type State uint8

// The states of a map.
const (
	None      State = iota
	Proposed        // made by this router
	Fetching        // some pieces are here
	Complete        // all pieces are here and the digest is right; not every owner it names is known well enough yet
	Validated       // it keeps every rule
	Prepared        // this router follows it, and does not serve what it gains yet
	Active          // all routers present follow it
	Retired
	Rejected // it breaks a rule
)

var stateNames = [...]string{
	None:      "none",
	Proposed:  "proposed",
	Fetching:  "fetching",
	Complete:  "complete",
	Validated: "validated",
	Prepared:  "prepared",
	Active:    "active",
	Retired:   "retired",
	Rejected:  "rejected",
}

func (s State) String() string { return stateNames[s] }

// transitions lists the states that may follow each state.
var transitions = [...][]State{
	None:      {Proposed, Fetching},
	Proposed:  {Validated, Rejected},
	Fetching:  {Complete, Rejected, Retired},
	Complete:  {Validated, Rejected, Retired},
	Validated: {Prepared, Retired},
	Prepared:  {Active, Retired},
	Active:    {Retired},
	Rejected:  nil,
}
