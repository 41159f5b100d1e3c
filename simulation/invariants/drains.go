package invariants

import "fmt"

// Rule 3: once a router has been notified that an endpoint drains or is gone and Settings.DrainGrace has passed, it
// sends no new attempts to the endpoint and does not name it as the source of a fill.

// checkDrains reports an attempt if its machine, or the source of its fill, drains or is gone.
func (c *Checker) checkDrains(e Event) {
	c.checkDrain(e, e.Machine, "an attempt at a machine that drains or is gone")
	if e.Source != e.Machine {
		c.checkDrain(e, e.Source, "a source that drains or is gone")
	}
}

// checkDrain reports an event with a reason if a machine drains or is gone and the router should have known that when
// it sent the attempt.
func (c *Checker) checkDrain(e Event, id MachineID, reason string) {
	if id == NoMachine {
		return
	}
	number := c.machine(id).unusableNotice
	if number == 0 {
		return
	}
	at, ok := c.notifiedAt(e.Router, number)
	if !ok || e.SentAt <= at+c.settings.DrainGrace+c.settings.Slack {
		return
	}
	reason = fmt.Sprintf("%s, %.3fs after the router was notified", reason, (e.SentAt - at).Seconds())
	c.report(3, e.At, e.Request, reason, c.notices[number-1], e)
}
