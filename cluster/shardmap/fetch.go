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
	// A router announces the version of its map to one peer per interval. The busy interval applies while its map is
	// not active, another map is pending, or the router may not serve keys.
	busyAnnounceInterval = 100 * clock.Millisecond
	idleAnnounceInterval = clock.Second

	pieceRequestInterval = 60 * clock.Millisecond // between the requests of one router, to any source
	maxPiecesPerRequest  = 12
	maxSources           = 8                // number of routers that a map is fetched from
	maxPieces            = 2048             // of a map
	fetchTimeout         = 2 * clock.Second // time without a piece after which a fetch is abandoned

	maxTransfers = 3                        // number of routers that are sent pieces at a time
	transferIdle = 4 * pieceRequestInterval // time without a request after which a transfer is over
)

// peerVersion is the map version that a peer last announced, and the incarnation in which the peer announced it; the
// zero version means that the peer follows no map.
type peerVersion struct {
	Version
	incarnation membership.Incarnation
}

// pendingMap is a map that this router does not follow yet: one being fetched or validated, or its own proposal.
type pendingMap struct {
	Version
	state          State
	pieces         [][]byte         // by index, nil if missing; released once all have arrived
	received       int              // number of pieces received
	sources        []netip.AddrPort // peers that follow the map, oldest first; at most maxSources
	shardMap       *Map             // nil while Fetching
	lastProgress   Micros           // when the fetch started or the last piece arrived
	lastRequest    Micros           // when pieces were last requested
	lastValidation Micros           // when tryAdopt last validated the map
}

// transition changes the state of a pending map; no other code does. It panics on a change that the transitions
// table does not allow: no input can cause such a change, so it is a bug of this package.
func (p *pendingMap) transition(to State) {
	if !slices.Contains(transitions[p.state], to) {
		panic(fmt.Sprintf("shardmap: invalid transition to state %v from state %v", to, p.state))
	}
	p.state = to
}

// announce sends the version that this router follows to the next present peer in announceOrder, once per interval.
func (mgr *Manager) announce() {
	interval := idleAnnounceInterval
	if mgr.state == Prepared || mgr.pending != nil || mgr.current == nil || !mgr.inContact {
		interval = busyAnnounceInterval
	}
	if mgr.now-mgr.lastAnnounced < interval || len(mgr.announceOrder) < 2 {
		return
	}
	mgr.lastAnnounced = mgr.now
	for range mgr.announceOrder {
		mgr.announceIndex = (mgr.announceIndex + 1) % len(mgr.announceOrder)
		id := mgr.announceOrder[mgr.announceIndex]
		if id != mgr.self.ID && mgr.candidates[id].Present {
			mgr.sendAnnouncement(mgr.candidates[id].Address)
			return
		}
	}
}

// receiveAnnouncement handles the version that a peer follows, the number of pieces of that map, and the bit set
// of its owners that the peer knows to follow it. A higher version than the current one is fetched; a lower one is
// answered with this router's announcement, so that the peer fetches the current map. The sender and from are the
// peer's identity and address.
func (mgr *Manager) receiveAnnouncement(
	sender Owner, from netip.AddrPort, version Version, pieces int, confirmed []byte,
) {
	mgr.peerVersions[sender.ID] = peerVersion{version, sender.Incarnation}
	if mgr.candidates.present(sender) && (version.Compare(mgr.highest) >= 0 || !mgr.isBehind()) {
		mgr.highest = version
		mgr.highestAnnouncedAt = mgr.now
	}
	current := mgr.currentVersion()
	switch order := version.Compare(current); {
	case order < 0:
		if mgr.hasSpareTokens() { // optional: other routers announce the higher map to the peer, too
			mgr.sendAnnouncement(from)
		}
	case order == 0:
		if current != (Version{}) {
			mgr.mergeConfirmed(from, confirmed)
		}
	case pieces > 0 && pieces <= maxPieces:
		if version.Term > current.Term && !mgr.recentlyRejected(version.Digest) {
			mgr.laterTermAnnouncedAt = mgr.now
		}
		mgr.startFetch(version, pieces, from)
	}
}

// mergeConfirmed adds the owners that a peer knows to follow the current map to those that this router knows. Both
// are bit sets by owner index. If the peer lacks some, it is sent this router's set.
func (mgr *Manager) mergeConfirmed(from netip.AddrPort, confirmed []byte) {
	peerLacksSome := false
	for i := range min(len(mgr.confirmed), len(confirmed)) {
		if mgr.confirmed[i]&^confirmed[i] != 0 {
			peerLacksSome = true
		}
		mgr.confirmed[i] |= confirmed[i]
	}
	if peerLacksSome && mgr.hasSpareTokens() { // these may be the last owners that the peer waits for
		mgr.sendAnnouncement(from)
	}
}

// startFetch starts fetching a map that a peer follows, and replaces the pending map if that is lower or its fetch
// has timed out. If the map is being fetched already, the peer becomes another source. A recently rejected map is
// not fetched.
func (mgr *Manager) startFetch(version Version, pieces int, from netip.AddrPort) {
	if mgr.recentlyRejected(version.Digest) {
		return
	}
	p := mgr.pending
	if p == nil || version.Compare(p.Version) > 0 || p.state == Fetching && mgr.now-p.lastProgress > fetchTimeout {
		if p != nil && p.state == Fetching {
			p.transition(Retired)
		}
		p = &pendingMap{Version: version, pieces: make([][]byte, pieces), lastProgress: mgr.now}
		p.transition(Fetching)
		mgr.pending = p
	}
	if p.Version != version || len(p.pieces) != pieces {
		return
	}
	p.addSource(from)
	mgr.requestPieces()
}

// addSource adds a peer from which pieces can be requested, and drops the oldest source if there are too many.
func (p *pendingMap) addSource(from netip.AddrPort) {
	if slices.Contains(p.sources, from) {
		return
	}
	if len(p.sources) >= maxSources { // most routers know the oldest sources and send their requests to them
		p.sources = p.sources[1:]
	}
	p.sources = append(p.sources, from)
}

// requestPieces requests missing pieces from a random source, at most once per pieceRequestInterval.
func (mgr *Manager) requestPieces() {
	p := mgr.pending
	if p == nil || p.state != Fetching || mgr.now-p.lastRequest < pieceRequestInterval || len(p.sources) == 0 {
		return
	}
	p.lastRequest = mgr.now
	mgr.sendPieceRequest(p.sources[mgr.random.IntN(len(p.sources))])
}

// receivePiece stores one piece of the map that is being fetched. It ignores duplicates and pieces of other maps.
// The piece is copied.
func (mgr *Manager) receivePiece(version Version, pieces, index int, piece []byte) {
	p := mgr.pending
	if p == nil || p.state != Fetching || p.Version != version || len(p.pieces) != pieces || p.pieces[index] != nil {
		return
	}
	p.pieces[index] = slices.Clone(piece)
	p.received++
	p.lastProgress = mgr.now
	if p.received == pieces {
		mgr.assemble()
	}
}

// assemble decodes the map after its last piece has arrived, and tries to adopt it. If the decoded version, which
// contains the digest, is not the announced one, a piece is corrupted or belongs to another map: the fetch is
// abandoned.
func (mgr *Manager) assemble() {
	p := mgr.pending
	m, err := decode(slices.Concat(p.pieces...))
	if err != nil || m.Version != p.Version {
		mgr.stats.DigestMismatches++
		mgr.output.Log("shardmap: pieces do not match the map's digest", slog.String("map", p.String()))
		mgr.retirePending()
		return
	}
	p.shardMap = m
	p.pieces = nil
	p.transition(Complete)
	mgr.tryAdopt()
}

// advancePending continues the fetch or the validation of the pending map, and abandons it after a timeout. It also
// expires laterTermAnnouncedAt.
func (mgr *Manager) advancePending() {
	if mgr.laterTermAnnouncedAt > 0 && mgr.now-mgr.laterTermAnnouncedAt > fetchTimeout {
		// No peer announces that map any more.
		mgr.laterTermAnnouncedAt = 0
	}
	p := mgr.pending
	switch {
	case p == nil:
	case p.state == Complete && mgr.now-p.lastValidation >= busyAnnounceInterval:
		mgr.tryAdopt()
		// The map still breaks a transient rule: wait for another map.
		if mgr.pending == p && mgr.now-p.lastProgress > 2*fetchTimeout {
			mgr.retirePending()
		}
	case p.state == Fetching && mgr.now-p.lastProgress > fetchTimeout:
		mgr.retirePending()
	case p.state == Fetching:
		mgr.requestPieces()
	}
}

// transfer is a peer to which pieces are being sent. An element of Manager.transfers is free after transferIdle.
type transfer struct {
	peer        netip.AddrPort
	lastRequest Micros // when the peer last requested pieces
}

// admitTransfer reports whether a peer's request for pieces may be answered. Pieces are sent to at most maxTransfers
// peers at a time, to each until it stops requesting: peers that have the complete map soon become sources for the
// others.
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
