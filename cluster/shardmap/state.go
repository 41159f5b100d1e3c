package shardmap

// State is the state of a map at one router.
type State uint8

// The states of a map.
const (
	None      State = iota
	Proposed        // made by this router
	Fetching        // pieces are being fetched
	Complete        // all pieces are here and the digest matches; not validated yet, or an owner is unknown
	Validated       // breaks no rule
	Prepared        // this router follows it, but does not serve the ranges it gains
	Active          // all present routers follow it
	Retired
	Rejected // breaks a rule
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

// String returns the state's name for logs.
func (s State) String() string { return stateNames[s] }

// transitions lists the states that may follow each state. The map that a router follows changes from Prepared to
// Active without it: see Manager.adopt.
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
