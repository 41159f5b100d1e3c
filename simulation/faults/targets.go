package faults

// targets draws the targets of a line.
func (g *Generator) targets(kind Kind) []string {
	switch kind {
	case Drain, Remove, Replace:
		return []string{g.restarted(kind)}
	case Purge:
		return []string{g.purged()}
	case Crash, Pause, Partition:
		return []string{g.machine(true)}
	case ClockJump:
		return []string{g.routerOnly()}
	case Shutdown, ExhaustDescriptors:
		return []string{g.router()}
	case Slow, Reject, Fail, HangConnects, Truncate, HalfClose:
		return []string{g.machine(false)}
	case Cut, Throttle, Reset:
		return g.link(func() string { return g.machine(true) })
	case Loss:
		return g.link(g.routerOnly)
	case HotObject:
		return []string{objectName(g.rand.IntN(g.topology.Objects))}
	default:
		return nil
	}
}

func (g *Generator) router() string { return routerName(g.rand.IntN(g.topology.Routers)) }
func (g *Generator) cache() string  { return cacheName(g.rand.IntN(g.topology.Caches)) }
func (g *Generator) parent() string { return parentName(g.rand.IntN(g.topology.Parents)) }

// routerOnly draws a router in place of any machine. It draws a machine as well, so that seeds keep their scripts.
func (g *Generator) routerOnly() string {
	g.machine(true)
	return g.router()
}

// restarted draws a cache or a parent. Only caches are replaced.
func (g *Generator) restarted(kind Kind) string {
	name := g.cache()
	if g.rand.IntN(6) == 0 && kind != Replace {
		return g.parent()
	}
	return name
}

// purged draws a group or one of the more popular objects.
func (g *Generator) purged() string {
	if g.rand.IntN(3) == 0 {
		return groupName(g.rand.IntN(g.topology.Groups))
	}
	return objectName(g.rand.IntN(max(g.topology.Objects/4, 1)))
}

// machine draws a machine, or also a router if routers is true.
func (g *Generator) machine(routers bool) string {
	n := g.rand.IntN(10)
	if g.unweighted {
		n = [...]int{0, 7, 8, 9}[g.rand.IntN(4)]
	}
	switch {
	case routers && n < 4:
		return g.router()
	case n == 8:
		return g.parent()
	case n == 9:
		return Origin
	default:
		return g.cache()
	}
}

// link draws a router and another host, in either order.
func (g *Generator) link(other func() string) []string {
	from := g.router()
	to := from
	for to == from {
		to = other()
	}
	if g.rand.IntN(2) == 0 {
		return []string{to, from}
	}
	return []string{from, to}
}
