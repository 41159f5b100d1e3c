package testserver

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
	"threadrun/cluster/summary"
	"threadrun/internal/control"
	"threadrun/internal/operator"
	"threadrun/internal/peers"
	"threadrun/internal/transport"
)

// Asker is a member of the tier that has no visits: it asks the others for rows, and holds each answer against what they held before.
type Asker struct {
	Queries, Complete int
	Missed            int // rows that a complete answer lacks, though they are with the same keeper in the same life as before
	WrongComplete     int // such answers
	Unknown           int // complete answers under a map that was not seen here

	control *control.Controller
	maps    map[shardmap.Version]*shardmap.Map
	base    map[shardmap.Key]held
}

// held is a row as it was before, with who kept it.
type held struct {
	directory.Record
	by shardmap.Owner
}

// control calls back without knowing its router's name for itself.
type askerEar struct{ c *control.Controller }

func (e *askerEar) HandleDatagram(kind byte, from netip.AddrPort, b []byte) {
	e.c.HandleDatagram(kind, from, b)
}

// Asker joins the tier in the place of router i, which must not run.
func (b *Branch) Asker(i int) (*Asker, error) {
	secrets, err := peers.ReadKeys(b.key)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ear := &askerEar{}
	line, err := peers.Listen(b.own[i], secrets, ear, log)
	if err != nil {
		return nil, err
	}
	clock := func() control.Micros { return control.Micros(time.Now().UnixMicro()) }
	parts := control.Config{Seed: 77, ShardMap: true, Directory: true, Clock: clock, Runtime: transport.SystemRuntime(), Log: log, Self: membership.Identity{ID: operator.NodeIDOf(b.doors[i]),
		Address: b.doors[i], Zone: 1, Weight: 1, Incarnation: membership.Incarnation(time.Now().UnixMilli())}}
	for _, at := range b.doors {
		parts.Peers = append(parts.Peers, membership.Peer{ID: operator.NodeIDOf(at), Address: at})
	}
	a := &Asker{maps: map[shardmap.Version]*shardmap.Map{}, base: map[shardmap.Key]held{}}
	a.control = control.New(parts, line)
	ear.c = a.control
	a.control.Run()
	return a, nil
}

// Close ends it.
func (a *Asker) Close() { a.control.Stop() }

var errLong = errors.New("a query without an end")

// ask asks once.
func (a *Asker) ask(q summary.Query, within time.Duration) (scatter.Result, error) {
	type end struct {
		r   scatter.Result
		err error
	}
	ch := make(chan end, 1)
	a.see()
	until := control.Micros(time.Now().Add(within).UnixMicro())
	a.control.Query(q, 0, until, func(r scatter.Result, err error) { ch <- end{r, err} })
	defer a.see()
	select {
	case e := <-ch:
		return e.r, e.err
	case <-time.After(within + 5*time.Second):
		return scatter.Result{}, errLong
	}
}

// see notes the map that stands.
func (a *Asker) see() {
	if v := a.control.Snapshot(); v.ShardMap != nil {
		a.maps[v.ShardMap.Version] = v.ShardMap
	}
}

// Base asks until one answer is complete, and takes what it holds for what there is. Nothing may come to the routers from then on.
func (a *Asker) Base(most time.Duration) (rows int, err error) {
	var r scatter.Result
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if r, err = a.ask(summary.Query{}, 3*time.Second); err == nil && r.Complete && a.maps[r.MapVersion] != nil {
			m := a.maps[r.MapVersion]
			for _, row := range r.Records {
				a.base[row.Key] = held{row, m.Owners[m.RangeOf(row.Key).Owner]}
			}
			return len(a.base), nil
		}
	}
	return 0, fmt.Errorf("no complete answer: %+v, %w", r, err)
}

// Ask asks for all rows, or for those of a group or of one object by turns, and holds a complete answer against the base.
func (a *Asker) Ask(n int, within time.Duration) error {
	var q summary.Query
	at := 0
	for _, x := range a.base {
		if at++; at > n%max(len(a.base), 1) {
			switch n % 3 {
			case 1:
				q.Object = x.Key
			case 2:
				q.MinSizeKB, q.MaxSizeKB = x.SizeKB, x.SizeKB
			}
			break
		}
	}
	r, err := a.ask(q, within)
	if err != nil {
		return err
	}
	a.Queries++
	if !r.Complete {
		return nil
	}
	a.Complete++
	m := a.maps[r.MapVersion]
	if m == nil {
		a.Unknown++
		return nil
	}
	got := map[shardmap.Key]bool{}
	for _, row := range r.Records {
		got[row.Key] = true
	}
	missed := 0
	for k, x := range a.base {
		if m.Owners[m.RangeOf(k).Owner] == x.by && scatter.Matches(&q, &x.Record) && !got[k] {
			missed++
		}
	}
	if a.Missed += missed; missed > 0 {
		a.WrongComplete++
	}
	return nil
}

// Spread tells how many keepers the rows lay with.
func (a *Asker) Spread() int {
	by := map[shardmap.Owner]bool{}
	for _, x := range a.base {
		by[x.by] = true
	}
	return len(by)
}
