package faults

// drawTargets draws the targets of a line of a kind.
func (g *Generator) drawTargets(kind Kind) []string {
	switch kind {
	case Drain, Remove, Replace:
		return []string{g.drawRestartTarget(kind)}
	case Purge:
		return []string{g.drawPurgeTarget()}
	case Crash, Pause, Partition:
		return []string{g.drawMachine(true)}
	case ClockJump:
		return []string{g.drawRouterAsMachine()}
	case Shutdown, ExhaustDescriptors:
		return []string{g.drawRouter()}
	case Slow, Reject, Fail, HangConnects, Truncate, HalfClose:
		return []string{g.drawMachine(false)}
	case Cut, Throttle, Reset:
		return g.drawLink(func() string { return g.drawMachine(true) })
	case Loss:
		return g.drawLink(g.drawRouterAsMachine)
	case HotObject:
		return []string{objectName(g.rand.IntN(g.topology.Objects))}
	default:
		return nil
	}
}

func (g *Generator) drawRouter() string { return routerName(g.rand.IntN(g.topology.Routers)) }
func (g *Generator) drawCache() string  { return cacheName(g.rand.IntN(g.topology.Caches)) }
func (g *Generator) drawParent() string { return parentName(g.rand.IntN(g.topology.Parents)) }

// drawRouterAsMachine draws a router for kinds that apply only to routers. It also draws a machine and discards
// it: the number of draws must stay the same, so that recorded seeds still give their scripts.
func (g *Generator) drawRouterAsMachine() string {
	g.drawMachine(true)
	return g.drawRouter()
}

// drawRestartTarget draws a cache or a parent as the target of Drain, Remove or Replace. Only caches are replaced.
func (g *Generator) drawRestartTarget(kind Kind) string {
	name := g.drawCache()
	if g.rand.IntN(6) == 0 && kind != Replace {
		return g.drawParent()
	}
	return name
}

// drawPurgeTarget draws a group or one of the first quarter of the objects, which are the more popular ones.
func (g *Generator) drawPurgeTarget() string {
	if g.rand.IntN(3) == 0 {
		return groupName(g.rand.IntN(g.topology.Groups))
	}
	return objectName(g.rand.IntN(max(g.topology.Objects/4, 1)))
}

// drawMachine draws a cache, a parent or the origin, or also a router if includeRouters is true.
func (g *Generator) drawMachine(includeRouters bool) string {
	n := g.rand.IntN(10)
	if g.unweighted {
		n = [...]int{0, 7, 8, 9}[g.rand.IntN(4)] // a router (or else a cache), a cache, a parent, the origin
	}
	switch {
	case includeRouters && n < 4:
		return g.drawRouter()
	case n == 8:
		return g.drawParent()
	case n == 9:
		return Origin
	default:
		return g.drawCache()
	}
}

// drawLink draws a router and a different host, which drawOther draws, in either order.
func (g *Generator) drawLink(drawOther func() string) []string {
	from := g.drawRouter()
	to := from
	for to == from {
		to = drawOther()
	}
	if g.rand.IntN(2) == 0 {
		return []string{to, from}
	}
	return []string{from, to}
}
