package testserver

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"
)

// Load is an even stream of visits to pages, some asked for much more often than others. One seed asks for the same
// pages at the same times.
type Load struct {
	RequestsPerSecond float64 // visits a second, over all clients
	Objects           int
	Skew              float64 // of a Zipf distribution, above 1
	Duration          time.Duration
	WarmUp            time.Duration // not counted
	Seed              uint64
}

// LoadStats are what a load came to.
type LoadStats struct {
	Latency  *hdrhistogram.Histogram // microseconds, from when a visit was to set out
	Answered int
	Rejected int
	Failed   int
}

// Run asks until the time is over, and waits for the last answers.
func (l *Load) Run(clients []*Client) *LoadStats {
	src := rand.NewPCG(l.Seed, 77)
	gap := distuv.Exponential{Rate: l.RequestsPerSecond, Src: src}
	zipf := rand.NewZipf(rand.New(src), l.Skew, 8, uint64(l.Objects-1))
	out := &LoadStats{Latency: hdrhistogram.New(1, 60_000_000, 3)}
	var mu sync.Mutex
	var wait sync.WaitGroup
	start := time.Now()
	at := time.Duration(0)
	for i := 0; ; i++ {
		if at += time.Duration(gap.Rand() * float64(time.Second)); at > l.WarmUp+l.Duration {
			break
		}
		object := fmt.Sprintf("%016x", 0x1000+zipf.Uint64())
		due := start.Add(at)
		time.Sleep(time.Until(due))
		_, ch := clients[i%len(clients)].Send("page", RequestParams(uint64(i)+1, object, 2*time.Second), nil)
		counts := at > l.WarmUp
		wait.Add(1)
		go func() {
			defer wait.Done()
			select {
			case a := <-ch:
				took := time.Since(due)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case !counts:
				case a.Error == "":
					out.Answered++
					_ = out.Latency.RecordValue(max(took.Microseconds(), 1))
				case a.Error == "Shed":
					out.Rejected++
				default:
					out.Failed++
				}
			case <-time.After(5 * time.Second):
				mu.Lock()
				defer mu.Unlock()
				out.Failed++
			}
		}()
	}
	wait.Wait()
	return out
}
