package scheduler

import (
	"errors"
	"log/slog"
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

func newTask(t interface{ Fatal(...any) }, key int) lease.Task {
	task, err := lease.NewTask(lease.Refresh, uint64(key), true)
	if err != nil {
		t.Fatal(err)
	}
	return task
}

func ignoreLog(string, ...slog.Attr) {}

func anywhere(*Job) (Route, Verdict) { return Route{Cache: -1, Parent: -1}, Run }

// Compares the Scheduler with a simple model after every step: the next job must be the one that a search of all
// jobs would choose; no job may run too early, after its expiry, twice at a time or while requests are under
// pressure; no budget may be exceeded and no queue may exceed its limit.
func TestAgainstPlainModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		classes := []Class{{Name: "a", Priority: 2, MaxQueued: 5, MaxAttempts: 3, Backoff: 300 * ms},
			{Name: "b", Priority: 1, MaxQueued: 8, MaxAttempts: 1, Backoff: 100 * ms}}
		budgets := PathBudgets{}
		bounded := rapid.Bool().Draw(rt, "bounded")
		if bounded {
			classes[0].Budget = Budget{OperationsPerSecond: 3, KBPerSecond: 400, Concurrent: 2}
			budgets = PathBudgets{
				Cache:  Budget{OperationsPerSecond: 2, Concurrent: 1},
				Link:   Budget{OperationsPerSecond: 4},
				Origin: Budget{KBPerSecond: 300},
			}
		}
		s := New(0, 3, classes, budgets, ignoreLog)
		sends := map[resource][]Micros{}
		var running []JobID
		now, pressedAt, pressed := Micros(0), -second, false
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now += Micros(rapid.IntRange(1, 600).Draw(rt, "pause")) * ms
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1:
				key := rapid.IntRange(0, 15).Draw(rt, "key")
				c := Job{Task: newTask(rt, key), Class: ClassID(rapid.IntRange(0, 1).Draw(rt, "class")), SizeKB: 100}
				c.NotBefore = now + Micros(rapid.IntRange(-500, 500).Draw(rt, "from"))*ms
				c.Due = c.NotBefore + Micros(rapid.IntRange(0, 2000).Draw(rt, "due"))*ms
				c.Expires = c.Due + Micros(rapid.IntRange(0, 3000).Draw(rt, "until"))*ms
				err := s.Submit(now, c)
				if past := c.Expires <= now || c.NotBefore >= c.Expires; past != errors.Is(err, ErrExpired) {
					rt.Fatalf("submit of a job that expires %d at %d: %v", c.Expires, now, err)
				}
			case 2:
				pressed = !pressed
				if s.SetPressure(now, pressed); pressed {
					pressedAt = now
				}
			case 3:
				if len(running) > 0 {
					i := rapid.IntRange(0, len(running)-1).Draw(rt, "which")
					s.Ended(now, running[i], Result(rapid.IntRange(0, 2).Draw(rt, "result")))
					running = append(running[:i], running[i+1:]...)
				}
			case 4:
				s.Sweep(now)
			default:
				route := Route{
					Cache:  int32(rapid.IntRange(0, 2).Draw(rt, "cache")),
					Parent: -1,
					Link:   true,
					Origin: rapid.Bool().Draw(rt, "origin"),
				}
				before := s.snapshot()
				id, c, _, ok := s.Next(now, func(*Job) (Route, Verdict) { return route, Run })
				if !ok {
					if !bounded && !pressed && now-pressedAt > 20*second && best(before, now) != nil &&
						s.classes[0].breaker.state == BreakerClosed &&
						s.classes[1].breaker.state == BreakerClosed {
						rt.Fatal("no job runs although one could")
					}
					break
				}
				if pressed || now-pressedAt < minHoldOff && pressedAt >= 0 {
					rt.Fatal("a job runs under pressure")
				}
				if c.NotBefore > now || c.Expires <= now {
					rt.Fatalf("a job of %d to %d runs at %d", c.NotBefore, c.Expires, now)
				}
				for _, o := range running {
					if o == id {
						rt.Fatal("an id is used twice")
					}
				}
				if x := best(before, now); !bounded && s.classes[0].breaker.state == BreakerClosed &&
					s.classes[1].breaker.state == BreakerClosed &&
					x.Task != c.Task {
					rt.Fatalf("job %+v runs, want %+v", c, x.Job)
				}
				running = append(running, id)
				route.eachResource(func(p resource) { sends[p] = append(sends[p], now) })
			}
			for i, k := range s.classes {
				if k.queued() > k.MaxQueued {
					rt.Fatalf("class %d has %d queued jobs", i, k.queued())
				}
				out := 0
				for _, job := range s.runningJobs {
					if int(job.Class) == i {
						out++
					}
				}
				if out != k.account.running || k.Budget.Concurrent > 0 && out > k.Budget.Concurrent {
					rt.Fatalf("class %d: %d jobs are running, %d are counted", i, out, k.account.running)
				}
			}
			for _, job := range s.byTask {
				if (job.state == Ready) != has(s.classes[job.Class].ready, job) ||
					(job.state == Waiting || job.state == BackingOff) != has(s.classes[job.Class].waiting, job) {
					rt.Fatalf("a job in state %d is in the wrong queue", job.state)
				}
			}
			for p, at := range sends {
				rate := s.budgets[p.kind].OperationsPerSecond
				for i := range at {
					if n := float64(len(at) - i); rate > 0 && n > rate*(now-at[i]).Seconds()+max(rate, 1)+0.01 {
						rt.Fatalf("%v: %v operations in %v s", p, n, (now - at[i]).Seconds())
					}
				}
			}
		}
	})
}

func has(list interface {
	Get(*queuedJob) (*queuedJob, bool)
}, x *queuedJob) bool {
	y, ok := list.Get(x)
	return ok && x == y
}

// snapshot copies all jobs, with the values of their classes on which the choice depends.
func (s *Scheduler) snapshot() []seen {
	var out []seen
	for i, c := range s.classes {
		add := func(x *queuedJob) bool {
			out = append(out, seen{*x, float64(c.Priority), c.readySince, i})
			return true
		}
		c.ready.Scan(add)
		c.waiting.Scan(add)
	}
	return out
}

type seen struct {
	queuedJob
	priority float64
	since    Micros
	class    int
}

// best returns the job that a search of all jobs chooses: from the class with the highest priority, the job that is
// due first.
func best(all []seen, now Micros) *seen {
	var top *seen
	priority := func(x *seen) float64 {
		since := x.since
		if x.state != Ready { // otherwise its class may have had none
			fresh := true
			for i := range all {
				fresh = fresh && (all[i].class != x.class || all[i].state != Ready)
			}
			if fresh {
				since = now
			}
		}
		return x.priority + float64(now-since)/float64(priorityAging)
	}
	for i := range all {
		x := &all[i]
		if x.NotBefore > now || x.Expires <= now {
			continue
		}
		if top == nil || priority(x) > priority(top) || x.class == top.class && byDue(&x.queuedJob, &top.queuedJob) {
			top = x
		}
	}
	return top
}

// Guards against starvation: a low class must still run sometimes while a higher class always has ready jobs.
func TestLowClassesAge(t *testing.T) {
	s := New(
		0,
		1,
		[]Class{{Name: "high", Priority: 3, MaxQueued: 100}, {Name: "low", Priority: 1, MaxQueued: 100}},
		PathBudgets{},
		ignoreLog,
	)
	key, low, longest, last := 0, 0, Micros(0), Micros(0)
	for now := Micros(0); now < 100*second; now += 100 * ms {
		for c := range 2 {
			key++
			_ = s.Submit(now, Job{Task: newTask(t, key), Class: ClassID(c), Due: now + second, Expires: now + 60*second})
		}
		id, c, _, ok := s.Next(now, anywhere)
		if !ok {
			t.Fatal("no job runs")
		}
		if c.Class == 1 {
			low++
			longest, last = max(longest, now-last), now
		}
		s.Ended(now, id, Succeeded)
	}
	if low < 5 || low > 200 || longest > 3*priorityAging {
		t.Errorf("the low class ran %d times, its longest wait was %v ms", low, longest.Millis())
	}
}

// Many failures must open the breaker of their class only, and a job that succeeds must close it again.
func TestBreaker(t *testing.T) {
	var messages []string
	s := New(
		0,
		1,
		[]Class{
			{Name: "bad", Priority: 2, MaxQueued: 500, MaxAttempts: 3, Backoff: 50 * ms},
			{Name: "good", Priority: 1, MaxQueued: 500},
		},
		PathBudgets{},
		func(message string, _ ...slog.Attr) { messages = append(messages, message) },
	)
	sent := [2]int{}
	for i := range 400 {
		_ = s.Submit(0, Job{Task: newTask(t, i), Class: ClassID(i % 2), Due: Micros(i) * ms, Expires: 1000 * second})
	}
	now := Micros(0)
	for ; now < 10*second; now += 20 * ms {
		if id, c, _, ok := s.Next(now, anywhere); ok {
			sent[c.Class]++
			r := Succeeded
			if c.Class == 0 {
				r = Failed
			}
			s.Ended(now, id, r)
		}
	}
	if sent[0] > 20 || sent[1] < 150 || s.Breaker(0) == BreakerClosed || s.Stats(0).BreakerOpenings < 2 {
		t.Errorf(
			"%d of the failing class ran, %d of the other, its breaker is %v after %d openings",
			sent[0],
			sent[1],
			s.Breaker(0),
			s.Stats(0).BreakerOpenings,
		)
	}
	for ; s.Breaker(0) != BreakerClosed && now < 100*second; now += 20 * ms {
		if id, _, _, ok := s.Next(now, anywhere); ok {
			s.Ended(now, id, Succeeded)
		}
	}
	if s.Breaker(0) != BreakerClosed || len(messages) < 3 {
		t.Errorf("breaker is still %v; log %q", s.Breaker(0), messages)
	}
}

// After a minute under pressure with a full queue, no job may have run, expired jobs must have been dropped, and no
// burst may follow.
func TestPressureWithFullQueue(t *testing.T) {
	s := New(0, 1, []Class{{Name: "a", MaxQueued: 300, Budget: Budget{OperationsPerSecond: 10}}}, PathBudgets{}, ignoreLog)
	s.SetPressure(0, true)
	for now := Micros(0); now < 60*second; now += 20 * ms {
		for i := range 10 {
			key := int(now/ms)*10 + i
			_ = s.Submit(now, Job{Task: newTask(t, key), Due: now + second, Expires: now + 8*second})
		}
		s.SetPressure(now, now%second != 0) // briefly relieved at times
		if _, _, _, ok := s.Next(now, anywhere); ok {
			t.Fatal("a job runs under pressure")
		}
		if s.Queued() > 300 || len(s.byTask) > 300 {
			t.Fatalf("%d jobs are queued", s.Queued())
		}
	}
	s.SetPressure(60*second, false)
	first, sent := Micros(0), 0
	for now := 60 * second; now < 75*second; now += 20 * ms {
		if id, c, _, ok := s.Next(now, anywhere); ok {
			if first == 0 {
				first = now
			}
			if sent++; c.Expires <= now {
				t.Fatal("an expired job runs")
			}
			s.Ended(now, id, Succeeded)
		}
		s.Sweep(now)
	}
	if wait := first - 60*second; wait < minHoldOff || wait > maxHoldOff+second || sent > 10*8+10 {
		t.Errorf("the first job ran after %v ms, %d jobs in 15 s", wait.Millis(), sent)
	}
	if ta := s.Stats(0); ta.DroppedExpired == 0 || ta.DroppedFull == 0 || s.Yields() != 1 {
		t.Errorf("%+v, %d yields", ta, s.Yields())
	}
}

// Invalid jobs must be rejected, and a job whose end is never reported must free its slot.
func TestSubmitAndLostJob(t *testing.T) {
	s := New(0, 1, []Class{{Name: "a", Budget: Budget{Concurrent: 1}, MaxQueued: 3}}, PathBudgets{}, ignoreLog)
	if err := s.Submit(0, Job{Expires: second}); !errors.Is(err, ErrInvalidTask) {
		t.Error(err)
	}
	if err := s.Submit(0, Job{Task: newTask(t, 1), Class: 3, Expires: second}); !errors.Is(err, ErrUnknownClass) {
		t.Error(err)
	}
	_ = s.Submit(0, Job{Task: newTask(t, 1), Expires: second})
	_ = s.Submit(0, Job{Task: newTask(t, 2), Expires: 100 * second})
	id, _, _, _ := s.Next(1, anywhere)
	if _, _, _, ok := s.Next(2, anywhere); ok {
		t.Error("two jobs run at a time")
	}
	s.Sweep(second + lostJobTimeout + 1)
	if _, _, _, ok := s.Next(second+lostJobTimeout+2, anywhere); !ok {
		t.Error("the slot of the lost job was not freed")
	}
	s.Ended(second+lostJobTimeout+3, id, Succeeded) // too late: the id is no longer running
	if ta := s.Stats(0); ta.Succeeded != 0 || ta.Running != 1 {
		t.Errorf("%+v", ta)
	}
}

func BenchmarkSubmitAndNext(b *testing.B) {
	s := New(
		0,
		1,
		[]Class{{Name: "a", MaxQueued: 1024, Budget: Budget{OperationsPerSecond: 1e9}}},
		PathBudgets{Cache: Budget{OperationsPerSecond: 1e9}},
		ignoreLog,
	)
	tasks := make([]lease.Task, 1024)
	for i := range tasks {
		tasks[i], _ = lease.NewTask(lease.Refresh, uint64(i), true)
		_ = s.Submit(0, Job{Task: tasks[i], Due: Micros(i), Expires: 1 << 60})
	}
	where := func(*Job) (Route, Verdict) { return Route{Cache: 3, Parent: -1}, Run }
	b.ReportAllocs()
	for i := range b.N {
		id, c, _, _ := s.Next(Micros(i), where)
		s.Ended(Micros(i), id, Succeeded)
		_ = s.Submit(Micros(i), Job{Task: c.Task, Due: Micros(i) + second, Expires: 1 << 60})
	}
}
