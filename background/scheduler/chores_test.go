package scheduler

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/lease"
	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 20261201, 0) }

const (
	ms     = clock.Millisecond
	second = clock.Second
)

func work(t interface{ Fatal(...any) }, key int) lease.Task {
	w, err := lease.NewTask(lease.Refresh, uint64(key), true)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func anywhere(*Job) (Route, Verdict) { return Route{Cache: -1, Parent: -1}, Run }

// Against a plain model, after every step: what goes is what a look at all chores would choose, nothing goes before its
// time, past its use, twice at once or while visits are pressed, no account is overdrawn and no list grows past its bound.
func TestAgainstPlainModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		classes := []Class{{Name: "a", Priority: 2, MaxQueued: 5, MaxAttempts: 3, Backoff: 300 * ms},
			{Name: "b", Priority: 1, MaxQueued: 8, MaxAttempts: 1, Backoff: 100 * ms}}
		ways := PathBudgets{}
		bounded := rapid.Bool().Draw(rt, "bounded")
		if bounded {
			classes[0].Budget = Budget{OperationsPerSecond: 3, KBPerSecond: 400, Concurrent: 2}
			ways = PathBudgets{Cache: Budget{OperationsPerSecond: 2, Concurrent: 1}, Link: Budget{OperationsPerSecond: 4}, Origin: Budget{KBPerSecond: 300}}
		}
		s := New(0, 3, classes, ways, func(string) {})
		sends := map[place][]Micros{}
		var outs []JobID
		now, pressedAt, pressed := Micros(0), -second, false
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now += Micros(rapid.IntRange(1, 600).Draw(rt, "pause")) * ms
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1:
				key := rapid.IntRange(0, 15).Draw(rt, "key")
				c := Job{Task: work(rt, key), Class: ClassID(rapid.IntRange(0, 1).Draw(rt, "class")), SizeKB: 100}
				c.NotBefore = now + Micros(rapid.IntRange(-500, 500).Draw(rt, "from"))*ms
				c.Due = c.NotBefore + Micros(rapid.IntRange(0, 2000).Draw(rt, "due"))*ms
				c.Expires = c.Due + Micros(rapid.IntRange(0, 3000).Draw(rt, "until"))*ms
				err := s.Submit(now, c)
				if past := c.Expires <= now || c.NotBefore >= c.Expires; past != errors.Is(err, ErrExpired) {
					rt.Fatalf("put until %d at %d: %v", c.Expires, now, err)
				}
			case 2:
				pressed = !pressed
				if s.SetPressure(now, pressed); pressed {
					pressedAt = now
				}
			case 3:
				if len(outs) > 0 {
					i := rapid.IntRange(0, len(outs)-1).Draw(rt, "which")
					s.Ended(now, outs[i], Result(rapid.IntRange(0, 2).Draw(rt, "result")))
					outs = append(outs[:i], outs[i+1:]...)
				}
			case 4:
				s.Sweep(now)
			default:
				route := Route{Cache: int32(rapid.IntRange(0, 2).Draw(rt, "cache")), Parent: -1, Link: true, Origin: rapid.Bool().Draw(rt, "origin")}
				before := s.snapshot()
				ticket, c, _, ok := s.Next(now, func(*Job) (Route, Verdict) { return route, Run })
				if !ok {
					if !bounded && !pressed && now-pressedAt > 20*second && best(before, now) != nil && s.classes[0].flow == BreakerClosed && s.classes[1].flow == BreakerClosed {
						rt.Fatal("nothing goes, though something could")
					}
					break
				}
				if pressed || now-pressedAt < calmFirst && pressedAt >= 0 {
					rt.Fatal("it goes while visits are pressed")
				}
				if c.NotBefore > now || c.Expires <= now {
					rt.Fatalf("a chore of %d to %d goes at %d", c.NotBefore, c.Expires, now)
				}
				for _, o := range outs {
					if o == ticket {
						rt.Fatal("one ticket twice")
					}
				}
				if x := best(before, now); !bounded && s.classes[0].flow == BreakerClosed && s.classes[1].flow == BreakerClosed && x.Task != c.Task {
					rt.Fatalf("%+v goes, not %+v", c, x.Job)
				}
				outs = append(outs, ticket)
				route.at(func(p place) { sends[p] = append(sends[p], now) })
			}
			for i, k := range s.classes {
				if k.held() > k.MaxQueued {
					rt.Fatalf("class %d holds %d", i, k.held())
				}
				out := 0
				for _, x := range s.outs {
					if int(x.Class) == i {
						out++
					}
				}
				if out != k.account.out || k.Budget.Concurrent > 0 && out > k.Budget.Concurrent {
					rt.Fatalf("class %d: %d out, counted %d", i, out, k.account.out)
				}
			}
			for _, x := range s.byWork {
				if (x.state == Ready) != has(s.classes[x.Class].ready, x) || (x.state == Waiting || x.state == BackingOff) != has(s.classes[x.Class].waiting, x) {
					rt.Fatalf("a chore in state %d stands on the wrong list", x.state)
				}
			}
			for p, at := range sends {
				rate := s.ways[p.kind].OperationsPerSecond
				for i := range at {
					if n := float64(len(at) - i); rate > 0 && n > rate*(now-at[i]).Seconds()+max(rate, 1)+0.01 {
						rt.Fatalf("%v: %v works in %v s", p, n, (now - at[i]).Seconds())
					}
				}
			}
		}
	})
}

func has(list interface{ Get(*item) (*item, bool) }, x *item) bool {
	y, ok := list.Get(x)
	return ok && x == y
}

// snapshot copies all chores with the class figures that a choice rests on.
func (s *Scheduler) snapshot() []seen {
	var out []seen
	for i, c := range s.classes {
		add := func(x *item) bool {
			out = append(out, seen{*x, float64(c.Priority), c.since, i})
			return true
		}
		c.ready.Scan(add)
		c.waiting.Scan(add)
	}
	return out
}

type seen struct {
	item
	priority float64
	since    Micros
	class    int
}

// best is what a look at all of them would choose: the class of the highest worth, in it the earliest due.
func best(all []seen, now Micros) *seen {
	var top *seen
	worth := func(x *seen) float64 {
		since := x.since
		if x.state != Ready { // its class may have had none
			fresh := true
			for i := range all {
				fresh = fresh && !(all[i].class == x.class && all[i].state == Ready)
			}
			if fresh {
				since = now
			}
		}
		return x.priority + float64(now-since)/float64(rises)
	}
	for i := range all {
		x := &all[i]
		if x.NotBefore > now || x.Expires <= now {
			continue
		}
		if top == nil || worth(x) > worth(top) || x.class == top.class && byDue(&x.item, &top.item) {
			top = x
		}
	}
	return top
}

// A low class is not starved: with the high one always ready, it goes now and then.
func TestLowClassesAge(t *testing.T) {
	s := New(0, 1, []Class{{Name: "high", Priority: 3, MaxQueued: 100}, {Name: "low", Priority: 1, MaxQueued: 100}}, PathBudgets{}, func(string) {})
	key, low, longest, last := 0, 0, Micros(0), Micros(0)
	for now := Micros(0); now < 100*second; now += 100 * ms {
		for c := range 2 {
			key++
			_ = s.Submit(now, Job{Task: work(t, key), Class: ClassID(c), Due: now + second, Expires: now + 60*second})
		}
		ticket, c, _, ok := s.Next(now, anywhere)
		if !ok {
			t.Fatal("nothing goes")
		}
		if c.Class == 1 {
			low++
			longest, last = max(longest, now-last), now
		}
		s.Ended(now, ticket, Succeeded)
	}
	if low < 5 || low > 200 || longest > 3*rises {
		t.Errorf("the low class went %d times, the longest wait %v ms", low, longest.Millis())
	}
}

// A storm of failures stops its class, and no other; one that goes well opens it again.
func TestStorm(t *testing.T) {
	var lines []string
	s := New(0, 1, []Class{{Name: "bad", Priority: 2, MaxQueued: 500, MaxAttempts: 3, Backoff: 50 * ms}, {Name: "good", Priority: 1, MaxQueued: 500}},
		PathBudgets{}, func(l string) { lines = append(lines, l) })
	sent := [2]int{}
	for i := range 400 {
		_ = s.Submit(0, Job{Task: work(t, i), Class: ClassID(i % 2), Due: Micros(i) * ms, Expires: 1000 * second})
	}
	now := Micros(0)
	for ; now < 10*second; now += 20 * ms {
		if ticket, c, _, ok := s.Next(now, anywhere); ok {
			sent[c.Class]++
			r := Succeeded
			if c.Class == 0 {
				r = Failed
			}
			s.Ended(now, ticket, r)
		}
	}
	if sent[0] > 20 || sent[1] < 150 || s.Breaker(0) == BreakerClosed || s.Stats(0).Stops < 2 {
		t.Errorf("%d of the failing class went, %d of the other, it is %v after %d storms", sent[0], sent[1], s.Breaker(0), s.Stats(0).Stops)
	}
	for ; s.Breaker(0) != BreakerClosed && now < 100*second; now += 20 * ms {
		if ticket, _, _, ok := s.Next(now, anywhere); ok {
			s.Ended(now, ticket, Succeeded)
		}
	}
	if s.Breaker(0) != BreakerClosed || len(lines) < 3 {
		t.Errorf("still %v; %q", s.Breaker(0), lines)
	}
}

// Overload for a minute with a full queue: nothing goes, what is past its use is dropped, and after it there is no volley.
func TestOverloadWithAFullQueue(t *testing.T) {
	s := New(0, 1, []Class{{Name: "a", MaxQueued: 300, Budget: Budget{OperationsPerSecond: 10}}}, PathBudgets{}, func(string) {})
	s.SetPressure(0, true)
	for now := Micros(0); now < 60*second; now += 20 * ms {
		for i := range 10 {
			key := int(now/ms)*10 + i
			_ = s.Submit(now, Job{Task: work(t, key), Due: now + second, Expires: now + 8*second})
		}
		s.SetPressure(now, now%second != 0) // it eases for a moment now and then
		if _, _, _, ok := s.Next(now, anywhere); ok {
			t.Fatal("work goes in overload")
		}
		if s.Queued() > 300 || len(s.byWork) > 300 {
			t.Fatalf("%d wait", s.Queued())
		}
	}
	s.SetPressure(60*second, false)
	first, sent := Micros(0), 0
	for now := 60 * second; now < 75*second; now += 20 * ms {
		if ticket, c, _, ok := s.Next(now, anywhere); ok {
			if first == 0 {
				first = now
			}
			if sent++; c.Expires <= now {
				t.Fatal("what is past its use goes")
			}
			s.Ended(now, ticket, Succeeded)
		}
		s.Sweep(now)
	}
	if wait := first - 60*second; wait < calmFirst || wait > calmMost+second || sent > 10*8+10 {
		t.Errorf("after %v ms, %d in 15 s", wait.Millis(), sent)
	}
	if ta := s.Stats(0); ta.DroppedExpired == 0 || ta.DroppedFull == 0 || s.Yields() != 1 {
		t.Errorf("%+v, %d yields", ta, s.Yields())
	}
}

// Work that was never let in can't be handed in, and an end that never comes frees its place.
func TestPutAndLost(t *testing.T) {
	s := New(0, 1, []Class{{Name: "a", Budget: Budget{Concurrent: 1}, MaxQueued: 3}}, PathBudgets{}, func(string) {})
	if err := s.Submit(0, Job{Expires: second}); !errors.Is(err, ErrInvalidTask) {
		t.Error(err)
	}
	if err := s.Submit(0, Job{Task: work(t, 1), Class: 3, Expires: second}); !errors.Is(err, ErrUnknownClass) {
		t.Error(err)
	}
	_ = s.Submit(0, Job{Task: work(t, 1), Expires: second})
	_ = s.Submit(0, Job{Task: work(t, 2), Expires: 100 * second})
	ticket, _, _, _ := s.Next(1, anywhere)
	if _, _, _, ok := s.Next(2, anywhere); ok {
		t.Error("two out where one may be")
	}
	s.Sweep(second + lost + 1)
	if _, _, _, ok := s.Next(second+lost+2, anywhere); !ok {
		t.Error("the place of the lost one was not freed")
	}
	s.Ended(second+lost+3, ticket, Succeeded) // it comes after all, and is nobody's
	if ta := s.Stats(0); ta.Succeeded != 0 || ta.Running != 1 {
		t.Errorf("%+v", ta)
	}
}

func BenchmarkPutAndTake(b *testing.B) {
	s := New(0, 1, []Class{{Name: "a", MaxQueued: 1024, Budget: Budget{OperationsPerSecond: 1e9}}}, PathBudgets{Cache: Budget{OperationsPerSecond: 1e9}}, func(string) {})
	works := make([]lease.Task, 1024)
	for i := range works {
		works[i], _ = lease.NewTask(lease.Refresh, uint64(i), true)
		_ = s.Submit(0, Job{Task: works[i], Due: Micros(i), Expires: 1 << 60})
	}
	where := func(*Job) (Route, Verdict) { return Route{Cache: 3, Parent: -1}, Run }
	b.ReportAllocs()
	for i := range b.N {
		ticket, c, _, _ := s.Next(Micros(i), where)
		s.Ended(Micros(i), ticket, Succeeded)
		_ = s.Submit(Micros(i), Job{Task: c.Task, Due: Micros(i) + second, Expires: 1 << 60})
	}
}
