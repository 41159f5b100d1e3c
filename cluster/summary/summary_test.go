package summary

import (
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/directory"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

// TestMain fixes the seed of the randomized tests.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 400) }

const second = clock.Second

var testOwner = shardmap.Owner{ID: 5, Incarnation: 1}

// datagram is a datagram between the owner and a reader.
type datagram struct {
	answer bool // an answer of the owner; otherwise a request of the reader
	reader int  // index of the reader
	b      []byte
}

// testPair is an owner with its records, two readers, and the datagrams between them.
type testPair struct {
	now       Micros
	shardMap  shardmap.Digest
	publisher *Publisher
	readers   [2]*Reader
	records   map[shardmap.Key]*directory.Record
	inFlight  []datagram
}

func newTestPair() *testPair {
	return &testPair{
		now:       second,
		shardMap:  1,
		publisher: NewPublisher(testOwner),
		readers: [2]*Reader{
			NewReader(shardmap.Owner{ID: 6, Incarnation: 1}),
			NewReader(shardmap.Owner{ID: 7, Incarnation: 1}),
		},
		records: map[shardmap.Key]*directory.Record{},
	}
}

// request makes a reader request a piece if one is due, and passes the request to send. The leases of the second
// reader are longer than those of the first.
func (p *testPair) request(reader int, send func(d datagram)) {
	p.readers[reader].Tick(p.now, testOwner, MinLease*Micros(1+reader), func(b []byte) {
		send(datagram{reader: reader, b: append([]byte(nil), b...)})
	})
}

// answer makes the owner answer a request, and passes the answer to send.
func (p *testPair) answer(d datagram, send func(d datagram)) {
	_ = p.publisher.Answer(p.now, d.b, func(b []byte) {
		send(datagram{answer: true, reader: d.reader, b: append([]byte(nil), b...)})
	})
}

// receive makes a reader receive an answer.
func (p *testPair) receive(d datagram) { _ = p.readers[d.reader].Receive(p.now, d.b) }

// delay keeps a datagram in flight, to be delivered later or never.
func (p *testPair) delay(d datagram) { p.inFlight = append(p.inFlight, d) }

// update makes the owner update its summary if one is due.
func (p *testPair) update() {
	p.publisher.Update(p.now, p.shardMap, func(f func(*directory.Record)) {
		for _, r := range p.records {
			f(r)
		}
	})
}

// step performs one random step: a record is added, replaced or removed, time passes, the map changes, a piece is
// requested, or a datagram is delivered.
func (p *testPair) step(t *rapid.T) {
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	case 0, 1:
		k := shardmap.Key(rapid.IntRange(1, 200).Draw(t, "key"))
		group := directory.Group(rapid.IntRange(1, 9).Draw(t, "group"))
		p.records[k] = &directory.Record{Key: k, Group: group, SizeKB: uint32(10 + k)}
	case 2:
		delete(p.records, shardmap.Key(rapid.IntRange(1, 200).Draw(t, "key")))
	case 3:
		p.now += Micros(rapid.IntRange(1, 20).Draw(t, "pause")) * second
	case 4:
		if rapid.IntRange(0, 5).Draw(t, "map") == 0 {
			p.shardMap++
		}
	case 5, 6:
		p.request(rapid.IntRange(0, 1).Draw(t, "reader"), p.delay)
	default:
		p.deliverAny(t)
	}
}

// deliverAny delivers a random datagram in flight, and may keep it there to be delivered again.
func (p *testPair) deliverAny(t *rapid.T) {
	if len(p.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(p.inFlight)-1).Draw(t, "datagram")
	d := p.inFlight[i]
	if rapid.IntRange(0, 3).Draw(t, "fate") > 0 {
		p.inFlight = append(p.inFlight[:i], p.inFlight[i+1:]...)
	}
	if d.answer {
		p.receive(d)
	} else {
		p.answer(d, p.delay)
	}
}

// checkPublished checks that no reader excludes the owner for a published record, whatever query asks for it, and
// counts the checks.
func (p *testPair) checkPublished(t *rapid.T) (checks int) {
	for k, r := range p.records {
		if !p.publisher.Published(p.now, r) {
			continue
		}
		queries := []Query{
			{Object: k},
			{Group: r.Group},
			{MinSizeKB: r.SizeKB, MaxSizeKB: r.SizeKB},
			{Object: k, Group: r.Group},
		}
		for _, reader := range p.readers {
			for i := range queries {
				checks++
				if !reader.MayMatch(p.now, testOwner, p.shardMap, &queries[i]) {
					t.Fatalf("record %v is published, but query %+v excludes the owner", k, queries[i])
				}
			}
		}
	}
	return checks
}

// TestPublishedRecordsAreQueried guards against a query that misses a published record because a reader uses an
// outdated summary. It loses, duplicates, reorders and delays datagrams. After each step no reader may exclude the
// owner for a published record. To be meaningful, the test must also see summaries that exclude the owner for
// other objects.
func TestPublishedRecordsAreQueried(t *testing.T) {
	checks, excludedCount := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		p := newTestPair()
		for range rapid.IntRange(5, 80).Draw(rt, "steps") {
			p.step(rt)
			p.update()
			checks += p.checkPublished(rt)
			for _, reader := range p.readers {
				if !reader.MayMatch(p.now, testOwner, p.shardMap, &Query{Object: 1 << 40}) {
					excludedCount++
				}
			}
		}
	})
	if checks < 10_000 || excludedCount < 100 {
		t.Errorf("%d checks, the owner was excluded %d times, want at least 10000 and 100", checks, excludedCount)
	}
}

// Guards against a router that takes a late answer to an earlier process at its address for an answer to itself: it
// would use the summary for longer than the owner has promised to keep to it.
func TestAnswerToAnEarlierProcessIsIgnored(t *testing.T) {
	publisher := NewPublisher(testOwner)
	publisher.Update(second, 1, func(func(*directory.Record)) {})
	request := func(now Micros, r *Reader) (answers [][]byte) {
		r.Tick(now, testOwner, MinLease, func(b []byte) {
			_ = publisher.Answer(now, b, func(answer []byte) { answers = append(answers, append([]byte(nil), answer...)) })
		})
		return answers
	}
	earlier := NewReader(shardmap.Owner{ID: 6, Incarnation: 1000})
	late := request(second, earlier)
	reader := NewReader(shardmap.Owner{ID: 6, Incarnation: 2000})
	answers := request(2*second, reader)
	for _, b := range late {
		_ = reader.Receive(2*second, b)
	}
	if reader.owners[testOwner].current != nil {
		t.Error("an answer to an earlier process was used")
	}
	for _, b := range answers {
		_ = reader.Receive(2*second, b)
	}
	if len(answers) == 0 || reader.owners[testOwner].current == nil {
		t.Errorf("the reader has no summary after %d answers", len(answers))
	}
}

// BenchmarkMayMatch measures the check of a query against a summary of 300 records.
func BenchmarkMayMatch(b *testing.B) {
	publisher, reader := NewPublisher(testOwner), NewReader(shardmap.Owner{ID: 6, Incarnation: 1})
	publisher.Update(second, 1, func(f func(*directory.Record)) {
		for i := range 300 {
			f(&directory.Record{Key: shardmap.Key(i+1) << 20, SizeKB: 5})
		}
	})
	for range 20 {
		reader.Tick(second, testOwner, MinLease, func(request []byte) {
			_ = publisher.Answer(second, request, func(p []byte) { _ = reader.Receive(second, p) })
		})
		reader.owners[testOwner].requestedAt = 0
	}
	q := Query{Object: 77}
	b.ReportAllocs()
	for range b.N {
		if reader.MayMatch(second, testOwner, 1, &q) {
			b.Fatal("no summary excludes the owner")
		}
	}
}

// Kinds of steps of a history in TestEverySmallHistory.
const (
	addRecord       = iota
	passUpdate      // time passes until an update of the summary is due
	passLease       // time passes until the leases of the first reader have ended
	requestByFirst  // the first reader requests and receives a piece
	requestBySecond // the second reader requests and receives a piece
	delayAnswer     // the first reader requests a piece, and the answer is delayed
	delayRequest    // the second reader's request is delayed
	deliverDelayed  // the oldest delayed datagram is delivered
	stepKinds
)

// smallStep performs one step of a history. Datagrams that are not delayed are delivered at once.
func (p *testPair) smallStep(kind int) {
	switch kind {
	case addRecord:
		if len(p.records) < 3 {
			k := shardmap.Key(len(p.records) + 1)
			p.records[k] = &directory.Record{Key: k, Group: directory.Group(k), SizeKB: uint32(k) * 100}
		}
	case passUpdate:
		p.now += updateInterval + second
	case passLease:
		p.now += MinLease
	case requestByFirst, requestBySecond:
		p.request(kind-requestByFirst, func(d datagram) { p.answer(d, p.receive) })
	case delayAnswer:
		p.request(0, func(d datagram) { p.answer(d, p.delay) })
	case delayRequest:
		p.request(1, p.delay)
	case deliverDelayed:
		if len(p.inFlight) == 0 {
			return
		}
		d := p.inFlight[0]
		p.inFlight = p.inFlight[1:]
		if d.answer {
			p.receive(d)
		} else {
			p.answer(d, p.receive)
		}
	}
}

// TestEverySmallHistory tests every history of six steps with two readers and three records, so that it finds each
// short sequence of delayed requests and answers that breaks the rules of leases. No reader may ever exclude the
// owner for a published record.
func TestEverySmallHistory(t *testing.T) {
	const steps = 6
	histories := 1
	for range steps {
		histories *= stepKinds
	}
	publishedCount, excludedCount := 0, 0
	// The octal digits of a history's number are its steps; the last digit is the first step.
	for historyNumber := range histories {
		p := newTestPair()
		for i, c := 0, historyNumber; i < steps; i, c = i+1, c/stepKinds {
			p.smallStep(c % stepKinds)
			p.now += requestInterval
			p.update()
			for _, r := range p.records {
				for _, reader := range p.readers {
					mayMatch := reader.MayMatch(p.now, testOwner, 1, &Query{Object: r.Key})
					if p.publisher.Published(p.now, r) {
						publishedCount++
						if !mayMatch {
							t.Fatalf("history %o: record %d is published, but the owner is excluded", historyNumber, r.Key)
						}
					} else if !mayMatch {
						excludedCount++
					}
				}
			}
		}
	}
	if publishedCount < 10_000 || excludedCount < 1000 {
		t.Errorf("%d checks of published records, %d of records whose owner is excluded, want at least 10000 and 1000",
			publishedCount, excludedCount)
	}
}
