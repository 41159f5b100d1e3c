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

// QueryClient is a member of the cluster that serves no requests. It queries the records of the other members, and
// compares each answer with an earlier reference. Its fields count the queries. It is not safe for concurrent use.
type QueryClient struct {
	Queries, Complete int
	// MissedRecords counts records that are missing from a complete answer although their owner is the same
	// incarnation as in the reference.
	MissedRecords   int
	FalselyComplete int // answers with missed records
	UnknownMaps     int // complete answers under a shard map that was not observed

	control   *control.Controller
	maps      map[shardmap.Version]*shardmap.Map // shard maps observed before and after queries
	reference map[shardmap.Key]ownedRecord       // by object
}

// ownedRecord is a record of the reference with its owner at that time.
type ownedRecord struct {
	directory.Record
	owner shardmap.Owner
}

// queryReceiver passes datagrams to a controller. The channel needs a receiver when it is created, but the controller
// is created later, because it needs the channel.
type queryReceiver struct{ controller *control.Controller }

// HandleDatagram passes a datagram to the controller.
func (r *queryReceiver) HandleDatagram(kind byte, from netip.AddrPort, payload []byte) {
	r.controller.HandleDatagram(kind, from, payload)
}

// queryClientSeed is the seed of the controller's random numbers.
const queryClientSeed = 77

// QueryClient joins the cluster in the place of router i, which must not be running.
func (z *Zone) QueryClient(i int) (*QueryClient, error) {
	secrets, err := peers.ReadKeys(z.keyFile)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	receiver := &queryReceiver{}
	channel, err := peers.Listen(z.peerAddresses[i], secrets, receiver, log)
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
			ID:          operator.NodeIDOf(z.relayAddresses[i]),
			Address:     z.relayAddresses[i],
			Zone:        1, // index of "branch" in the failure_domains of Settings
			Weight:      1,
			Incarnation: membership.Incarnation(time.Now().UnixMilli()),
		},
	}
	for _, address := range z.relayAddresses {
		config.Peers = append(config.Peers, membership.Peer{ID: operator.NodeIDOf(address), Address: address})
	}
	q := &QueryClient{maps: map[shardmap.Version]*shardmap.Map{}, reference: map[shardmap.Key]ownedRecord{}}
	q.control = control.New(config, channel)
	receiver.controller = q.control
	q.control.Run()
	return q, nil
}

// Close leaves the cluster.
func (q *QueryClient) Close() { q.control.Stop() }

// queryGrace is the time within which a query must end after its timeout.
const queryGrace = 5 * time.Second

var errQueryNotEnded = errors.New("testserver: a query did not end after its timeout")

// query makes a query and waits for its result. It records the shard maps before and after the query.
func (q *QueryClient) query(query summary.Query, timeout time.Duration) (scatter.Result, error) {
	type outcome struct {
		result scatter.Result
		err    error
	}
	ended := make(chan outcome, 1)
	q.observeMap()
	deadline := control.Micros(time.Now().Add(timeout).UnixMicro())
	q.control.Query(query, 0, deadline, func(result scatter.Result, err error) { ended <- outcome{result, err} })
	defer q.observeMap()
	select {
	case o := <-ended:
		return o.result, o.err
	case <-time.After(timeout + queryGrace):
		return scatter.Result{}, errQueryNotEnded
	}
}

// observeMap records the current shard map.
func (q *QueryClient) observeMap() {
	if snapshot := q.control.Snapshot(); snapshot.ShardMap != nil {
		q.maps[snapshot.ShardMap.Version] = snapshot.ShardMap
	}
}

const (
	referenceQueryTimeout = 3 * time.Second
	referenceQueryPause   = 100 * time.Millisecond
)

// TakeReference queries all records until an answer is complete, and stores it as the reference. The records must
// not change afterward. It returns an error if no answer is complete within the timeout.
func (q *QueryClient) TakeReference(timeout time.Duration) (records int, err error) {
	var result scatter.Result
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(referenceQueryPause) {
		result, err = q.query(summary.Query{}, referenceQueryTimeout)
		shards := q.maps[result.MapVersion]
		if err != nil || !result.Complete || shards == nil {
			continue
		}
		for _, record := range result.Records {
			owner := shards.Owners[shards.RangeOf(record.Key).Owner]
			q.reference[record.Key] = ownedRecord{Record: record, owner: owner}
		}
		return len(q.reference), nil
	}
	return 0, fmt.Errorf("no complete answer to a query of all records within %s: %+v, %w", timeout, result, err)
}

// Query queries all records, the records of one object, or those of one size, depending on n. It compares a
// complete answer with the reference. The error is that of the query.
func (q *QueryClient) Query(n int, timeout time.Duration) error {
	query := q.nthQuery(n)
	result, err := q.query(query, timeout)
	if err != nil {
		return err
	}
	q.Queries++
	if !result.Complete {
		return nil
	}
	q.Complete++
	shards := q.maps[result.MapVersion]
	if shards == nil {
		q.UnknownMaps++
		return nil
	}
	missed := q.countMissed(&query, result.Records, shards)
	q.MissedRecords += missed
	if missed > 0 {
		q.FalselyComplete++
	}
	return nil
}

// nthQuery returns the n-th query: in turn one for all records, for the object of a record of the reference, and
// for the size of such a record. The order of a map's iteration selects the record, so it differs between runs.
func (q *QueryClient) nthQuery(n int) summary.Query {
	var query summary.Query
	position := 0
	for _, record := range q.reference {
		position++
		if position <= n%max(len(q.reference), 1) {
			continue
		}
		switch n % 3 {
		case 1:
			query.Object = record.Key
		case 2:
			query.MinSizeKB = record.SizeKB
			query.MaxSizeKB = record.SizeKB
		}
		break
	}
	return query
}

// countMissed counts the records of the reference that match a query and still have the same owner, but are not among
// the records received.
func (q *QueryClient) countMissed(query *summary.Query, records []directory.Record, shards *shardmap.Map) int {
	received := map[shardmap.Key]bool{}
	for _, record := range records {
		received[record.Key] = true
	}
	missed := 0
	for key, expected := range q.reference {
		sameOwner := shards.Owners[shards.RangeOf(key).Owner] == expected.owner
		if sameOwner && scatter.Matches(query, &expected.Record) && !received[key] {
			missed++
		}
	}
	return missed
}

// OwnerCount returns the number of routers that own records of the reference.
func (q *QueryClient) OwnerCount() int {
	owners := map[shardmap.Owner]bool{}
	for _, record := range q.reference {
		owners[record.owner] = true
	}
	return len(owners)
}
