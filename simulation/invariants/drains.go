package invariants

import "fmt"

// Rule 3: once a router was notified that an endpoint drains or is gone and the grace is over, it sends no new attempts
// there, and does not name the endpoint as the source of a fill.

// checkDrains reports an attempt at, or a fill from, a machine that drains or is gone.
func (c *Checker) checkDrains(e Event) {
	c.checkDrain(e, e.Machine, "an attempt at a machine that drains or is gone")
	if e.Source != e.Machine {
		c.checkDrain(e, e.Source, "a source that drains or is gone")
	}
}

func (c *Checker) checkDrain(e Event, id MachineID, reason string) {
	if id == NoMachine {
		return
	}
	number := c.machine(id).closedBy
	if number == 0 {
		return
	}
	at, known := c.notifiedAt(e.Router, number)
	if !known || e.SentAt <= at+c.settings.DrainGrace+c.settings.Slack {
		return
	}
	reason = fmt.Sprintf("%s, %.3fs after that was known", reason, (e.SentAt - at).Seconds())
	c.violate(3, e.At, e.Request, reason, c.notices[number-1], e)
}
