package testserver

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"
)

// Load is a Poisson stream of requests for objects whose popularity follows a Zipf distribution. Equal seeds
// generate the same objects at the same times.
type Load struct {
	RequestsPerSecond float64 // by all clients together
	Objects           int
	Skew              float64 // parameter of the Zipf distribution, above 1
	Duration          time.Duration
	WarmUp            time.Duration // time before Duration whose requests are not counted
	Seed              uint64
}

// LoadStats contains the results of a load.
type LoadStats struct {
	Latency  *hdrhistogram.Histogram // of answered requests, in microseconds from the time when a request was due
	Answered int
	Rejected int // requests rejected because of overload
	Failed   int // requests with another error or without an answer
}

// Run sends requests, with each client in turn, for the warm-up and the duration, and waits for the last answers.
func (l *Load) Run(clients []*Client) *LoadStats {
	src := rand.NewPCG(l.Seed, 77)
	gap := distuv.Exponential{Rate: l.RequestsPerSecond, Src: src}
	// The probability of object k is proportional to (8+k)^-Skew.
	zipf := rand.NewZipf(rand.New(src), l.Skew, 8, uint64(l.Objects-1))
	run := &loadRun{stats: &LoadStats{Latency: hdrhistogram.New(1, 60_000_000, 3)}}
	start := time.Now()
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(gap.Rand() * float64(time.Second))
		if at > l.WarmUp+l.Duration {
			break
		}
		object := fmt.Sprintf("%016x", 0x1000+zipf.Uint64())
		due := start.Add(at)
		time.Sleep(time.Until(due))
		client := clients[i%len(clients)]
		_, answers := client.Send("page", RequestParams(uint64(i)+1, object, requestTimeout), nil)
		run.wait.Add(1)
		go run.await(answers, due, at > l.WarmUp)
	}
	run.wait.Wait()
	return run.stats
}

// loadAnswerTimeout is the time after which a request without an answer counts as failed.
const loadAnswerTimeout = 5 * time.Second

// loadRun is a load in progress.
type loadRun struct {
	wait  sync.WaitGroup
	mu    sync.Mutex // guards stats
	stats *LoadStats
}

// await waits for an answer, and counts it if counted is set, which it is after the warm-up. A missing answer counts as
// failed even during the warm-up.
func (r *loadRun) await(answers <-chan *Answer, due time.Time, counted bool) {
	defer r.wait.Done()
	select {
	case answer := <-answers:
		latency := time.Since(due)
		if counted {
			r.count(answer, latency)
		}
	case <-time.After(loadAnswerTimeout):
		r.mu.Lock()
		defer r.mu.Unlock()
		r.stats.Failed++
	}
}

// count counts an answer by its error.
func (r *loadRun) count(answer *Answer, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch answer.Error {
	case "":
		r.stats.Answered++
		_ = r.stats.Latency.RecordValue(max(latency.Microseconds(), 1))
	case "Shed":
		r.stats.Rejected++
	default:
		r.stats.Failed++
	}
}
