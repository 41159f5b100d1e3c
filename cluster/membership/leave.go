package membership

// shutdownRepeats is the number of rounds of pings by which Shutdown announces the end of this router. The pings of a
// single round could be lost, and the router sends nothing later that would make up for them.
const shutdownRepeats = 3

// Leave announces that this router is about to end. The router continues to work, and to answer pings, until
// Shutdown. Leave has no effect after the first call.
func (m *Members) Leave(now Micros) {
	m.advanceClock(now)
	if m.state != Alive {
		return
	}
	m.state = Leaving
	m.refutations++
	m.pingRandom(m.timing.IndirectProbes * 2)
}

// Shutdown announces that this router ends now. After it, Tick and Receive have no effect.
func (m *Members) Shutdown(now Micros) {
	m.advanceClock(now)
	if m.state == Left {
		return
	}
	m.state = Left
	m.refutations++
	for range shutdownRepeats {
		m.pingRandom(m.timing.IndirectProbes * 2)
	}
}

// pingRandom pings up to count different present members, chosen at random. A ping contains this router's own
// entry, and so informs them of its state.
func (m *Members) pingRandom(count int) {
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
