package shardmap

// State is the state of a map at one router.
type State uint8

// The states of a map.
const (
	None      State = iota // there is no map, or nothing of it has been received
	Proposed               // built by this router, not validated yet
	Fetching               // pieces are being fetched
	Complete               // all pieces have arrived and match the version; not validated yet, or not valid yet
	Validated              // breaks no rule
	Prepared               // this router follows it, but does not serve the ranges it gains from the previous map
	Active                 // all present routers follow it, so this router serves all its ranges
	Retired                // superseded or abandoned
	Rejected               // breaks a rule
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

// transitions lists the states that may follow each state; no state follows Retired or Rejected. It governs
// pendingMap.transition only: the map that a router follows changes from Prepared to Active in Manager.activate.
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
