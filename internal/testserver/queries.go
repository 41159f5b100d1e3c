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

// QueryClient is a member of the cluster that serves no requests: it queries the records of the others, and compares
// each answer with a reference from before. Its fields count the queries. It is for one goroutine.
type QueryClient struct {
	Queries, Complete int
	// MissedRecords counts records that a complete answer lacks, though their owner is the one of the reference, in the
	// same incarnation.
	MissedRecords   int
	FalselyComplete int // answers with missed records
	UnknownMaps     int // complete answers under a shard map that this member has not seen

	control   *control.Controller
	maps      map[shardmap.Version]*shardmap.Map
	reference map[shardmap.Key]ownedRecord
}

// ownedRecord is a record of the reference, with its owner then.
type ownedRecord struct {
	directory.Record
	owner shardmap.Owner
}

// queryReceiver passes datagrams on to a controller, which needs the channel to be made and so is made after it.
type queryReceiver struct{ controller *control.Controller }

// HandleDatagram passes a datagram on.
func (r *queryReceiver) HandleDatagram(kind byte, from netip.AddrPort, payload []byte) {
	r.controller.HandleDatagram(kind, from, payload)
}

// queryClientSeed seeds the controller's random numbers.
const queryClientSeed = 77

// QueryClient joins the cluster in the place of router i, which must not run.
func (b *Zone) QueryClient(i int) (*QueryClient, error) {
	secrets, err := peers.ReadKeys(b.keyFile)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	receiver := &queryReceiver{}
	channel, err := peers.Listen(b.peerAddresses[i], secrets, receiver, log)
	if err != nil {
		return nil, err
	}
	config := control.Config{
		Seed:      queryClientSeed,
		ShardMap:  true,
		Directory: true,
		Clock:     func() control.Micros { return control.Micros(time.Now().UnixMicro()) },
		Runtime:   transport.SystemRuntime(),
		Log:       log,
		Self: membership.Identity{
			ID:          operator.NodeIDOf(b.relayAddresses[i]),
			Address:     b.relayAddresses[i],
			Zone:        1,
			Weight:      1,
			Incarnation: membership.Incarnation(time.Now().UnixMilli()),
		},
	}
	for _, address := range b.relayAddresses {
		config.Peers = append(config.Peers, membership.Peer{ID: operator.NodeIDOf(address), Address: address})
	}
	a := &QueryClient{maps: map[shardmap.Version]*shardmap.Map{}, reference: map[shardmap.Key]ownedRecord{}}
	a.control = control.New(config, channel)
	receiver.controller = a.control
	a.control.Run()
	return a, nil
}

// Close leaves the cluster.
func (a *QueryClient) Close() { a.control.Stop() }

// queryGrace is how much longer than its timeout a query may take to end.
const queryGrace = 5 * time.Second

var errQueryNotEnded = errors.New("testserver: a query did not end after its timeout")

// query asks once, and notes the shard maps before and after.
func (a *QueryClient) query(q summary.Query, timeout time.Duration) (scatter.Result, error) {
	type outcome struct {
		result scatter.Result
		err    error
	}
	ended := make(chan outcome, 1)
	a.observeMap()
	deadline := control.Micros(time.Now().Add(timeout).UnixMicro())
	a.control.Query(q, 0, deadline, func(result scatter.Result, err error) { ended <- outcome{result, err} })
	defer a.observeMap()
	select {
	case o := <-ended:
		return o.result, o.err
	case <-time.After(timeout + queryGrace):
		return scatter.Result{}, errQueryNotEnded
	}
}

// observeMap notes the present shard map.
func (a *QueryClient) observeMap() {
	if snapshot := a.control.Snapshot(); snapshot.ShardMap != nil {
		a.maps[snapshot.ShardMap.Version] = snapshot.ShardMap
	}
}

const (
	referenceQueryTimeout = 3 * time.Second
	referenceQueryPause   = 100 * time.Millisecond
)

// TakeReference queries all records until one answer is complete, and takes that as the reference. The records must
// not change from then on. An error is that no answer was complete within the timeout.
func (a *QueryClient) TakeReference(timeout time.Duration) (records int, err error) {
	var result scatter.Result
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(referenceQueryPause) {
		result, err = a.query(summary.Query{}, referenceQueryTimeout)
		shards := a.maps[result.MapVersion]
		if err != nil || !result.Complete || shards == nil {
			continue
		}
		for _, record := range result.Records {
			owner := shards.Owners[shards.RangeOf(record.Key).Owner]
			a.reference[record.Key] = ownedRecord{Record: record, owner: owner}
		}
		return len(a.reference), nil
	}
	return 0, fmt.Errorf("no complete answer: %+v, %w", result, err)
}

// Query queries all records, those of one object or those of one size, by turns of n, and compares a complete answer
// with the reference. An error is the query's.
func (a *QueryClient) Query(n int, timeout time.Duration) error {
	q := a.queryNumber(n)
	result, err := a.query(q, timeout)
	if err != nil {
		return err
	}
	a.Queries++
	if !result.Complete {
		return nil
	}
	a.Complete++
	shards := a.maps[result.MapVersion]
	if shards == nil {
		a.UnknownMaps++
		return nil
	}
	missed := a.countMissed(&q, result.Records, shards)
	a.MissedRecords += missed
	if missed > 0 {
		a.FalselyComplete++
	}
	return nil
}

// queryNumber makes the n-th query, of some record of the reference.
func (a *QueryClient) queryNumber(n int) summary.Query {
	var q summary.Query
	position := 0
	for _, record := range a.reference {
		position++
		if position <= n%max(len(a.reference), 1) {
			continue
		}
		switch n % 3 {
		case 1:
			q.Object = record.Key
		case 2:
			q.MinSizeKB = record.SizeKB
			q.MaxSizeKB = record.SizeKB
		}
		break
	}
	return q
}

// countMissed counts the records of the reference that match a query and have the same owner as then, but are
// missing.
func (a *QueryClient) countMissed(q *summary.Query, records []directory.Record, shards *shardmap.Map) int {
	got := map[shardmap.Key]bool{}
	for _, record := range records {
		got[record.Key] = true
	}
	missed := 0
	for key, expected := range a.reference {
		sameOwner := shards.Owners[shards.RangeOf(key).Owner] == expected.owner
		if sameOwner && scatter.Matches(q, &expected.Record) && !got[key] {
			missed++
		}
	}
	return missed
}

// ResponderCount counts the owners of the records of the reference.
func (a *QueryClient) ResponderCount() int {
	owners := map[shardmap.Owner]bool{}
	for _, record := range a.reference {
		owners[record.owner] = true
	}
	return len(owners)
}
