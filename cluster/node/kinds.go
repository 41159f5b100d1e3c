package node

// Kind says which component of the receiving router handles a datagram: a core of its Node, or a package outside of
// it. It is the first byte of each sealed datagram between routers, so the meaning of a value must never change.
type Kind byte

// The kinds of all datagrams between routers. Node.Receive handles those of the node's cores and returns false for
// the others.
const (
	KindMembership     Kind = 1
	KindLease          Kind = 2 // handled by package control
	KindRefresh        Kind = 3 // handled by package backgroundwork
	KindHealth         Kind = 4 // handled by package backgroundwork
	KindMapLease       Kind = 17
	KindShardMap       Kind = 18
	KindDirectory      Kind = 19
	KindRecovery       Kind = 20
	KindSummaryRequest Kind = 21
	KindSummary        Kind = 22
	KindScatter        Kind = 23
)
