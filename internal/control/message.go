package control

import (
	"threadrun/cluster/directory"
	"threadrun/cluster/lease"
	"threadrun/cluster/node"
	"threadrun/cluster/shardmap"
)

// Message is what the control goroutine has for traffic: one of the types below.
type Message interface{ isMessage() }

// Datagram is a peer's datagram of a kind that the control goroutine does not handle itself.
type Datagram struct {
	Kind    node.Kind
	Payload []byte
}

// LeaseAcquired says that this router holds a lease from now on.
type LeaseAcquired struct{ ID lease.ID }

// RecordRecovered is a record that was fetched after a restart.
type RecordRecovered struct{ Record directory.Record }

// CopiesLocated lists the copies that other routers know of an object, the one seen last first.
type CopiesLocated struct {
	Key    shardmap.Key
	Copies []directory.Copy
}

func (Datagram) isMessage()        {}
func (LeaseAcquired) isMessage()   {}
func (RecordRecovered) isMessage() {}
func (CopiesLocated) isMessage()   {}
