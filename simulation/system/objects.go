package system

import (
	"fmt"
	"strconv"

	"threadrun/simulation/invariants"
	"threadrun/simulation/network"
)

const firstObject = 0x0b1ec7000000 // the name of object 0, as a number

// objectName returns the name of an object, as clients and routers send it.
func objectName(n int) string { return fmt.Sprintf("%016x", firstObject+n) }

// objectNumber returns the number of the object with a name. It is negative if there is none.
func objectNumber(name string) int {
	n, err := strconv.ParseUint(name, 16, 63)
	if err != nil {
		return -1
	}
	return int(n) - firstObject
}

func (s *Simulation) groupOf(object int) int { return object % s.plan.Groups }

// unixMillis converts a virtual time to milliseconds since the Unix epoch.
func unixMillis(at Micros) int64 { return network.Epoch.UnixMilli() + int64(at/ms) }

// parseMillis parses a number of milliseconds. It returns 0 if text is not a number.
func parseMillis(text string) Micros {
	n, _ := strconv.ParseInt(text, 10, 64)
	return Micros(n) * ms
}

// purge is an issued purge.
type purge struct {
	issuedAt   Micros
	object     int               // negative: the entire group
	group      int               // only if object is negative
	carriedOut map[*machine]bool // whether the machine has carried out the purge
}

// covers reports whether a purge includes an object of a group.
func (p *purge) covers(object, group int) bool {
	if p.object < 0 {
		return p.group == group
	}
	return p.object == object
}

// issuePurge makes discovery announce a purge, which each machine carries out after a random delay. The object is
// negative for an entire group.
func (s *Simulation) issuePurge(object, group int) {
	now := s.world.Now()
	s.purges = append(s.purges, purge{issuedAt: now, object: object, group: group, carriedOut: map[*machine]bool{}})
	index := len(s.purges) - 1
	for _, m := range s.machines {
		// Paused processes are no exception: when one is resumed, it drops the purged copies before it does anything
		// else.
		s.after(Micros(s.world.Random.IntN(int(purgeTakes-100*ms))), func() { s.purges[index].carriedOut[m] = true })
	}
	e := invariants.Event{Kind: invariants.Purged, EffectiveAt: now / ms * ms, Group: group, WholeGroup: object < 0}
	if object < 0 {
		s.discovery.post(fmt.Sprintf(`"recall":{"lot":%d,"issued":%d}`, group, unixMillis(now)), e)
		return
	}
	e.Object = uint64(object)
	s.discovery.post(fmt.Sprintf(`"recall":{"item":%q,"issued":%d}`, objectName(object), unixMillis(now)), e)
}

// isPurged reports whether a machine has carried out a purge that covers a copy.
func (s *Simulation) isPurged(c *cachedCopy, m *machine) bool {
	for i := range s.purges {
		p := &s.purges[i]
		if c.createdAt < p.issuedAt && p.carriedOut[m] && p.covers(c.object, s.groupOf(c.object)) {
			return true
		}
	}
	return false
}
