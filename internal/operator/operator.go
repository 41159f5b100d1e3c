// Package operator is the one place where the operator's file is read, checked and given defaults: JSON with comments, in
// which everything that the deployment does not need is switched on. Its faults name the key and the line.
package operator

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"threadrun/cluster/shardmap"
)

// Membership is what the file says of how routers know one another.
type Membership struct {
	Enabled bool
	Listen  netip.AddrPort // not valid: as the deployment says
	Address netip.AddrPort // where others reach it; not valid: where it listens
	Peers   []netip.AddrPort
	Seeds   []netip.AddrPort
	Weight  int
	KeyFile string
}

// Budget is what background work may spend somewhere; 0 bounds nothing.
type Budget struct {
	OperationsPerSecond, KBPerSecond float64 // a second
	Concurrent                       int     // at a time
}

// Refresh is what it says of renewing ageing copies.
type Refresh struct {
	Enabled    bool
	Partitions int // duties that the work is divided into, alike at all routers
	Budget     Budget
	MaxQueued  int
}

// HealthChecks is what it says of probing caches.
type HealthChecks struct {
	Enabled    bool
	Partitions int
	Interval   time.Duration // each cache
	Timeout    time.Duration
	Budget     Budget
}

// ShardMap is what it says of the map of keys.
type ShardMap struct {
	Enabled      bool
	PinnedRanges []shardmap.Range // a map that the operator has written; nil: none
	PinnedOwners []netip.AddrPort // its keepers, by where others reach them
}

// Directory is what it says of what is known of objects.
type Directory struct {
	Enabled     bool
	SnapshotDir string // where a snapshot is kept; empty: none is
}

// PathBudgets bounds background work of all kinds at each place.
type PathBudgets struct{ Cache, Parent, Link, Origin Budget }

// File is an operator's file, read and checked.
type File struct {
	Membership        Membership
	Refresh           Refresh
	HealthChecks      HealthChecks
	ShardMap          ShardMap
	Directory         Directory
	SiblingLookup     bool // others are asked which caches hold an object
	DynamicFleetSize  bool // limits follow the routers that are there, not those that the settings name
	BackgroundBudgets PathBudgets
	TraceRequests     bool // a log line for each step of each visit

	path string
	at   map[string]int // lines of keys that are checked against the deployment
}

// ErrorList are all faults of a file.
type ErrorList struct {
	Path   string
	Errors []*KeyError
}

// Error tells the first in one line.
func (f *ErrorList) Error() string {
	more := ""
	if n := len(f.Errors) - 1; n > 0 {
		more = fmt.Sprintf(" (and %d more)", n)
	}
	return fmt.Sprintf("operator's file %s, %v%s", f.Path, f.Errors[0], more)
}

// Open reads a file; an empty path is an empty file.
func Open(path string) (*File, error) {
	if path == "" {
		return Read(path, []byte("{}"))
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Read(path, text)
}

// Read reads a text.
func Read(path string, text []byte) (*File, error) {
	r := &reader{text: text}
	f := &File{path: path, at: map[string]int{}}
	if o := r.parse(); o != nil {
		f.read(r, o)
		o.done()
	}
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b *KeyError) int { return cmp.Compare(a.Line, b.Line) })
		return nil, &ErrorList{path, r.faults}
	}
	return f, nil
}

const duties = 1 << 13 // of one kind at most

func (f *File) read(r *reader, o *object) {
	m := o.object("members")
	f.noteLine(r, m, "on")
	f.Membership = Membership{Enabled: m.truth("on"), Listen: m.address("listen"), Address: m.address("address"),
		Peers: m.addresses("peers"),
		Seeds: m.addresses("seeds"), Weight: m.whole("weight", 1, 1, 4096), KeyFile: m.word("key_file")}
	if f.Membership.Enabled && f.Membership.KeyFile == "" {
		r.fault(m.offset("on"), m.full("on"), "needs a key file under 'members.key_file'")
	}
	if len(f.Membership.Peers) > 0 && len(f.Membership.Seeds) > 0 {
		r.fault(m.offset("seeds"), m.full("seeds"), "stands beside 'members.peers': either all are listed, or some are seeds")
	}
	m.done()

	n := o.object("renewing")
	f.noteLine(r, n, "on")
	f.Refresh = Refresh{Enabled: n.truth("on"), Partitions: n.whole("shares", 256, 1, duties),
		MaxQueued: n.whole("queue", 1024, 1, 1<<16), Budget: spend(n.object("spend"), Budget{OperationsPerSecond: 50, KBPerSecond: 5000, Concurrent: 8})}
	n.done()

	p := o.object("probing")
	f.noteLine(r, p, "on")
	f.HealthChecks = HealthChecks{Enabled: p.truth("on"), Partitions: p.whole("shares", 64, 1, duties),
		Interval: p.span("every_ms", 500*time.Millisecond, 50*time.Millisecond, time.Minute),
		Timeout:  p.span("timeout_ms", 250*time.Millisecond, 10*time.Millisecond, 10*time.Second),
		Budget:   spend(p.object("spend"), Budget{OperationsPerSecond: 50, Concurrent: 16})}
	p.done()

	h := o.object("shards")
	f.noteLine(r, h, "on")
	if f.ShardMap.Enabled = h.truth("on"); f.ShardMap.Enabled && !f.Membership.Enabled {
		r.fault(h.offset("on"), h.full("on"), "needs other routers: 'members.on' is false")
	}
	f.noteLine(r, h, "pin")
	f.ShardMap.PinnedRanges, f.ShardMap.PinnedOwners = h.pin("pin")
	h.done()
	w := o.object("rows")
	f.noteLine(r, w, "on")
	if f.Directory = (Directory{Enabled: w.truth("on"), SnapshotDir: w.word("dir")}); f.Directory.Enabled && !f.ShardMap.Enabled {
		r.fault(w.offset("on"), w.full("on"), "needs the map of keys: 'shards.on' is false")
	}
	if dir, err := os.Stat(f.Directory.SnapshotDir); f.Directory.SnapshotDir != "" && (err != nil || !dir.IsDir()) {
		r.fault(w.offset("dir"), w.full("dir"), "is %q, no directory", f.Directory.SnapshotDir)
	}
	w.done()
	s := o.object("asking")
	f.noteLine(r, s, "on")
	if f.SiblingLookup = s.truth("on"); f.SiblingLookup && !f.Directory.Enabled {
		r.fault(s.offset("on"), s.full("on"), "needs what others know: 'rows.on' is false")
	}
	s.done()
	e := o.object("presence")
	f.noteLine(r, e, "on")
	if f.DynamicFleetSize = e.truth("on"); f.DynamicFleetSize && !f.Membership.Enabled {
		r.fault(e.offset("on"), e.full("on"), "needs other routers: 'members.on' is false")
	}
	e.done()

	b := o.object("background")
	f.BackgroundBudgets = PathBudgets{Cache: spend(b.object("each_cache"), Budget{OperationsPerSecond: 10, KBPerSecond: 1000, Concurrent: 2}),
		Parent: spend(b.object("each_parent"), Budget{OperationsPerSecond: 20, KBPerSecond: 2000, Concurrent: 4}),
		Link:   spend(b.object("link"), Budget{OperationsPerSecond: 40, KBPerSecond: 4000, Concurrent: 8}),
		Origin: spend(b.object("origin"), Budget{OperationsPerSecond: 20, KBPerSecond: 2000, Concurrent: 4})}
	b.done()
	t := o.object("trace")
	f.TraceRequests = t.truth("visits")
	t.done()
	alone := !f.Membership.Enabled && (len(f.Membership.Peers) > 0 || len(f.Membership.Seeds) > 0)
	if alone && f.Refresh.Enabled {
		r.fault(n.offset("on"), "renewing.on", "shares work with peers, but 'members.on' is false")
	}
	if alone && f.HealthChecks.Enabled {
		r.fault(p.offset("on"), "probing.on", "shares work with peers, but 'members.on' is false")
	}
}

func spend(o *object, otherwise Budget) Budget {
	s := Budget{OperationsPerSecond: o.number("works_per_s", otherwise.OperationsPerSecond, 0, 1e6), KBPerSecond: o.number("kb_per_s", otherwise.KBPerSecond, 0, 1e9),
		Concurrent: o.whole("out", otherwise.Concurrent, 0, 1<<16)}
	o.done()
	return s
}

func (f *File) noteLine(r *reader, o *object, key string) {
	f.at[o.full(key)] = r.line(o.offset(key))
}

// KeyError words a fault that shows only beside the deployment, with the key's line.
func (f *File) KeyError(key, what string, args ...any) error {
	return &ErrorList{f.path, []*KeyError{{f.at[key], key, fmt.Sprintf(what, args...)}}}
}

// RestartKeys names what differs from an earlier file's and can be taken up by a new start only.
func (f *File) RestartKeys(was *File) (keys []string) {
	a, b := f.Membership, was.Membership
	switch {
	case a.Enabled != b.Enabled:
		keys = append(keys, "members.on")
	case a.Listen != b.Listen:
		keys = append(keys, "members.listen")
	case a.Address != b.Address:
		keys = append(keys, "members.address")
	}
	if a.Weight != b.Weight {
		keys = append(keys, "members.weight")
	}
	if f.Refresh.Partitions != was.Refresh.Partitions {
		keys = append(keys, "renewing.shares")
	}
	if f.HealthChecks.Partitions != was.HealthChecks.Partitions {
		keys = append(keys, "probing.shares")
	}
	if f.Refresh.MaxQueued != was.Refresh.MaxQueued {
		keys = append(keys, "renewing.queue")
	}
	if f.ShardMap.Enabled != was.ShardMap.Enabled {
		keys = append(keys, "shards.on")
	}
	if f.Directory != was.Directory {
		keys = append(keys, "rows")
	}
	if f.SiblingLookup != was.SiblingLookup {
		keys = append(keys, "asking.on")
	}
	if f.DynamicFleetSize != was.DynamicFleetSize {
		keys = append(keys, "presence.on")
	}
	if f.TraceRequests != was.TraceRequests {
		keys = append(keys, "trace.visits")
	}
	return keys
}
