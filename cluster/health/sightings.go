// Package sightings passes on what probes of caches showed, with its age, so that each router need not probe. Free of I/O.
//
// How it is called: Probed tells what an own probe showed, Hear takes a datagram of a peer, Tick sends what is to be told.
// What is new, of one's own or of another's, goes to the Desk.
package health

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math/bits"
	"net/netip"
	"slices"

	"threadrun/internal/clock"
	"threadrun/internal/octets"
	"threadrun/internal/random"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// CacheID names a cache: a hash of its name, the same at every router.
type CacheID uint64

// Report is what a probe showed.
type Report struct {
	Cache      CacheID
	Healthy    bool
	Latency    Micros // until it answered
	ObservedAt Micros // when it was seen
}

// Output takes what comes out.
type Output interface {
	Updated(s Report, own bool)
	Send(to netip.AddrPort, b []byte) // b is good within the call only
	Peers(f func(netip.AddrPort))     // those that share the caches, in an order that stays
}

const (
	most      = 1024
	tellEvery = 50 * clock.Millisecond
	perSecond = 20.0 // datagrams
	burst     = 20.0
	entryMost = 8 + 1 + 5 + 5
	forgets   = 60 * clock.Second
	relays    = 2 // the logarithm of the peers, less that: how often another's is told on
	version   = 1
)

// Oldest is the age at which a sighting says nothing any more.
const Oldest = 3 * clock.Second

// MaxPayload is the most that a datagram of this package takes.
const MaxPayload = 208

// ErrUnreadable is the error of a datagram that is not one of this package's.
var ErrUnreadable = errors.New("sightings: unreadable datagram")

// Stats counts what has happened since the start.
type Stats struct{ OwnProbes, Received, New, Sent, Unreadable, Full uint64 }

type sight struct {
	Report
	tells int
}

// Reports is one router's table.
type Reports struct {
	now    Micros
	desk   Output
	chance random.Source
	all    []sight // by cache
	told   Micros
	tokens float64
	filled Micros
	swept  Micros
	peers  []netip.AddrPort
	tally  Stats
	buf    [MaxPayload + entryMost]byte
}

// New makes an empty table.
func New(now Micros, seed uint32, desk Output) *Reports {
	return &Reports{now: now, desk: desk, chance: random.Source{Seed: seed}, told: now, tokens: burst, filled: now, swept: now}
}

// RecordProbe tells what an own probe showed.
func (s *Reports) RecordProbe(now Micros, x Report) {
	s.now = max(s.now, now)
	s.tally.OwnProbes++
	s.learn(x, true)
}

// learn takes what is newer than what is known.
func (s *Reports) learn(x Report, own bool) {
	if s.now-x.ObservedAt > Oldest {
		return
	}
	at, found := slices.BinarySearchFunc(s.all, x.Cache, func(y sight, m CacheID) int { return cmp.Compare(y.Cache, m) })
	switch {
	case !found && len(s.all) >= most:
		s.tally.Full++
		return
	case !found:
		s.all = slices.Insert(s.all, at, sight{})
	case x.ObservedAt <= s.all[at].ObservedAt:
		return
	}
	n := 0
	s.desk.Peers(func(netip.AddrPort) { n++ })
	tells := max(bits.Len(uint(n))-relays, 0)
	if own {
		tells = min(n, 3*bits.Len(uint(n)))
	}
	s.all[at] = sight{x, tells}
	s.tally.New++
	s.desk.Updated(x, own)
}

// ProbeDue tells whether a cache is to be probed: nobody's probe has shown anything of it for so long.
func (s *Reports) ProbeDue(now Micros, m CacheID, every Micros) bool {
	x, known := s.At(m)
	return !known || now-x.ObservedAt >= every
}

// At gives the last sighting of a cache.
func (s *Reports) At(m CacheID) (Report, bool) {
	at, found := slices.BinarySearchFunc(s.all, m, func(y sight, m CacheID) int { return cmp.Compare(y.Cache, m) })
	if !found {
		return Report{}, false
	}
	return s.all[at].Report, true
}

// Tick tells peers what is new, and forgets what is long past.
func (s *Reports) Tick(now Micros) {
	s.now = max(s.now, now)
	if s.now-s.swept > forgets {
		s.swept = s.now
		s.all = slices.DeleteFunc(s.all, func(x sight) bool { return s.now-x.ObservedAt > forgets })
	}
	if s.now-s.told < tellEvery {
		return
	}
	s.told = s.now
	if !slices.ContainsFunc(s.all, s.untold) {
		return
	}
	s.peers = s.peers[:0]
	s.desk.Peers(func(p netip.AddrPort) { s.peers = append(s.peers, p) })
	s.chance.Shuffle(len(s.peers), func(i, j int) { s.peers[i], s.peers[j] = s.peers[j], s.peers[i] })
	for _, to := range s.peers {
		s.tokens = min(s.tokens+(s.now-s.filled).Seconds()*perSecond, burst)
		if s.filled = s.now; s.tokens < 1 {
			return
		}
		b := append(s.buf[:0], version)
		for i := range s.all {
			if s.untold(s.all[i]) {
				if more := s.append(b, &s.all[i].Report); len(more) <= MaxPayload {
					b = more
					s.all[i].tells--
				}
			}
		}
		if len(b) == 1 {
			return
		}
		s.tokens--
		s.tally.Sent++
		s.desk.Send(to, b)
	}
}

func (s *Reports) untold(x sight) bool { return x.tells > 0 && s.now-x.ObservedAt < Oldest }

// append writes a sighting; its age goes along, for clocks differ.
func (s *Reports) append(b []byte, x *Report) []byte {
	there := byte(0)
	if x.Healthy {
		there = 1
	}
	b = append(octets.AppendWord(b, uint64(x.Cache), 8), there)
	b = binary.AppendUvarint(b, uint64(max(s.now-x.ObservedAt, 0)/clock.Millisecond))
	return binary.AppendUvarint(b, uint64(max(x.Latency, 0)/clock.Millisecond))
}

// Receive takes a datagram of a peer.
func (s *Reports) Receive(now Micros, b []byte) error {
	s.now = max(s.now, now)
	r := octets.Reader{B: b}
	if len(b) > MaxPayload || r.Byte() != version {
		s.tally.Unreadable++
		return ErrUnreadable
	}
	var list [MaxPayload / 11]Report
	n := 0
	for ; len(r.B) > 0 && n < len(list); n++ {
		x := Report{Cache: CacheID(r.Word(8)), Healthy: r.Byte() == 1}
		x.ObservedAt = s.now - Micros(r.Number(1<<32))*clock.Millisecond
		x.Latency = Micros(r.Number(1<<32)) * clock.Millisecond
		list[n] = x
	}
	if r.Bad {
		s.tally.Unreadable++
		return ErrUnreadable
	}
	for _, x := range list[:n] {
		s.tally.Received++
		s.learn(x, false)
	}
	return nil
}

// Stats counts what has happened.
func (s *Reports) Stats() Stats { return s.tally }
