package control

import (
	"net/netip"
	"testing"

	"threadrun/cluster/directory"
	"threadrun/cluster/shardmap"
)

// Items beyond the limits must be dropped, the first ones must be kept, and each item must be returned once. The
// mailbox must copy the payloads of datagrams, because callers reuse their buffers.
func TestMailboxBounds(t *testing.T) {
	const excess = 10
	var m mailbox
	payload := []byte("payload")
	for i := range maxObservations + excess {
		m.addObservation(directory.Record{Key: shardmap.Key(i)})
	}
	for i := range maxLookups + excess {
		m.addLookup(shardmap.Key(i))
	}
	for range maxDatagrams + excess {
		m.addDatagram(7, netip.AddrPort{}, payload)
	}
	for range maxMessages + excess {
		m.addMessage(LeaseAcquired{})
	}
	ran := 0
	m.addCommand(func() { ran++ })
	payload[0] = 'X' // the mailbox must have made a copy

	b := m.takeBatch()
	if len(b.observations) != maxObservations || b.observations[maxObservations-1].Key != maxObservations-1 {
		t.Errorf("%d observations, want the first %d", len(b.observations), maxObservations)
	}
	if len(b.lookups) != maxLookups || b.lookups[0] != 0 {
		t.Errorf("%d lookups, want the first %d", len(b.lookups), maxLookups)
	}
	if len(b.datagrams) != maxDatagrams || string(b.datagrams[0].payload) != "payload" || b.datagrams[0].kind != 7 {
		t.Errorf("%d datagrams, want %d; the first has kind %d and payload %q, want kind 7 and \"payload\"",
			len(b.datagrams), maxDatagrams, b.datagrams[0].kind, b.datagrams[0].payload)
	}
	for _, command := range b.commands {
		command()
	}
	if ran != 1 {
		t.Errorf("the command ran %d times, want once", ran)
	}
	if messages := m.takeMessages(); len(messages) != maxMessages {
		t.Errorf("%d messages, want %d", len(messages), maxMessages)
	}

	again := m.takeBatch()
	if len(again.observations)+len(again.lookups)+len(again.datagrams)+len(again.commands)+len(m.takeMessages()) > 0 {
		t.Errorf("items were returned twice: %+v", again)
	}
}

// Observations that are added while a batch is handled must not overwrite the batch. takeBatch alternates between two
// buffers for this.
func TestMailboxKeepsBatch(t *testing.T) {
	var m mailbox
	for round := range 4 {
		m.addObservation(directory.Record{Key: shardmap.Key(round)})
		b := m.takeBatch()
		m.addObservation(directory.Record{Key: 99})
		if len(b.observations) != 1 || b.observations[0].Key != shardmap.Key(round) {
			t.Fatalf("round %d: the batch has the observations %+v, want only that of key %d", round, b.observations, round)
		}
		m.takeBatch()
	}
}
