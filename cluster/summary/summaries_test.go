package summary

import (
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/directory"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

// The random runs are the same every time.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 400) }

const second = clock.Second

// post is a datagram on its way.
type post struct {
	to int // a reader; -1: the site
	by int
	b  []byte
}

// One site and two readers; datagrams are lost, doubled, overtaken and late by as long as they like. After every step each reader takes the
// site for one that could hold each row that is published, in every way that a query can ask for it.
func TestPublishedRowsAreAlwaysAskedFor(t *testing.T) {
	asked, told := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		site := shardmap.Owner{ID: 5, Incarnation: 1}
		shelf := NewPublisher(site)
		readers := []*Reader{NewReader(), NewReader()}
		rows := map[shardmap.Key]*directory.Record{}
		m := shardmap.Digest(1)
		now := second
		var way []post
		for range rapid.IntRange(5, 80).Draw(rt, "steps") {
			switch rapid.IntRange(0, 8).Draw(rt, "step") {
			case 0, 1:
				k := shardmap.Key(rapid.IntRange(1, 200).Draw(rt, "key"))
				rows[k] = &directory.Record{Key: k, Group: directory.Group(rapid.IntRange(1, 9).Draw(rt, "group")), SizeKB: uint32(10 + k)}
			case 2:
				delete(rows, shardmap.Key(rapid.IntRange(1, 200).Draw(rt, "key")))
			case 3:
				now += Micros(rapid.IntRange(1, 20).Draw(rt, "pause")) * second
			case 4:
				if rapid.IntRange(0, 5).Draw(rt, "map") == 0 {
					m++
				}
			case 5, 6:
				by := rapid.IntRange(0, 1).Draw(rt, "reader")
				readers[by].Tick(now, site, MinLease*Micros(1+by), func(b []byte) { way = append(way, post{-1, by, append([]byte(nil), b...)}) })
			default:
				if len(way) > 0 {
					i := rapid.IntRange(0, len(way)-1).Draw(rt, "datagram")
					x := way[i]
					if rapid.IntRange(0, 3).Draw(rt, "fate") > 0 { // else it comes again later
						way = append(way[:i], way[i+1:]...)
					}
					if x.to >= 0 {
						_ = readers[x.to].Receive(now, x.b)
					} else {
						_ = shelf.Answer(now, x.b, func(b []byte) { way = append(way, post{x.by, 0, append([]byte(nil), b...)}) })
					}
				}
			}
			shelf.Update(now, m, func(f func(*directory.Record)) {
				for _, r := range rows {
					f(r)
				}
			})
			for k, r := range rows {
				if !shelf.Published(now, r) {
					continue
				}
				for _, reader := range readers {
					for _, q := range []Query{{Object: k}, {Group: r.Group}, {MinSizeKB: r.SizeKB, MaxSizeKB: r.SizeKB}, {Object: k, Group: r.Group}} {
						if asked++; !reader.MayMatch(now, site, m, &q) {
							rt.Fatalf("row %v is published, and %+v leaves the site out", k, q)
						}
					}
				}
			}
			for _, reader := range readers {
				if !reader.MayMatch(now, site, m, &Query{Object: 1 << 40}) {
					told++
				}
			}
		}
	})
	if asked < 10_000 || told < 100 {
		t.Errorf("%d looks, %d sites left out by a summary", asked, told)
	}
}

func BenchmarkCould(b *testing.B) {
	shelf, reader := NewPublisher(shardmap.Owner{ID: 5, Incarnation: 1}), NewReader()
	shelf.Update(second, 1, func(f func(*directory.Record)) {
		for i := range 300 {
			f(&directory.Record{Key: shardmap.Key(i+1) << 20, SizeKB: 5})
		}
	})
	for range 20 {
		reader.Tick(second, shardmap.Owner{ID: 5, Incarnation: 1}, MinLease, func(ask []byte) {
			_ = shelf.Answer(second, ask, func(p []byte) { _ = reader.Receive(second, p) })
		})
		reader.sites[shardmap.Owner{ID: 5, Incarnation: 1}].asked = 0
	}
	q := Query{Object: 77}
	b.ReportAllocs()
	for range b.N {
		if reader.MayMatch(second, shardmap.Owner{ID: 5, Incarnation: 1}, 1, &q) {
			b.Fatal("could")
		}
	}
}

// Every history of six steps of one site, two readers and three keys: a row comes, time passes, a reader asks and is answered at once, its
// ask or its answer is late, or what is late comes. No reader ever leaves the site out for a row that is published.
func TestEverySmallHistory(t *testing.T) {
	const steps, kinds = 6, 8
	site := shardmap.Owner{ID: 5, Incarnation: 1}
	all := 1
	for range steps {
		all *= kinds
	}
	published, out := 0, 0
	for code := range all {
		shelf, readers := NewPublisher(site), [2]*Reader{NewReader(), NewReader()}
		var rows []*directory.Record
		var way []post
		now := second
		ask := func(by int, held func(ask []byte)) {
			readers[by].Tick(now, site, MinLease*Micros(1+by), func(b []byte) { held(append([]byte(nil), b...)) })
		}
		answer := func(by int, b []byte, held func(b []byte)) {
			_ = shelf.Answer(now, b, func(b []byte) { held(append([]byte(nil), b...)) })
		}
		for i, c := 0, code; i < steps; i, c = i+1, c/kinds {
			switch what := c % kinds; what {
			case 0: // a row comes
				if len(rows) < 3 {
					k := shardmap.Key(len(rows) + 1)
					rows = append(rows, &directory.Record{Key: k, Group: directory.Group(k), SizeKB: uint32(k) * 100})
				}
			case 1:
				now += Turn + second
			case 2:
				now += MinLease
			case 3, 4: // asked, and answered at once
				by := what - 3
				ask(by, func(b []byte) { answer(by, b, func(b []byte) { _ = readers[by].Receive(now, b) }) })
			case 5: // the answer is late
				ask(0, func(b []byte) { answer(0, b, func(b []byte) { way = append(way, post{0, 0, b}) }) })
			case 6: // the ask is late
				ask(1, func(b []byte) { way = append(way, post{-1, 1, b}) })
			case 7: // what is late comes
				if len(way) > 0 {
					x := way[0]
					way = way[1:]
					if x.to >= 0 {
						_ = readers[x.to].Receive(now, x.b)
					} else {
						answer(x.by, x.b, func(b []byte) { _ = readers[x.by].Receive(now, b) })
					}
				}
			}
			now += askGap
			shelf.Update(now, 1, func(f func(*directory.Record)) {
				for _, r := range rows {
					f(r)
				}
			})
			for _, r := range rows {
				for _, reader := range readers {
					could := reader.MayMatch(now, site, 1, &Query{Object: r.Key})
					if shelf.Published(now, r) {
						if published++; !could {
							t.Fatalf("history %o: row %d is published, and the site is left out", code, r.Key)
						}
					} else if !could {
						out++
					}
				}
			}
		}
	}
	if published < 10_000 || out < 1000 {
		t.Errorf("%d looks at published rows, %d at rows whose site is left out", published, out)
	}
}
