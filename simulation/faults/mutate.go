package faults

import "slices"

const (
	maxMutatedLines = 40 // random lines of a longer script are removed
	maxMutations    = 4  // calls of mutateOnce for one script
)

// Mutate returns a changed copy of a script: lines of another script may be added, and a few lines are added,
// removed, drawn again or moved near others. Neither script is changed.
func (g *Generator) Mutate(s, other Script) Script {
	s = slices.Clone(s)
	if g.rand.IntN(3) == 0 {
		s = g.addLinesOf(s, other)
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

// addLinesOf adds each line of another script with a probability of one half.
func (g *Generator) addLinesOf(s, other Script) Script {
	for _, l := range other {
		if g.rand.IntN(2) == 0 {
			s = append(s, l)
		}
	}
	return s
}

// mutateOnce removes, redraws, moves or adds one line. Half of the draws, and those that don't apply to a short
// script, add an unweighted line.
func (g *Generator) mutateOnce(s Script) Script {
	i := g.rand.IntN(max(len(s), 1))
	switch mutation := g.rand.IntN(8); {
	case mutation == 0 && len(s) > 1:
		return slices.Delete(s, i, i+1)
	case mutation == 1 && len(s) > 0:
		s[i] = g.drawLineOf(s[i].Kind, s[i].At)
	case mutation == 2 && len(s) > 1:
		s[i].At = g.drawStartNear(s[g.rand.IntN(len(s))].At)
	case mutation == 3:
		return append(s, g.Line(s))
	default:
		return append(s, g.drawUnweightedLine(s))
	}
	return s
}
