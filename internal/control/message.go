package control

import (
	"threadrun/cluster/directory"
	"threadrun/cluster/lease"
	"threadrun/cluster/node"
	"threadrun/cluster/shardmap"
)

// Message is a message from the control goroutine to request handling: a Datagram, LeaseAcquired, RecordRecovered or
// CopiesLocated.
type Message interface{ isMessage() }

// Datagram is a peer's datagram of a kind that no core of the control goroutine handles.
type Datagram struct {
	Kind    node.Kind
	Payload []byte
}

// LeaseAcquired reports that this router holds a lease from now on.
type LeaseAcquired struct{ ID lease.ID }

// RecordRecovered reports a record that was recovered after a restart, from other routers or a snapshot file.
type RecordRecovered struct{ Record directory.Record }

// CopiesLocated reports the copies of an object that other routers know, most recently seen first. It answers Locate.
type CopiesLocated struct {
	Key    shardmap.Key
	Copies []directory.Copy
}

func (Datagram) isMessage()        {}
func (LeaseAcquired) isMessage()   {}
func (RecordRecovered) isMessage() {}
func (CopiesLocated) isMessage()   {}
