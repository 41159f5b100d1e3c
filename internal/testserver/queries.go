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

// QueryClient is a member of the tier that has no visits: it asks the others for rows, and holds each answer against
// what they held before.
type QueryClient struct {
	Queries, Complete int
	MissedRecords     int // rows that a complete answer lacks, though they are with the same keeper in the same life as before
	FalselyComplete   int // such answers
	UnknownMaps       int // complete answers under a map that was not seen here

	control   *control.Controller
	maps      map[shardmap.Version]*shardmap.Map
	reference map[shardmap.Key]ownedRecord
}

// ownedRecord is a row as it was before, with who kept it.
type ownedRecord struct {
	directory.Record
	owner shardmap.Owner
}

// control calls back without knowing its router's name for itself.
type queryReceiver struct{ c *control.Controller }

func (e *queryReceiver) HandleDatagram(kind byte, from netip.AddrPort, b []byte) {
	e.c.HandleDatagram(kind, from, b)
}

// QueryClient joins the tier in the place of router i, which must not run.
func (b *Zone) QueryClient(i int) (*QueryClient, error) {
	secrets, err := peers.ReadKeys(b.keyFile)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ear := &queryReceiver{}
	line, err := peers.Listen(b.peerAddresses[i], secrets, ear, log)
	if err != nil {
		return nil, err
	}
	clock := func() control.Micros { return control.Micros(time.Now().UnixMicro()) }
	parts := control.Config{
		Seed:      77,
		ShardMap:  true,
		Directory: true,
		Clock:     clock,
		Runtime:   transport.SystemRuntime(),
		Log:       log,
		Self: membership.Identity{ID: operator.NodeIDOf(b.relayAddresses[i]),
			Address: b.relayAddresses[i], Zone: 1, Weight: 1, Incarnation: membership.Incarnation(time.Now().UnixMilli())},
	}
	for _, at := range b.relayAddresses {
		parts.Peers = append(parts.Peers, membership.Peer{ID: operator.NodeIDOf(at), Address: at})
	}
	a := &QueryClient{maps: map[shardmap.Version]*shardmap.Map{}, reference: map[shardmap.Key]ownedRecord{}}
	a.control = control.New(parts, line)
	ear.c = a.control
	a.control.Run()
	return a, nil
}

// Close ends it.
func (a *QueryClient) Close() { a.control.Stop() }

var errLong = errors.New("a query without an end")

// query asks once.
func (a *QueryClient) query(q summary.Query, within time.Duration) (scatter.Result, error) {
	type end struct {
		r   scatter.Result
		err error
	}
	ch := make(chan end, 1)
	a.observeMap()
	until := control.Micros(time.Now().Add(within).UnixMicro())
	a.control.Query(q, 0, until, func(r scatter.Result, err error) { ch <- end{r, err} })
	defer a.observeMap()
	select {
	case e := <-ch:
		return e.r, e.err
	case <-time.After(within + 5*time.Second):
		return scatter.Result{}, errLong
	}
}

// observeMap notes the map that stands.
func (a *QueryClient) observeMap() {
	if v := a.control.Snapshot(); v.ShardMap != nil {
		a.maps[v.ShardMap.Version] = v.ShardMap
	}
}

// TakeReference asks until one answer is complete, and takes what it holds for what there is. Nothing may come to the
// routers from then on.
func (a *QueryClient) TakeReference(most time.Duration) (rows int, err error) {
	var r scatter.Result
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if r, err = a.query(summary.Query{}, 3*time.Second); err == nil && r.Complete && a.maps[r.MapVersion] != nil {
			m := a.maps[r.MapVersion]
			for _, row := range r.Records {
				a.reference[row.Key] = ownedRecord{row, m.Owners[m.RangeOf(row.Key).Owner]}
			}
			return len(a.reference), nil
		}
	}
	return 0, fmt.Errorf("no complete answer: %+v, %w", r, err)
}

// Query asks for all rows, or for those of a group or of one object by turns, and holds a complete answer against the
// base.
func (a *QueryClient) Query(n int, within time.Duration) error {
	var q summary.Query
	at := 0
	for _, x := range a.reference {
		if at++; at > n%max(len(a.reference), 1) {
			switch n % 3 {
			case 1:
				q.Object = x.Key
			case 2:
				q.MinSizeKB, q.MaxSizeKB = x.SizeKB, x.SizeKB
			}
			break
		}
	}
	r, err := a.query(q, within)
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
		a.UnknownMaps++
		return nil
	}
	got := map[shardmap.Key]bool{}
	for _, row := range r.Records {
		got[row.Key] = true
	}
	missed := 0
	for k, x := range a.reference {
		if m.Owners[m.RangeOf(k).Owner] == x.owner && scatter.Matches(&q, &x.Record) && !got[k] {
			missed++
		}
	}
	if a.MissedRecords += missed; missed > 0 {
		a.FalselyComplete++
	}
	return nil
}

// ResponderCount tells how many keepers the rows lay with.
func (a *QueryClient) ResponderCount() int {
	by := map[shardmap.Owner]bool{}
	for _, x := range a.reference {
		by[x.owner] = true
	}
	return len(by)
}
