package recovery

import (
	"cmp"
	"slices"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

const (
	requestTimeout = 150 * clock.Millisecond // for the first attempt; increases by the same amount with each attempt
	maxAttempts    = 3
	maxDeferrals   = 6 // maximum number of accepted deferrals per slice and provider
	maxHashSlices  = 16
	maxProviders   = 1024 // maximum number of routers that are asked for the records they store for others

	// incarnationTolerance is the minimum difference, in milliseconds, between two incarnations (which are start
	// times) for the lower one to count as earlier.
	incarnationTolerance membership.Incarnation = 2000

	noProvider = -1 // provider index of a slice without a provider
)

// provider is a router that may be asked for records.
type provider struct {
	Peer
	asked      bool // a slice by hash was assigned to it
	hasRecords bool // it has said that it has records
	excluded   bool // it has no records or did not answer, and is not assigned further slices
}

// keySlice is one part of the records to fetch: the records whose keys hash to it or, if fixedProvider is set,
// those that one provider stores for others.
//
// Invariant: a slice with a request in flight has a provider.
type keySlice struct {
	fixedProvider bool   // only one provider has the slice's records
	provider      int    // index of the provider that is asked, or noProvider
	number        uint32 // number of the last request; 0 after its answer
	fetched       int    // number of records fetched, from all providers; sent with each request
	attempts      int    // requests sent since the last answer, deferral or change of provider
	deferrals     int    // deferrals by the current provider
	reassignments int    // number of times that the provider was given up
	deadline      Micros // when the request in flight is repeated
	inFlight      bool   // a request is in flight, or was deferred
	done          bool   // all records were fetched, or no provider is left
}

// startedLater reports whether a router seems to have started later than this one, or at about the same time.
func (m *Manager) startedLater(p *provider) bool {
	return p.Incarnation+incarnationTolerance > m.self.Incarnation
}

// beginFetching lists the slices to request and their providers, and enters the state Fetching. If there are no
// providers, it does nothing.
func (m *Manager) beginFetching(eachPeer func(f func(Peer))) {
	m.slices = m.slices[:0]
	m.listProviders(eachPeer)
	if len(m.providers) == 0 {
		return
	}
	for range min(len(m.providers), maxHashSlices) {
		m.slices = append(m.slices, keySlice{provider: noProvider})
	}
	m.hashSliceCount = len(m.slices)
	m.recordsPerSlice = (m.bounds.Records + m.hashSliceCount - 1) / m.hashSliceCount
	for i := range m.providers[:min(len(m.providers), maxProviders)] {
		m.slices = append(m.slices, keySlice{provider: i, fixedProvider: true})
		if !m.startedLater(&m.providers[i]) {
			m.earlierCount = i + 1
		}
	}
	m.stats.Routers = uint64(len(m.providers))
	m.setState(Fetching)
}

// listProviders lists the other routers in random order, so that restarted routers do not all ask the same ones
// first. Those that started earlier come first.
func (m *Manager) listProviders(eachPeer func(f func(Peer))) {
	m.providers = m.providers[:0]
	eachPeer(func(p Peer) {
		if p.ID != m.self.ID && p.Address.IsValid() {
			m.providers = append(m.providers, provider{Peer: p})
		}
	})
	if len(m.providers) == 0 {
		return
	}
	m.random.Shuffle(len(m.providers), func(i, j int) {
		m.providers[i], m.providers[j] = m.providers[j], m.providers[i]
	})
	slices.SortStableFunc(m.providers, func(a, b provider) int {
		return cmp.Compare(octets.FromBool(m.startedLater(&a)), octets.FromBool(m.startedLater(&b)))
	})
}

// pickProvider returns the index of the provider to request a slice by hash from, or noProvider. It prefers
// providers that started earlier.
func (m *Manager) pickProvider() int {
	if i := m.pickAmong(0, m.earlierCount); i != noProvider {
		return i
	}
	return m.pickAmong(m.earlierCount, len(m.providers))
}

// pickAmong returns the index of a provider in [first, end) that has sent records, or else of one that was not
// asked yet, or else noProvider. It searches from a random index, so that slices are distributed among providers.
func (m *Manager) pickAmong(first, end int) int {
	count := end - first
	if count == 0 {
		return noProvider
	}
	unasked := noProvider
	start := m.random.IntN(count)
	for i := range count {
		at := first + (start+i)%count
		p := &m.providers[at]
		switch {
		case p.excluded:
		case p.hasRecords:
			return at
		case !p.asked && unasked == noProvider:
			unasked = at
		}
	}
	return unasked
}

// tickFetching requests the slices within the rate limit. It ends the state Fetching when all slices or enough
// records are fetched, or after a timeout.
func (m *Manager) tickFetching() {
	inFlight, unfinished := m.countSlices()
	timedOut := m.timeInState() >= m.bounds.FetchTimeout
	if unfinished == 0 || timedOut || len(m.fetchedKeys) >= m.bounds.Records {
		if timedOut && unfinished > 0 {
			m.stats.Unfinished = uint64(unfinished)
			m.output.Log("recovery: records were not fetched in time, continuing without them")
		}
		m.setState(CatchingUp)
		return
	}
	for i := range m.slices {
		s := &m.slices[i]
		if s.done || m.requestTokens < 1 {
			continue
		}
		switch {
		case s.inFlight && m.now >= s.deadline:
			m.retry(i)
		case !s.inFlight && inFlight < m.bounds.Concurrency:
			if m.assignProviderOrFinish(s) {
				inFlight++
				m.request(i)
			}
		}
	}
}

// countSlices returns the number of slices with a request in flight, and the number of unfinished slices, which
// includes them.
func (m *Manager) countSlices() (inFlight, unfinished int) {
	for i := range m.slices {
		s := &m.slices[i]
		if s.done {
			continue
		}
		unfinished++
		if s.inFlight {
			inFlight++
		}
	}
	return inFlight, unfinished
}

// assignProviderOrFinish assigns a provider to a slice that has none. If none is left, or the slice was reassigned
// more often than there are providers, it marks the slice as done and returns false.
func (m *Manager) assignProviderOrFinish(s *keySlice) bool {
	if s.provider != noProvider {
		return true
	}
	s.provider = m.pickProvider()
	if s.provider == noProvider || s.reassignments > len(m.providers) {
		s.done = true
		return false
	}
	m.providers[s.provider].asked = true
	return true
}

// retry repeats the request for a slice that was not answered in time. After the last attempt it gives up the
// provider.
func (m *Manager) retry(i int) {
	s := &m.slices[i]
	if s.attempts < maxAttempts && s.deferrals <= maxDeferrals {
		m.request(i)
		return
	}
	m.stats.Unresponsive++
	p := &m.providers[s.provider]
	p.excluded = true
	p.hasRecords = false
	m.reassignOrFinish(s)
}

// reassignOrFinish removes a slice's provider, so that the slice is requested from another one. A slice with a
// fixed provider is done instead, since no other provider has its records.
func (m *Manager) reassignOrFinish(s *keySlice) {
	if s.fixedProvider {
		s.done = true
		return
	}
	s.provider = noProvider
	s.inFlight = false
	s.attempts = 0
	s.deferrals = 0
	s.reassignments++
}

// request requests the next records of a slice from its provider. The timeout grows with the number of attempts.
func (m *Manager) request(i int) {
	s := &m.slices[i]
	m.lastNumber++
	s.number = m.lastNumber
	s.inFlight = true
	s.deadline = m.now + requestTimeout*Micros(1+s.attempts)
	s.attempts++
	m.requestTokens--
	m.stats.RequestsSent++
	r := request{number: s.number, from: m.self.ID, fetched: s.fetched}
	if !s.fixedProvider {
		r.slice = i
		r.sliceCount = m.hashSliceCount
	}
	m.output.Send(m.providers[s.provider].Address, r.append(m.buf[:0]))
}

// sliceInFlight returns the slice whose last request has the given number and is in flight, or nil. A page that
// arrives twice, or that answers an earlier request, has no such slice and is therefore ignored.
func (m *Manager) sliceInFlight(number uint32) *keySlice {
	if m.state != Fetching {
		return nil
	}
	for i := range m.slices {
		s := &m.slices[i]
		if s.inFlight && s.number == number && !s.done {
			return s
		}
	}
	return nil
}

// handleDeferral delays the next request for a slice by the time that its provider asks for, which is limited. A
// deferral shows that the provider is alive, so the attempts are counted from 0 again.
func (m *Manager) handleDeferral(d deferral) {
	s := m.sliceInFlight(d.number)
	if s == nil {
		return
	}
	s.deadline = m.now + min(d.wait, maxDeferral)
	s.attempts = 0
	s.deferrals++
}

// handlePage handles a page of records of a slice. A page of a provider without any records makes the slice move to
// another provider.
func (m *Manager) handlePage(p page) {
	s := m.sliceInFlight(p.number)
	if s == nil {
		return
	}
	from := &m.providers[s.provider]
	from.hasRecords = p.providerRecords > 0
	from.excluded = p.providerRecords == 0
	if from.excluded {
		m.reassignOrFinish(s)
		return
	}
	s.fetched += len(p.records)
	s.inFlight = false
	s.attempts = 0
	s.number = 0
	s.done = !p.more || len(p.records) == 0 || !s.fixedProvider && s.fetched >= m.recordsPerSlice
	for _, r := range p.records {
		m.handleRecord(r)
	}
}

// handleRecord outputs a fetched record.
func (m *Manager) handleRecord(r directory.Record) {
	m.stats.Records++
	if m.fetchedKeys != nil {
		m.fetchedKeys[r.Key] = true
	}
	m.output.RecordRecovered(r)
}
