package purgeaudit

import (
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/directory"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

// The random runs are the same every time.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 0) }

const second = clock.Second

type found []Finding

func (f *found) PurgeAudited(x Finding) { *f = append(*f, x) }

// Purges of few groups, in any order, while the duty to ask comes and goes and results are complete or not: after every step one query is out at
// most, none before its purge has settled, none by a router whose duty it is not; each finding is of the latest purge that was heard of its group, is
// called complete only if the result was, and counts what is older than the purge.
func TestFindings(t *testing.T) {
	complete := 0
	rapid.Check(t, func(rt *rapid.T) {
		var got found
		x := New(0, &got, DefaultBounds)
		now, no, mine := 100*second, uint32(0), true
		heard, latest := map[directory.Group]Micros{}, map[directory.Group]Micros{}
		type query struct {
			g      directory.Group
			before Micros
		}
		out := map[uint32]query{}
		last := Micros(-second)
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			now += Micros(rapid.IntRange(1, 600).Draw(rt, "pause")) * clock.Millisecond
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0:
				g, at := directory.Group(rapid.IntRange(1, 3).Draw(rt, "group")), now-Micros(rapid.IntRange(0, 3000).Draw(rt, "ago"))*clock.Millisecond
				if at > latest[g] {
					heard[g], latest[g] = now, at
				}
				x.ObservePurge(now, g, at)
			case 1:
				mine = rapid.IntRange(0, 3).Draw(rt, "mine") > 0
			case 2:
				for n, q := range out {
					row := directory.Record{Key: 7, Group: q.g}
					row.Copies[0] = directory.Copy{Cache: 5, LastSeen: now, CreatedAt: q.before - second}
					row.Copies[1] = directory.Copy{Cache: 6, LastSeen: now, CreatedAt: q.before + second}
					r := scatter.Result{Records: []directory.Record{row, {Key: shardmap.Key(8)}}, Complete: rapid.Bool().Draw(rt, "complete")}
					was := len(got)
					if !x.HandleResult(now, n, &r) || x.HandleResult(now, n, &r) {
						rt.Fatal("taken twice, or not at all")
					}
					delete(out, n)
					for _, f := range got[was:] {
						if f.Group != q.g || f.PurgedAt != latest[q.g] || f.Complete != r.Complete || f.Objects != 1 || len(f.Caches) != 1 || f.Caches[0].Cache != 5 {
							rt.Fatalf("%+v for %+v", f, q)
						}
						if f.Complete {
							complete++
						}
					}
				}
			default:
				x.Tick(now, mine, func(g directory.Group, before, until Micros) (uint32, bool) {
					if len(out) > 0 || !mine || now-heard[g] < DefaultBounds.Settle || before != latest[g] || until <= now || now-last < DefaultBounds.Gap {
						rt.Fatalf("%d asked for at %d, %d out, heard at %d", g, now, len(out), heard[g])
					}
					last = now
					no++
					out[no] = query{g, before}
					return no, true
				})
			}
		}
	})
	if complete < 20 {
		t.Errorf("%d complete findings", complete)
	}
}

// A router that goes by no map asks in vain and says so; what nobody answers is told as a part; purges over the bound are left.
func TestPartOf(t *testing.T) {
	var got found
	x := New(0, &got, DefaultBounds)
	x.ObservePurge(0, 4, 1)
	for now := Micros(0); now < 5*second; now += 100 * clock.Millisecond {
		x.Tick(now, true, func(directory.Group, Micros, Micros) (uint32, bool) { return 0, false })
	}
	if len(got) != 1 || got[0].Complete || got[0].Group != 4 {
		t.Fatalf("%+v", got)
	}
	for g := range DefaultBounds.Most + 5 {
		x.ObservePurge(6*second, directory.Group(10+g), 6*second)
	}
	if y := x.Stats(); y.Left != 5 || y.PartOf != 1 {
		t.Errorf("%+v", y)
	}
}
