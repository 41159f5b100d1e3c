package location

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

type named map[shardmap.Key][]directory.Copy

func (n named) CopiesLocated(k shardmap.Key, c []directory.Copy) {
	n[k] = append([]directory.Copy(nil), c...)
}

// After every step: no object is asked for twice at a time or again while what came of it holds, no more than the budget is asked, and no copy
// from before a purge that was heard after the wish is named.
func TestAskedOnceAndNoneThatWasPurged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		got := named{}
		w := New(0, got, DefaultBounds)
		now, no, all := Micros(0), uint32(0), 0
		out := map[uint32]shardmap.Key{}
		answered, purged := map[shardmap.Key]Micros{}, map[shardmap.Key]Micros{}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now += Micros(rapid.IntRange(1, 700).Draw(rt, "pause")) * clock.Millisecond
			k := shardmap.Key(rapid.IntRange(1, 6).Draw(rt, "object"))
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				w.Request(now, k)
			case 1:
				at := now - Micros(rapid.IntRange(0, 500).Draw(rt, "ago"))*clock.Millisecond
				whole := rapid.Bool().Draw(rt, "group")
				w.ObservePurge(now, k, whole, at)
				for _, o := range out {
					if o == k || whole {
						purged[o] = max(purged[o], at)
					}
				}
			case 2:
				w.Tick(now, func(k shardmap.Key, until Micros) (uint32, bool) {
					for _, o := range out {
						if o == k {
							rt.Fatalf("%d is asked for twice at a time", k)
						}
					}
					if at, ok := answered[k]; ok && now-at < DefaultBounds.Nobody {
						rt.Fatalf("%d is asked for again after %d", k, now-at)
					}
					no++
					all++
					purged[k] = 0 // what was heard before the query counts where copies are used, see the module
					out[no] = k
					return no, true
				})
			case 3:
				for n, o := range out {
					row := directory.Record{Key: o}
					for i := range row.Copies {
						row.Copies[i] = directory.Copy{Cache: directory.CacheInstance(i + 1), LastSeen: now - Micros(rapid.IntRange(0, 90).Draw(rt, "seen"))*second,
							CreatedAt: now - Micros(rapid.IntRange(0, 2000).Draw(rt, "born"))*clock.Millisecond}
					}
					delete(got, o)
					if !w.HandleResult(now, n, &scatter.Result{Records: []directory.Record{row}}) {
						rt.Fatal("not taken")
					}
					last := now
					for _, c := range got[o] {
						if purged[o] > 0 && c.CreatedAt <= purged[o] || now-c.LastSeen > DefaultBounds.Seen || c.LastSeen > last {
							rt.Fatalf("%+v is named, purged at %d, now %d", got[o], purged[o], now)
						}
						last = c.LastSeen
					}
					answered[o] = now
					delete(out, n)
					break
				}
			}
			if budget := DefaultBounds.PerS * (1 + now.Seconds()); float64(all) > budget {
				rt.Fatalf("%d asked in %.1f s", all, now.Seconds())
			}
		}
	})
}

// That nobody knows of a copy holds for a while; a wish that could not be asked for in time is dropped; a storm of wishes is bounded.
func TestNobodyKnows(t *testing.T) {
	got := named{}
	w := New(0, got, DefaultBounds)
	asks := 0
	ask := func(shardmap.Key, Micros) (uint32, bool) { asks++; return uint32(asks), true }
	w.Request(0, 5)
	w.Tick(0, ask)
	if !w.HandleResult(second, 1, &scatter.Result{}) || w.HandleResult(second, 1, &scatter.Result{}) {
		t.Fatal("taken twice, or not at all")
	}
	w.Request(2*second, 5)
	w.Tick(2*second, ask)
	w.Request(second+DefaultBounds.Nobody, 5)
	w.Tick(second+DefaultBounds.Nobody, ask)
	if asks != 2 || len(got) > 0 {
		t.Errorf("%d asked, %v", asks, got)
	}
	for k := range 2 * DefaultBounds.Most {
		w.Request(10*second, shardmap.Key(100+k))
	}
	if w.Stats().Left == 0 {
		t.Error("no bound on wishes")
	}
	w.Tick(12*second, ask) // too late for all of them
	if asks != 2 {
		t.Errorf("%d asked", asks)
	}
}
