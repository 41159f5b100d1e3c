package membership

import (
	"fmt"
	"math"
	"net/netip"
	"slices"

	"threadrun/internal/clock"
)

// Receive takes a datagram.
func (m *Members) Receive(now Micros, from netip.AddrPort, b []byte) error {
	m.pass(now)
	m.tally.Received++
	if m.state == Left {
		return nil
	}
	h, err := read(b)
	if err != nil || h.sender.ID == m.self.ID && h.sender.Incarnation == m.self.Incarnation {
		m.tally.Unreadable++
		return ErrUnreadable
	}
	m.heard = m.now
	m.learn(&h.sender, h.sender.ID, true)
	for len(h.news.B) > 0 {
		if e := readEntry(&h.news); m.whole(&e) {
			m.learn(&e, h.sender.ID, false)
		}
	}
	if h.sender.Address.IsValid() {
		from = h.sender.Address // where it can be reached, whatever way this came
	}
	m.answer(&h, from)
	return nil
}

// answer does what a datagram asks for.
func (m *Members) answer(h *heard, from netip.AddrPort) {
	r := m.find(h.sender.ID)
	switch h.kind {
	case ping:
		m.begin(ack).number(h.seq).mend(&h.sums, r).news(r).send(from)
	case ack:
		m.prove(h.seq)
		if i := m.probed(h.seq); i >= 0 {
			m.counted(m.probes[i].tries > 1)
			m.probes = slices.Delete(m.probes, i, i+1)
			m.ail(-1)
		}
		m.relay(h.seq, r)
	case ask:
		if h.who == m.self.ID || len(m.relays) >= relaysMost {
			return
		}
		t := m.find(h.who)
		if t != nil {
			h.where = t.Address
		}
		m.seq++
		m.relays = append(m.relays, relay{seq: m.seq, theirs: h.seq, asker: from, target: h.who,
			until: m.now + m.pace.AckTimeout})
		m.begin(ping).number(m.seq).sums().news(t).send(h.where)
	case nack:
		if i := m.probed(h.seq); i >= 0 {
			m.probes[i].heard++
		}
		m.prove(h.seq)
	case pull:
		m.list(from, h.who)
	case page:
		m.listed = m.listed || h.who == 0
		m.cursor = h.who
	}
}

// prove notes that others hear this router: an answer has come to what left then.
func (m *Members) prove(seq uint32) {
	if at := m.recents[seq%recentMost]; at.seq == seq && at.sent > m.proved {
		m.proved = at.sent
	}
}

// relay passes an answer on to whom a member was probed for.
func (m *Members) relay(seq uint32, r *member) {
	for i, w := range m.relays {
		if r != nil && w.seq == seq && w.target == r.ID {
			m.relays = slices.Delete(m.relays, i, i+1)
			d, _ := m.begin(ack).number(w.theirs).entry(r)
			d.news(nil).send(w.asker)
			return
		}
	}
}

// list answers a pull: the members after a mark, and where the next part begins; 0 starts over.
func (m *Members) list(to netip.AddrPort, after NodeID) {
	at, found := m.place(after)
	if found {
		at++
	}
	for range pagesMost {
		b, end := m.begin(page), at
		head := b.n
		b = b.mark(0)
		for fits := true; end < len(m.all) && fits; {
			if m.all[end].State != Unknown {
				b, fits = b.entry(m.all[end])
			}
			if fits {
				end++
			}
		}
		if end < len(m.all) && end > 0 {
			draft{m, head}.mark(m.all[end-1].ID)
		}
		b.send(to)
		if at = end; at >= len(m.all) {
			return
		}
	}
}

// learn believes, or not, a piece of news. By is who told it; what a member tells of itself is direct. A death is never
// believed on another's word: it counts as one more accusation, so that no single datagram can have everyone dead.
func (m *Members) learn(e *entry, by NodeID, direct bool) {
	if e.ID == m.self.ID {
		m.hearOfSelf(e)
		return
	}
	r := m.find(e.ID)
	if r == nil {
		if !e.state.Present() {
			return
		}
		if r = m.enter(e.ID); r == nil {
			return
		}
	}
	if e.accuser == 0 && direct {
		e.accuser = by
	}
	if !direct {
		r.known(e)
	}
	if direct && (r.State == Dead || r.State == Suspect) && e.Incarnation == r.Incarnation {
		m.back(r)
	}
	switch {
	case e.Incarnation < r.Incarnation:
		r.stale = r.stale || direct // it lives in the past, and is told so
	case e.Incarnation > r.Incarnation || r.State == Unknown:
		if !direct && !e.state.Present() {
			return
		}
		if !direct {
			m.lacked = m.now
		}
		m.reborn(r, e, by)
	case e.state == Alive && e.inc > r.inc:
		r.inc = e.inc
		m.move(r, Alive)
	case e.state == Leaving && (e.inc > r.inc || e.inc == r.inc && r.State == Alive):
		r.inc = e.inc
		m.move(r, Leaving)
	case e.state == Left && (direct || r.State == Leaving) && e.inc >= r.inc:
		r.inc = e.inc
		m.move(r, Left)
	case e.state == Suspect || !e.state.Present():
		m.suspect(r, e.inc, e.accuser)
	}
	if direct && r.Incarnation == e.Incarnation {
		r.Identity = e.Identity
	}
}

// known has a piece of news go round less where it is heard from another: whoever tells what all know is to stop.
func (r *member) known(e *entry) {
	if r.tells > 0 && e.Incarnation == r.Incarnation && e.inc == r.inc && e.state == r.State {
		r.tells--
	}
}

// reborn takes in a member's new life, or the first that is heard of it.
func (m *Members) reborn(r *member, e *entry, by NodeID) {
	r.Identity, r.inc, r.accused, r.urgent = e.Identity, e.inc, 0, false // in brief, as its death went round, nobody would learn of its new life
	m.tell(r, false)
	state := e.state
	if !state.Present() {
		state = Suspect
	}
	r.State, r.Since = state, m.now
	if state == Suspect {
		m.tally.Suspicions++
		r.accusers[0], r.accused = e.accuser, 1
	}
	m.post.Changed(r.Member)
}

// hearOfSelf refutes what others hold of this router. One that hears of a later life than its own has been started
// before with a clock that ran ahead, and lives anew after that.
func (m *Members) hearOfSelf(e *entry) {
	switch {
	case e.Incarnation > m.self.Incarnation:
		m.post.Note(fmt.Sprintf("members: a later life of this router is known, %d after %d: it goes on as a new one",
			e.Incarnation, m.self.Incarnation))
		m.self.Incarnation, m.inc = e.Incarnation+1, 0
		m.post.Changed(m.Self())
	case e.Incarnation == m.self.Incarnation && e.inc >= m.inc && (e.state != Alive && e.state != m.state):
		m.inc = e.inc + 1
		m.tally.Refuted++
		m.ail(1)
	}
}

// suspect enters an accusation.
func (m *Members) suspect(r *member, inc Refutations, by NodeID) {
	switch {
	case inc < r.inc || !r.State.Present() || by == r.ID || by == 0 || !m.credible(by):
		return
	case r.State == Leaving: // it had told: nothing is to be waited for
		if by == m.self.ID {
			m.move(r, Left)
		}
		return
	case r.State != Suspect || inc > r.inc:
		m.tally.Suspicions++
		r.inc, r.accused = inc, 0
		if r.State == Suspect {
			r.Since = m.now
		} else {
			m.move(r, Suspect)
		}
	}
	for _, a := range r.accusers[:r.accused] {
		if a == by {
			return
		}
	}
	if r.accused < len(r.accusers) {
		r.accusers[r.accused] = by
		r.accused++
		m.tell(r, true)
	}
}

// credible tells whether a member's accusations count: beyond a split that has healed, all accuse all of what the split did.
func (m *Members) credible(by NodeID) bool {
	if by == m.self.ID {
		return true
	}
	r := m.find(by)
	return r != nil && r.State.Present()
}

// patience is how long a suspect has to refute: the less, the more have accused it by themselves.
func (m *Members) patience(r *member) Micros {
	most := min(m.doubt.Confirmations, m.alive(), accusersMost-1) // that can come to the first
	if most <= 0 {
		return m.wary((m.doubt.MinTimeout + m.doubt.MaxTimeout) / 2)
	}
	if r.accused <= 1 { // news takes longer among many
		return m.wary(Micros(float64(m.doubt.MaxTimeout) * max(1, math.Log2(float64(len(m.all)+2))/4)))
	}
	share := math.Log(float64(min(r.accused-1, most)+1)) / math.Log(float64(most+1))
	return m.wary(m.doubt.MaxTimeout - Micros(share*float64(m.doubt.MaxTimeout-m.doubt.MinTimeout)))
}

// alive counts the others that nobody doubts.
func (m *Members) alive() (n int) {
	for _, r := range m.all {
		if r.State == Alive {
			n++
		}
	}
	return n
}

// wary is how much longer a router that is itself slow waits before it believes a death.
func (m *Members) wary(t Micros) Micros { return t + t*Micros(m.health)/wariness }

// judge believes deaths that were not refuted in time.
func (m *Members) judge() {
	for _, r := range m.all {
		if r.State != Suspect || m.now-max(r.Since, m.healed) < m.patience(r) || !m.checked(r) {
			continue
		}
		m.tally.Deaths++
		m.move(r, Dead)
	}
}

// checked tells whether a death may be believed. After a split has healed, all are accused of what the split did, and among
// hundreds of pieces of news their refutations come late: so a ping of our own must first have gone unanswered.
func (m *Members) checked(r *member) bool {
	if m.healed == 0 || m.now-m.healed > waryFor {
		return true
	}
	tries := 1
	for miss := m.loss; miss > missMost && tries < triesMost; miss *= m.loss {
		tries++
	}
	wait := m.pace.AckTimeout * m.slack()
	if r.asked < m.healed {
		r.asks = 0
	}
	switch {
	case r.asks >= tries && m.now-r.asked >= wait:
		return true
	case r.asks < tries && m.now-r.asked >= wait && m.now-m.checking >= checkEvery && m.tokens > checkLeaves:
		r.asks, r.asked, m.checking = r.asks+1, m.now, m.now
		m.ping(r)
	}
	return false
}

// back notes that one that was suspected or taken for dead has spoken in the same life. Where several do, a split has healed, and those
// that are suspected for it get their time anew.
func (m *Members) back(r *member) {
	if r.ID == m.lastBack {
		return
	}
	m.lastBack = r.ID
	if m.now-m.firstBack > clock.Second {
		m.firstBack, m.backs = m.now, 0
	}
	if m.backs++; m.backs == backsMany && m.now-m.healed > healedEvery {
		m.healed = m.now
	}
}

// move is the one place where a member changes its state within one life.
func (m *Members) move(r *member, to State) {
	for _, s := range follows[r.State] {
		if s != to {
			continue
		}
		if to == Left {
			m.tally.Departures++
		}
		r.asks = 0
		r.State, r.Since = to, m.now
		if to != Suspect && to != Dead { // who accused it is told with its death
			r.accused = 0
		}
		m.tell(r, true)
		m.post.Changed(r.Member)
		return
	}
}

// sooner tells whether news of a member goes before that of another: doubts and their end before who has come.
func (r *member) sooner(o *member) bool {
	if r.urgent != o.urgent {
		return r.urgent
	}
	if a, b := r.State == Alive, o.State == Alive; a != b { // a refutation is waited for with a clock running
		return a
	}
	return r.tells > o.tells
}

// tell has the news of a member go round. Of one that has come it does so less: lists that are pulled tell of it too.
func (m *Members) tell(r *member, urgent bool) {
	if r.tells <= 0 {
		m.hot = append(m.hot, r)
		r.urgent = false
	}
	r.urgent = r.urgent || urgent
	if r.tells = m.times(); !r.urgent {
		r.tells /= tellTimes
	}
}

// news adds what is to be told: first what its receiver must know of itself, then what was told least.
func (d draft) news(to *member) draft {
	if to != nil && (to.State == Suspect || !to.State.Present() || to.stale) && to.State != Unknown {
		if to.stale {
			d, _ = d.entry(to)
		} else {
			d, _ = d.word(to)
		}
		to.stale = false
	}
	m := d.m
	for fits := true; fits; {
		var best *member
		for _, r := range m.hot {
			if r != to && r.draft != m.drafts && (best == nil || r.sooner(best)) {
				best = r
			}
		}
		if best == nil {
			break
		}
		if d, fits = d.word(best); fits {
			best.draft = m.drafts
			best.tells--
		}
	}
	m.hot = slices.DeleteFunc(m.hot, func(r *member) bool { return r.tells <= 0 })
	return d
}
