package node

// Kind says which core a datagram is for. Its byte stands at the head of each sealed datagram between routers, so a
// value never changes its meaning.
type Kind byte

// The kinds of all datagrams between routers. Node.Receive takes those of the node's cores and reports false for the
// others.
const (
	KindMembership     Kind = 1
	KindLease          Kind = 2 // for package control
	KindRefresh        Kind = 3 // for package backgroundwork
	KindHealth         Kind = 4 // for package backgroundwork
	KindMapLease       Kind = 17
	KindShardMap       Kind = 18
	KindDirectory      Kind = 19
	KindRecovery       Kind = 20
	KindSummaryRequest Kind = 21
	KindSummary        Kind = 22
	KindScatter        Kind = 23
)
