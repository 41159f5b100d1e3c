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

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) { testseed.Main(m, 20261201, 0) }

const (
	ms     = clock.Millisecond
	second = clock.Second
)

// newTask returns a task with the given key.
func newTask(t interface{ Fatal(...any) }, key int) lease.Task {
	task, err := lease.NewTask(lease.Refresh, uint64(key), true)
	if err != nil {
		t.Fatal(err)
	}
	return task
}

func ignoreLog(string, ...slog.Attr) {}

// withoutResources permits each job to run, on a route that uses no resource.
func withoutResources(*Job) (Route, Verdict) { return Route{Cache: -1, Parent: -1}, Run }

// TestAgainstPlainModel compares the Scheduler with a simple model after every step of a random sequence. The next
// job must be the one that a search of all jobs would choose. No job may run too early, after its expiry, twice at
// a time, while requests are under pressure or shortly after. No rate of operations and no concurrency may exceed
// its budget, no queue its limit, and each job must be in the queue of its state.
func TestAgainstPlainModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		classes := []Class{{Name: "a", Priority: 2, MaxQueued: 5, MaxAttempts: 3, Backoff: 300 * ms},
			{Name: "b", Priority: 1, MaxQueued: 8, MaxAttempts: 1, Backoff: 100 * ms}}
		budgets := ResourceBudgets{}
		bounded := rapid.Bool().Draw(rt, "bounded")
		if bounded {
			classes[0].Budget = Budget{OperationsPerSecond: 3, KBPerSecond: 400, Concurrent: 2}
			budgets = ResourceBudgets{
				Cache:  Budget{OperationsPerSecond: 2, Concurrent: 1},
				Link:   Budget{OperationsPerSecond: 4},
				Origin: Budget{KBPerSecond: 300},
			}
		}
		s := New(0, 3, classes, budgets, ignoreLog)
		startTimes := map[resource][]Micros{}
		var running []JobID
		now, pressureSince, underPressure := Micros(0), -second, false
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now += Micros(rapid.IntRange(1, 600).Draw(rt, "pause")) * ms
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1:
				key := rapid.IntRange(0, 15).Draw(rt, "key")
				job := Job{Task: newTask(rt, key), Class: ClassID(rapid.IntRange(0, 1).Draw(rt, "class")), SizeKB: 100}
				job.NotBefore = now + Micros(rapid.IntRange(-500, 500).Draw(rt, "from"))*ms
				job.Due = job.NotBefore + Micros(rapid.IntRange(0, 2000).Draw(rt, "due"))*ms
				job.Expires = job.Due + Micros(rapid.IntRange(0, 3000).Draw(rt, "until"))*ms
				err := s.Submit(now, job)
				if expired := job.Expires <= now || job.NotBefore >= job.Expires; expired != errors.Is(err, ErrExpired) {
					rt.Fatalf("Submit at %d ms of a job that may run from %d to %d ms returned %v, want ErrExpired: %v",
						now/ms, job.NotBefore/ms, job.Expires/ms, err, expired)
				}
			case 2:
				underPressure = !underPressure
				if s.SetPressure(now, underPressure); underPressure {
					pressureSince = now
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
				id, started, _, ok := s.Next(now, func(*Job) (Route, Verdict) { return route, Run })
				if !ok {
					// After 20 s no hold-off remains.
					if !bounded && !underPressure && now-pressureSince > 20*second && modelChoice(before, now) != nil &&
						s.classes[0].breaker.state == BreakerClosed &&
						s.classes[1].breaker.state == BreakerClosed {
						rt.Fatalf("no job was started at %d ms, want %+v", now/ms, modelChoice(before, now).Job)
					}
					break
				}
				if underPressure || now-pressureSince < minHoldOff && pressureSince >= 0 {
					rt.Fatalf("a job was started at %d ms; under pressure: %v, last since %d ms; want a hold-off", now/ms,
						underPressure, pressureSince/ms)
				}
				if started.NotBefore > now || started.Expires <= now {
					rt.Fatalf("a job that may run from %d to %d ms was started at %d ms", started.NotBefore/ms,
						started.Expires/ms, now/ms)
				}
				for _, other := range running {
					if other == id {
						rt.Fatalf("id %v was given to a second job while the first is running", id)
					}
				}
				if want := modelChoice(before, now); !bounded && s.classes[0].breaker.state == BreakerClosed &&
					s.classes[1].breaker.state == BreakerClosed &&
					want.Task != started.Task {
					rt.Fatalf("job %+v was started, want %+v", started, want.Job)
				}
				running = append(running, id)
				route.eachResource(func(r resource) { startTimes[r] = append(startTimes[r], now) })
			}
			for i, class := range s.classes {
				if class.queued() > class.MaxQueued {
					rt.Fatalf("class %d has %d queued jobs, want at most %d", i, class.queued(), class.MaxQueued)
				}
				runningCount := 0
				for _, job := range s.runningJobs {
					if int(job.Class) == i {
						runningCount++
					}
				}
				if runningCount != class.account.running ||
					class.Budget.Concurrent > 0 && runningCount > class.Budget.Concurrent {
					rt.Fatalf("class %d: %d jobs are running, %d are counted, %d are permitted (0: any number)", i, runningCount,
						class.account.running, class.Budget.Concurrent)
				}
			}
			for _, job := range s.byTask {
				if (job.state == Ready) != inQueue(s.classes[job.Class].ready, job) ||
					(job.state == Waiting || job.state == BackingOff) != inQueue(s.classes[job.Class].waiting, job) {
					rt.Fatalf("job %+v in state %d is in the wrong queue", job.Job, job.state)
				}
			}
			for res, times := range startTimes {
				rate := s.budgets[res.kind].OperationsPerSecond
				for i := range times {
					if n := float64(len(times) - i); rate > 0 && n > rate*(now-times[i]).Seconds()+max(rate, 1)+0.01 {
						rt.Fatalf("%+v: %v operations started in %.3f s, want at most %v per second", res, n,
							(now - times[i]).Seconds(), rate)
					}
				}
			}
		}
	})
}

// inQueue reports whether a queue contains exactly this job, not only one with the same sort key.
func inQueue(queue interface {
	Get(*queuedJob) (*queuedJob, bool)
}, job *queuedJob) bool {
	found, ok := queue.Get(job)
	return ok && job == found
}

// snapshot copies all queued jobs, with the values of their classes on which the choice depends.
func (s *Scheduler) snapshot() []jobSnapshot {
	var out []jobSnapshot
	for i, c := range s.classes {
		add := func(job *queuedJob) bool {
			out = append(out, jobSnapshot{*job, float64(c.Priority), c.readySince, i})
			return true
		}
		c.ready.Scan(add)
		c.waiting.Scan(add)
	}
	return out
}

// jobSnapshot is a queued job with its class's index, priority and readySince.
type jobSnapshot struct {
	queuedJob
	priority   float64
	readySince Micros
	class      int
}

// modelChoice returns the job that a search of all jobs chooses, or nil if there is none: from the class with the
// highest priority, the job that is due first. The priority of a class grows while it has ready jobs.
func modelChoice(jobs []jobSnapshot, now Micros) *jobSnapshot {
	var best *jobSnapshot
	priority := func(job *jobSnapshot) float64 {
		since := job.readySince
		if job.state != Ready { // if no job of its class is ready, the class starts to gain priority only now
			noneReady := true
			for i := range jobs {
				noneReady = noneReady && (jobs[i].class != job.class || jobs[i].state != Ready)
			}
			if noneReady {
				since = now
			}
		}
		return job.priority + float64(now-since)/float64(priorityAging)
	}
	for i := range jobs {
		job := &jobs[i]
		if job.NotBefore > now || job.Expires <= now {
			continue
		}
		if best == nil || priority(job) > priority(best) ||
			job.class == best.class && byDue(&job.queuedJob, &best.queuedJob) {
			best = job
		}
	}
	return best
}

// TestLowClassesAge guards against starvation: because the priority of a class grows while its jobs wait, jobs of
// a class with a low priority must run sometimes although a class with a higher priority always has ready jobs.
func TestLowClassesAge(t *testing.T) {
	s := New(
		0,
		1,
		[]Class{{Name: "high", Priority: 3, MaxQueued: 100}, {Name: "low", Priority: 1, MaxQueued: 100}},
		ResourceBudgets{},
		ignoreLog,
	)
	key, lowCount, longestWait, lastLowAt := 0, 0, Micros(0), Micros(0)
	for now := Micros(0); now < 100*second; now += 100 * ms {
		for c := range 2 {
			key++
			_ = s.Submit(now, Job{Task: newTask(t, key), Class: ClassID(c), Due: now + second, Expires: now + 60*second})
		}
		id, c, _, ok := s.Next(now, withoutResources)
		if !ok {
			t.Fatalf("no job was started at %d ms, although both classes have ready jobs", now/ms)
		}
		if c.Class == 1 {
			lowCount++
			longestWait, lastLowAt = max(longestWait, now-lastLowAt), now
		}
		s.Ended(now, id, Succeeded)
	}
	if lowCount < 5 || lowCount > 200 || longestWait > 3*priorityAging {
		t.Errorf("%d jobs of the low class ran, want 5 to 200; its longest wait was %v ms, want at most %v ms", lowCount,
			longestWait.Millis(), (3 * priorityAging).Millis())
	}
}

// TestBreaker checks that many failures open the breaker of their class only, and that a job that succeeds closes
// it again.
func TestBreaker(t *testing.T) {
	var messages []string
	s := New(
		0,
		1,
		[]Class{
			{Name: "bad", Priority: 2, MaxQueued: 500, MaxAttempts: 3, Backoff: 50 * ms},
			{Name: "good", Priority: 1, MaxQueued: 500},
		},
		ResourceBudgets{},
		func(message string, _ ...slog.Attr) { messages = append(messages, message) },
	)
	started := [2]int{}
	for i := range 400 {
		_ = s.Submit(0, Job{Task: newTask(t, i), Class: ClassID(i % 2), Due: Micros(i) * ms, Expires: 1000 * second})
	}
	now := Micros(0)
	for ; now < 10*second; now += 20 * ms {
		if id, c, _, ok := s.Next(now, withoutResources); ok {
			started[c.Class]++
			result := Succeeded
			if c.Class == 0 {
				result = Failed
			}
			s.Ended(now, id, result)
		}
	}
	if started[0] > 20 || started[1] < 150 || s.Breaker(0) == BreakerClosed || s.Stats(0).BreakerOpenings < 2 {
		t.Errorf(
			"%d jobs of the failing class ran, want at most 20; %d of the other, want at least 150; "+
				"the failing class's breaker is %v after %d openings, want it not closed after at least 2",
			started[0],
			started[1],
			s.Breaker(0),
			s.Stats(0).BreakerOpenings,
		)
	}
	for ; s.Breaker(0) != BreakerClosed && now < 100*second; now += 20 * ms {
		if id, _, _, ok := s.Next(now, withoutResources); ok {
			s.Ended(now, id, Succeeded)
		}
	}
	if s.Breaker(0) != BreakerClosed || len(messages) < 3 {
		t.Errorf("the breaker is %v after jobs have succeeded, want closed; log %q, want at least 3 messages", s.Breaker(0),
			messages)
	}
}

// TestPressureWithFullQueue checks that during a minute under pressure with a full queue no job runs and expired
// jobs are dropped, and that no burst follows. Pressure ends for one tick per second, which must not end the hold-off
// of background work.
func TestPressureWithFullQueue(t *testing.T) {
	s := New(0, 1, []Class{{Name: "a", MaxQueued: 300, Budget: Budget{OperationsPerSecond: 10}}}, ResourceBudgets{},
		ignoreLog)
	s.SetPressure(0, true)
	for now := Micros(0); now < 60*second; now += 20 * ms {
		for i := range 10 {
			key := int(now/ms)*10 + i
			_ = s.Submit(now, Job{Task: newTask(t, key), Due: now + second, Expires: now + 8*second})
		}
		s.SetPressure(now, now%second != 0) // no pressure for one tick per second
		if _, _, _, ok := s.Next(now, withoutResources); ok {
			t.Fatalf("a job runs at %d ms, under pressure", now/ms)
		}
		if s.QueuedCount() > 300 || len(s.byTask) > 300 {
			t.Fatalf("%d jobs are queued and %d are stored, want at most 300", s.QueuedCount(), len(s.byTask))
		}
	}
	s.SetPressure(60*second, false)
	firstStart, started := Micros(0), 0
	for now := 60 * second; now < 75*second; now += 20 * ms {
		if id, c, _, ok := s.Next(now, withoutResources); ok {
			if firstStart == 0 {
				firstStart = now
			}
			if started++; c.Expires <= now {
				t.Fatalf("a job that expired at %d ms runs at %d ms", c.Expires/ms, now/ms)
			}
			s.Ended(now, id, Succeeded)
		}
		s.Sweep(now)
	}
	// 10*8+10: the jobs of the last 8 s have not expired; their class permits 10 operations per second, and a burst of 10.
	if wait := firstStart - 60*second; wait < minHoldOff || wait > maxHoldOff+second || started > 10*8+10 {
		t.Errorf("the first job ran %v ms after the pressure, want %v to %v ms; %d jobs ran in 15 s, want at most 90",
			wait.Millis(), minHoldOff.Millis(), (maxHoldOff + second).Millis(), started)
	}
	if stats := s.Stats(0); stats.DroppedExpired == 0 || stats.DroppedFull == 0 || s.YieldCount() != 1 {
		t.Errorf("counters %+v, want jobs dropped as expired and for a full queue; %d yields, want 1", stats, s.YieldCount())
	}
}

// TestSubmitAndLostJob checks that invalid jobs are rejected, and that a job whose end is never reported stops
// counting against its class's concurrency.
func TestSubmitAndLostJob(t *testing.T) {
	s := New(0, 1, []Class{{Name: "a", Budget: Budget{Concurrent: 1}, MaxQueued: 3}}, ResourceBudgets{}, ignoreLog)
	if err := s.Submit(0, Job{Expires: second}); !errors.Is(err, ErrInvalidTask) {
		t.Errorf("submit of a job without a task: %v, want %v", err, ErrInvalidTask)
	}
	if err := s.Submit(0, Job{Task: newTask(t, 1), Class: 3, Expires: second}); !errors.Is(err, ErrUnknownClass) {
		t.Errorf("submit of a job of an unknown class: %v, want %v", err, ErrUnknownClass)
	}
	_ = s.Submit(0, Job{Task: newTask(t, 1), Expires: second})
	_ = s.Submit(0, Job{Task: newTask(t, 2), Expires: 100 * second})
	id, _, _, _ := s.Next(1, withoutResources)
	if _, _, _, ok := s.Next(2, withoutResources); ok {
		t.Error("a second job was started, although its class permits one at a time")
	}
	s.Sweep(second + lostJobTimeout + 1)
	if _, _, _, ok := s.Next(second+lostJobTimeout+2, withoutResources); !ok {
		t.Error("no job was started, although the running one counts as lost")
	}
	s.Ended(second+lostJobTimeout+3, id, Succeeded) // too late: the id is no longer running
	if stats := s.Stats(0); stats.Succeeded != 0 || stats.Running != 1 {
		t.Errorf("stats %+v, want no success and 1 running job", stats)
	}
}

// BenchmarkSubmitAndNext measures one job's life cycle: Next, Ended and Submit, with 1024 queued jobs.
func BenchmarkSubmitAndNext(b *testing.B) {
	s := New(
		0,
		1,
		[]Class{{Name: "a", MaxQueued: 1024, Budget: Budget{OperationsPerSecond: 1e9}}},
		ResourceBudgets{Cache: Budget{OperationsPerSecond: 1e9}},
		ignoreLog,
	)
	tasks := make([]lease.Task, 1024)
	for i := range tasks {
		tasks[i], _ = lease.NewTask(lease.Refresh, uint64(i), true)
		_ = s.Submit(0, Job{Task: tasks[i], Due: Micros(i), Expires: 1 << 60})
	}
	routeOf := func(*Job) (Route, Verdict) { return Route{Cache: 3, Parent: -1}, Run }
	b.ReportAllocs()
	for i := range b.N {
		id, job, _, _ := s.Next(Micros(i), routeOf)
		s.Ended(Micros(i), id, Succeeded)
		_ = s.Submit(Micros(i), Job{Task: job.Task, Due: Micros(i) + second, Expires: 1 << 60})
	}
}
