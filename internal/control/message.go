package control

import (
	"threadrun/cluster/directory"
	"threadrun/cluster/lease"
	"threadrun/cluster/node"
	"threadrun/cluster/shardmap"
)

// Message is a message from the control goroutine to request handling. Its types are listed below.
type Message interface{ isMessage() }

// Datagram is a peer's datagram of a kind that the control goroutine does not handle itself.
type Datagram struct {
	Kind    node.Kind
	Payload []byte
}

// LeaseAcquired reports that this router holds a lease from now on.
type LeaseAcquired struct{ ID lease.ID }

// RecordRecovered reports a record that was fetched after a restart.
type RecordRecovered struct{ Record directory.Record }

// CopiesLocated reports the copies of an object that other routers know, most recently seen first.
type CopiesLocated struct {
	Key    shardmap.Key
	Copies []directory.Copy
}

func (Datagram) isMessage()        {}
func (LeaseAcquired) isMessage()   {}
func (RecordRecovered) isMessage() {}
func (CopiesLocated) isMessage()   {}
