package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"threadrun/internal/testserver"
)

// liveRun is the command 'experiment live'.
type liveRun struct {
	Router  string        `default:"bin/threadrun" help:"The router's program."`
	Routers int           `default:"4" help:"Router processes."`
	Caches  int           `default:"24" help:"Stand-in caches, each probed by one of the routers."`
	Loss    float64       `default:"0.2" help:"Share of datagrams that the relay loses."`
	Every   time.Duration `default:"300ms" help:"Each cache is probed once in so long."`
	Settle  time.Duration `default:"5s" help:"Until the count begins."`
	Count   time.Duration `default:"10s" help:"How long is counted; one router is killed after a third of it."`
	JSON    bool          `name:"json" help:"Print the line of JSON alone."`
}

type liveLine struct {
	Routers   int     `json:"routers"`
	Things    int     `json:"things"`
	Loss      float64 `json:"loss"`
	LongestMs int64   `json:"longest_gap_ms"`
	Passed    int64   `json:"datagrams_passed"`
	Lost      int64   `json:"datagrams_lost"`
	TooLong   int64   `json:"datagrams_over_256"`
	testserver.WorkStats
}

// Run is called by the command line.
func (r *liveRun) Run() error {
	dir, err := os.MkdirTemp("", "experiment-live")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	out, err := live(dir, []string{r.Router}, nil, r)
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d routers share the probing of %d caches and the parent, %.0f%% of their datagrams lost; one is killed\n", out.Routers,
		r.Caches, r.Loss*100)
	fmt.Fprintf(&b, "probes %d by %d connections, left undone for over 3 s: %d, done twice: %d, longest gap %d ms\n", out.Done, out.Workers,
		out.Gaps, out.Duplicates, out.LongestMs)
	if err := report(r.JSON, b.String(), out); err != nil {
		return err
	}
	if out.Gaps > 0 || out.TooLong > 0 {
		return errMissed
	}
	return nil
}

// live runs router processes that share probes, kills one, and counts at the caches.
func live(dir string, command, environment []string, r *liveRun) (liveLine, error) {
	out := liveLine{Routers: r.Routers, Loss: r.Loss}
	b, err := testserver.NewBranch(dir, r.Caches, r.Routers, r.Loss, nil)
	if err != nil {
		return out, err
	}
	defer b.Close()
	probing := fmt.Sprintf(`, "probing": {"on": true, "shares": 64, "every_ms": %d, "timeout_ms": 200, "spend": {"works_per_s": 500, "out": 100}},
 "background": {"each_cache": {"works_per_s": 100}, "each_parent": {"works_per_s": 100}}`, r.Every.Milliseconds())
	var procs []*testserver.Process
	defer func() {
		for _, p := range procs {
			p.Kill()
		}
	}()
	for i := range r.Routers {
		p, err := b.StartRouter(i, command, environment, testserver.ZoneSettings(r.Routers), b.OperatorFile(i, probing))
		if err != nil {
			return out, err
		}
		procs = append(procs, p)
	}
	time.Sleep(r.Settle)
	from := time.Now()
	time.Sleep(r.Count / 3)
	procs[1].Kill()
	time.Sleep(r.Count * 2 / 3)
	out.WorkStats = b.Probes.Stats(from, time.Now(), r.Every, 3*time.Second)
	out.Things = b.Probes.DistinctTargets(from)
	out.LongestMs = out.LongestGap.Milliseconds()
	out.Passed, out.Lost, out.TooLong = b.Relay.Forwarded.Load(), b.Relay.Lost.Load(), b.Relay.Oversized.Load()
	if out.Things < r.Caches {
		text, _ := os.ReadFile(procs[0].LogPath)
		return out, fmt.Errorf("only %d of %d caches were probed; a router's log:\n%s", out.Things, r.Caches, text)
	}
	return out, nil
}
