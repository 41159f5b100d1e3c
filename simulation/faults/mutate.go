package faults

import "slices"

const (
	maxMutatedLines = 40
	maxMutations    = 4
)

// Mutate returns a variant of a script: lines of another script may be added, and a few lines are added, removed, drawn
// again or moved near others.
func (g *Generator) Mutate(s, other Script) Script {
	s = slices.Clone(s)
	if g.rand.IntN(3) == 0 {
		s = g.join(s, other)
	}
	for range 1 + g.rand.IntN(maxMutations) {
		s = g.mutateOnce(s)
	}
	for len(s) > maxMutatedLines {
		i := g.rand.IntN(len(s))
		s = slices.Delete(s, i, i+1)
	}
	s.sort()
	return s
}

// join adds about half the lines of another script.
func (g *Generator) join(s, other Script) Script {
	for _, l := range other {
		if g.rand.IntN(2) == 0 {
			s = append(s, l)
		}
	}
	return s
}

func (g *Generator) mutateOnce(s Script) Script {
	i := g.rand.IntN(max(len(s), 1))
	switch mutation := g.rand.IntN(8); {
	case mutation == 0 && len(s) > 1:
		return slices.Delete(s, i, i+1)
	case mutation == 1 && len(s) > 0:
		s[i] = g.lineOf(s[i].Kind, s[i].At)
	case mutation == 2 && len(s) > 1:
		s[i].At = g.beginningNear(s[g.rand.IntN(len(s))].At)
	case mutation == 3:
		return append(s, g.Line(s))
	default:
		return append(s, g.unweightedLine(s))
	}
	return s
}
