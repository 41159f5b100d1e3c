package shardmap

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

const (
	announceBusy = 100 * clock.Millisecond // while not all routers follow one map
	announceIdle = clock.Second

	pieceRequestInterval = 60 * clock.Millisecond
	maxPiecesPerRequest  = 12
	maxSources           = 8 // number of routers that a map is fetched from
	maxPieces            = 2048
	fetchTimeout         = 2 * clock.Second // time without a piece after which a fetch is abandoned

	maxTransfers = 3 // number of routers that are sent pieces at a time
	transferIdle = 4 * pieceRequestInterval
)

// peerVersion is the map version that a peer follows.
type peerVersion struct {
	Version
	incarnation membership.Incarnation
}

// pendingMap is a map that this router does not follow yet.
type pendingMap struct {
	Version
	state       State
	pieces      [][]byte // nil elements are missing
	received    int      // number of pieces received
	sources     []netip.AddrPort
	complete    *Map
	lastPiece   Micros
	lastRequest Micros
	lastCheck   Micros
}

// transition is the only code that changes the state of a pending map. It panics on a change that the transitions
// table does not allow: only code of this package causes changes, so such a change is a bug here.
func (p *pendingMap) transition(to State) {
	if !slices.Contains(transitions[p.state], to) {
		panic(fmt.Sprintf("shardmap: %v after %v", to, p.state))
	}
	p.state = to
}

// announce sends the current version to the next present peer when it is due.
func (mgr *Manager) announce() {
	interval := announceIdle
	if mgr.state == Prepared || mgr.pending != nil || mgr.current == nil || !mgr.inContact {
		interval = announceBusy
	}
	if mgr.now-mgr.lastAnnounced < interval || len(mgr.announceOrder) < 2 {
		return
	}
	mgr.lastAnnounced = mgr.now
	for range mgr.announceOrder {
		mgr.announceNext = (mgr.announceNext + 1) % len(mgr.announceOrder)
		id := mgr.announceOrder[mgr.announceNext]
		if id != mgr.self.ID && mgr.candidates[id].Present {
			mgr.sendAnnouncement(mgr.candidates[id].Address)
			return
		}
	}
}

// receiveAnnouncement handles the version that a peer follows, its number of pieces, and the owners that the peer
// knows to follow it.
func (mgr *Manager) receiveAnnouncement(
	sender Owner, from netip.AddrPort, version Version, pieces int, confirmed []byte,
) {
	mgr.peerVersions[sender.ID] = peerVersion{version, sender.Incarnation}
	if mgr.candidates.present(sender) && (version.Compare(mgr.highest) >= 0 || !mgr.isBehind()) {
		mgr.highest = version
		mgr.highestAt = mgr.now
	}
	current := mgr.currentVersion()
	switch order := version.Compare(current); {
	case order < 0:
		if mgr.hasSpareTokens() { // other routers announce the higher map to the peer, too
			mgr.sendAnnouncement(from)
		}
	case order == 0:
		if current != (Version{}) {
			mgr.mergeConfirmed(from, confirmed)
		}
	case pieces > 0 && pieces <= maxPieces:
		if version.Term > current.Term && !mgr.recentlyRejected(version.Digest) {
			mgr.laterTermAt = mgr.now
		}
		mgr.startFetch(version, pieces, from)
	}
}

// mergeConfirmed merges the owners that a peer knows to follow the current map.
func (mgr *Manager) mergeConfirmed(from netip.AddrPort, confirmed []byte) {
	mgr.sameMapAt = mgr.now
	peerLacksSome := false
	for i := range min(len(mgr.confirmed), len(confirmed)) {
		if mgr.confirmed[i]&^confirmed[i] != 0 {
			peerLacksSome = true
		}
		mgr.confirmed[i] |= confirmed[i]
	}
	if peerLacksSome && mgr.hasSpareTokens() { // the peer may wait for just these owners
		mgr.sendAnnouncement(from)
	}
}

// startFetch starts fetching a map that a peer follows, unless a higher one is being fetched.
func (mgr *Manager) startFetch(version Version, pieces int, from netip.AddrPort) {
	if mgr.recentlyRejected(version.Digest) {
		return
	}
	p := mgr.pending
	if p == nil || version.Compare(p.Version) > 0 || p.state == Fetching && mgr.now-p.lastPiece > fetchTimeout {
		if p != nil && p.state == Fetching {
			p.transition(Retired)
		}
		p = &pendingMap{Version: version, pieces: make([][]byte, pieces), lastPiece: mgr.now}
		p.transition(Fetching)
		mgr.pending = p
	}
	if p.Version != version || len(p.pieces) != pieces {
		return
	}
	p.addSource(from)
	mgr.requestPieces()
}

func (p *pendingMap) addSource(from netip.AddrPort) {
	if slices.Contains(p.sources, from) {
		return
	}
	if len(p.sources) >= maxSources { // the earliest sources get requests from most routers
		p.sources = p.sources[1:]
	}
	p.sources = append(p.sources, from)
}

// requestPieces requests missing pieces from one of the sources when it is due.
func (mgr *Manager) requestPieces() {
	p := mgr.pending
	if p == nil || p.state != Fetching || mgr.now-p.lastRequest < pieceRequestInterval || len(p.sources) == 0 {
		return
	}
	p.lastRequest = mgr.now
	mgr.sendPieceRequest(p.sources[mgr.random.IntN(len(p.sources))])
}

// receivePiece handles one piece of the map that is being fetched.
func (mgr *Manager) receivePiece(version Version, pieces, index int, piece []byte) {
	p := mgr.pending
	if p == nil || p.state != Fetching || p.Version != version || len(p.pieces) != pieces || p.pieces[index] != nil {
		return
	}
	p.pieces[index] = slices.Clone(piece)
	p.received++
	p.lastPiece = mgr.now
	if p.received == pieces {
		mgr.assemble()
	}
}

// assemble decodes the map after its last piece arrived. A wrong digest means pieces of two maps, or a corrupted
// one.
func (mgr *Manager) assemble() {
	p := mgr.pending
	m, err := decode(slices.Concat(p.pieces...))
	if err != nil || m.Version != p.Version {
		mgr.stats.DigestMismatches++
		mgr.output.Log("shardmap: pieces do not match the map's digest", slog.String("map", p.String()))
		mgr.retirePending()
		return
	}
	p.complete = m
	p.pieces = nil
	p.transition(Complete)
	mgr.tryAdopt()
}

// advancePending continues the fetch or adoption of the pending map, and abandons it after a timeout.
func (mgr *Manager) advancePending() {
	if mgr.laterTermAt > 0 && mgr.now-mgr.laterTermAt > fetchTimeout { // no peer announces that map any more
		mgr.laterTermAt = 0
	}
	p := mgr.pending
	switch {
	case p == nil:
	case p.state == Complete && mgr.now-p.lastCheck >= announceBusy:
		mgr.tryAdopt()
		// its owners are still unknown: wait for another map
		if mgr.pending == p && mgr.now-p.lastPiece > 2*fetchTimeout {
			mgr.retirePending()
		}
	case p.state == Fetching && mgr.now-p.lastPiece > fetchTimeout:
		mgr.retirePending()
	case p.state == Fetching:
		mgr.requestPieces()
	}
}

// transfer is a peer to which pieces are being sent.
type transfer struct {
	peer        netip.AddrPort
	lastRequest Micros
}

// admitTransfer reports whether a peer's request for pieces may be answered. Only a few peers are served at a time,
// each until it has all pieces, so that complete copies spread sooner.
func (mgr *Manager) admitTransfer(peer netip.AddrPort) bool {
	free := -1
	for i := range mgr.transfers {
		t := &mgr.transfers[i]
		if t.peer == peer {
			t.lastRequest = mgr.now
			return true
		}
		if mgr.now-t.lastRequest > transferIdle {
			free = i
		}
	}
	if free < 0 || mgr.limiter.Tokens() < 1 {
		return false
	}
	mgr.transfers[free] = transfer{peer, mgr.now}
	return true
}
