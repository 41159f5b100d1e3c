package membership

// shutdownRepeats is how often a departure is sent at the end, since no gossip follows.
const shutdownRepeats = 3

// Leave announces that this router is about to end. The router continues to work until Shutdown.
func (m *Members) Leave(now Micros) {
	m.advanceClock(now)
	if m.state != Alive {
		return
	}
	m.state = Leaving
	m.refutations++
	m.pingSome(m.timing.IndirectProbes * 2)
}

// Shutdown announces that this router ends now. Members does nothing after it.
func (m *Members) Shutdown(now Micros) {
	m.advanceClock(now)
	if m.state == Left {
		return
	}
	m.state = Left
	m.refutations++
	for range shutdownRepeats {
		m.pingSome(m.timing.IndirectProbes * 2)
	}
}

// pingSome pings a number of random members, which informs them of this router's state.
func (m *Members) pingSome(count int) {
	n := len(m.members)
	if n == 0 {
		return
	}
	start, step := m.random.IntN(n), stride(n)
	for i := 0; i < n && count > 0; i++ {
		if r := m.members[(start+i*step)%n]; r.State.Present() {
			m.ping(r)
			count--
		}
	}
}
