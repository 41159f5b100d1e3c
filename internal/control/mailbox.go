package control

import (
	"net/netip"
	"sync"

	"threadrun/cluster/directory"
	"threadrun/cluster/node"
	"threadrun/cluster/shardmap"
)

// Maximum lengths of the queues. Items beyond them are dropped. Commands have no limit and are never dropped.
const (
	maxMessages     = 1024 // messages to request handling, until it takes them
	maxDatagrams    = 1024 // datagrams from request handling, until the next tick
	maxObservations = 4096 // observed objects, until the next tick
	maxLookups      = 1024 // keys of objects to locate, until the next tick
)

// outgoingDatagram is a datagram from request handling that the next tick sends.
type outgoingDatagram struct {
	kind    node.Kind
	to      netip.AddrPort
	payload []byte
}

// batch contains the items that request handling has queued for one tick.
type batch struct {
	commands     []func() // run first, in order
	datagrams    []outgoingDatagram
	observations []directory.Record
	lookups      []shardmap.Key
}

// mailbox passes items between request handling and the control goroutine. Its lock is never held while a core runs.
type mailbox struct {
	mu                sync.Mutex         // guards the fields below
	messages          []Message          // to request handling
	pending           batch              // from request handling
	spareObservations []directory.Record // memory for the observations of the next batch
}

// takeBatch empties the queues from request handling. The observations of a batch are valid until the next call.
func (m *mailbox) takeBatch() batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.pending
	m.pending = batch{observations: m.spareObservations[:0]}
	m.spareObservations = current.observations
	return current
}

func (m *mailbox) takeMessages() []Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	messages := m.messages
	m.messages = nil
	return messages
}

func (m *mailbox) addMessage(message Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.messages) < maxMessages {
		m.messages = append(m.messages, message)
	}
}

func (m *mailbox) addDatagram(kind node.Kind, to netip.AddrPort, payload []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.pending.datagrams) < maxDatagrams {
		copied := append([]byte(nil), payload...)
		m.pending.datagrams = append(m.pending.datagrams, outgoingDatagram{kind, to, copied})
	}
}

func (m *mailbox) addObservation(record directory.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.pending.observations) < maxObservations {
		m.pending.observations = append(m.pending.observations, record)
	}
}

func (m *mailbox) addLookup(key shardmap.Key) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.pending.lookups) < maxLookups {
		m.pending.lookups = append(m.pending.lookups, key)
	}
}

func (m *mailbox) addCommand(command func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending.commands = append(m.pending.commands, command)
}
