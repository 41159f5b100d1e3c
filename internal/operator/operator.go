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

// Members is what the file says of how routers know one another.
type Members struct {
	On      bool
	Listen  netip.AddrPort // not valid: as the deployment says
	Address netip.AddrPort // where others reach it; not valid: where it listens
	Peers   []netip.AddrPort
	Seeds   []netip.AddrPort
	Weight  int
	KeyFile string
}

// Spend is what background work may spend somewhere; 0 bounds nothing.
type Spend struct {
	Works, KB float64 // a second
	Out       int     // at a time
}

// Renewing is what it says of renewing ageing copies.
type Renewing struct {
	On     bool
	Shares int // duties that the work is divided into, alike at all routers
	Spend  Spend
	Queue  int
}

// Probing is what it says of probing caches.
type Probing struct {
	On      bool
	Shares  int
	Every   time.Duration // each cache
	Timeout time.Duration
	Spend   Spend
}

// Shards is what it says of the map of keys.
type Shards struct {
	On      bool
	Pin     []shardmap.Range // a map that the operator has written; nil: none
	Keepers []netip.AddrPort // its keepers, by where others reach them
}

// Rows is what it says of what is known of objects.
type Rows struct {
	On  bool
	Dir string // where a snapshot is kept; empty: none is
}

// Ways bounds background work of all kinds at each place.
type Ways struct{ Cache, Parent, Link, Origin Spend }

// File is an operator's file, read and checked.
type File struct {
	Members  Members
	Renewing Renewing
	Probing  Probing
	Shards   Shards
	Rows     Rows
	Asking   bool // others are asked which caches hold an object
	Presence bool // limits follow the routers that are there, not those that the settings name
	Ways     Ways
	Trace    bool // a log line for each step of each visit

	path string
	at   map[string]int // lines of keys that are checked against the deployment
}

// Faults are all faults of a file.
type Faults struct {
	Path string
	List []*Fault
}

// Error tells the first in one line.
func (f *Faults) Error() string {
	more := ""
	if n := len(f.List) - 1; n > 0 {
		more = fmt.Sprintf(" (and %d more)", n)
	}
	return fmt.Sprintf("operator's file %s, %v%s", f.Path, f.List[0], more)
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
		slices.SortStableFunc(r.faults, func(a, b *Fault) int { return cmp.Compare(a.Line, b.Line) })
		return nil, &Faults{path, r.faults}
	}
	return f, nil
}

const duties = 1 << 13 // of one kind at most

func (f *File) read(r *reader, o *object) {
	m := o.object("members")
	f.mark(r, m, "on")
	f.Members = Members{On: m.truth("on"), Listen: m.address("listen"), Address: m.address("address"),
		Peers: m.addresses("peers"),
		Seeds: m.addresses("seeds"), Weight: m.whole("weight", 1, 1, 4096), KeyFile: m.word("key_file")}
	if f.Members.On && f.Members.KeyFile == "" {
		r.fault(m.offset("on"), m.full("on"), "needs a key file under 'members.key_file'")
	}
	if len(f.Members.Peers) > 0 && len(f.Members.Seeds) > 0 {
		r.fault(m.offset("seeds"), m.full("seeds"), "stands beside 'members.peers': either all are listed, or some are seeds")
	}
	m.done()

	n := o.object("renewing")
	f.mark(r, n, "on")
	f.Renewing = Renewing{On: n.truth("on"), Shares: n.whole("shares", 256, 1, duties),
		Queue: n.whole("queue", 1024, 1, 1<<16), Spend: spend(n.object("spend"), Spend{Works: 50, KB: 5000, Out: 8})}
	n.done()

	p := o.object("probing")
	f.mark(r, p, "on")
	f.Probing = Probing{On: p.truth("on"), Shares: p.whole("shares", 64, 1, duties),
		Every:   p.span("every_ms", 500*time.Millisecond, 50*time.Millisecond, time.Minute),
		Timeout: p.span("timeout_ms", 250*time.Millisecond, 10*time.Millisecond, 10*time.Second),
		Spend:   spend(p.object("spend"), Spend{Works: 50, Out: 16})}
	p.done()

	h := o.object("shards")
	f.mark(r, h, "on")
	if f.Shards.On = h.truth("on"); f.Shards.On && !f.Members.On {
		r.fault(h.offset("on"), h.full("on"), "needs other routers: 'members.on' is false")
	}
	f.mark(r, h, "pin")
	f.Shards.Pin, f.Shards.Keepers = h.pin("pin")
	h.done()
	w := o.object("rows")
	f.mark(r, w, "on")
	if f.Rows = (Rows{On: w.truth("on"), Dir: w.word("dir")}); f.Rows.On && !f.Shards.On {
		r.fault(w.offset("on"), w.full("on"), "needs the map of keys: 'shards.on' is false")
	}
	if dir, err := os.Stat(f.Rows.Dir); f.Rows.Dir != "" && (err != nil || !dir.IsDir()) {
		r.fault(w.offset("dir"), w.full("dir"), "is %q, no directory", f.Rows.Dir)
	}
	w.done()
	s := o.object("asking")
	f.mark(r, s, "on")
	if f.Asking = s.truth("on"); f.Asking && !f.Rows.On {
		r.fault(s.offset("on"), s.full("on"), "needs what others know: 'rows.on' is false")
	}
	s.done()
	e := o.object("presence")
	f.mark(r, e, "on")
	if f.Presence = e.truth("on"); f.Presence && !f.Members.On {
		r.fault(e.offset("on"), e.full("on"), "needs other routers: 'members.on' is false")
	}
	e.done()

	b := o.object("background")
	f.Ways = Ways{Cache: spend(b.object("each_cache"), Spend{Works: 10, KB: 1000, Out: 2}),
		Parent: spend(b.object("each_parent"), Spend{Works: 20, KB: 2000, Out: 4}),
		Link:   spend(b.object("link"), Spend{Works: 40, KB: 4000, Out: 8}),
		Origin: spend(b.object("origin"), Spend{Works: 20, KB: 2000, Out: 4})}
	b.done()
	t := o.object("trace")
	f.Trace = t.truth("visits")
	t.done()
	alone := !f.Members.On && (len(f.Members.Peers) > 0 || len(f.Members.Seeds) > 0)
	if alone && f.Renewing.On {
		r.fault(n.offset("on"), "renewing.on", "shares work with peers, but 'members.on' is false")
	}
	if alone && f.Probing.On {
		r.fault(p.offset("on"), "probing.on", "shares work with peers, but 'members.on' is false")
	}
}

func spend(o *object, otherwise Spend) Spend {
	s := Spend{Works: o.number("works_per_s", otherwise.Works, 0, 1e6), KB: o.number("kb_per_s", otherwise.KB, 0, 1e9),
		Out: o.whole("out", otherwise.Out, 0, 1<<16)}
	o.done()
	return s
}

func (f *File) mark(r *reader, o *object, key string) {
	f.at[o.full(key)] = r.line(o.offset(key))
}

// Fault words a fault that shows only beside the deployment, with the key's line.
func (f *File) Fault(key, what string, args ...any) error {
	return &Faults{f.path, []*Fault{{f.at[key], key, fmt.Sprintf(what, args...)}}}
}

// Held names what differs from an earlier file's and can be taken up by a new start only.
func (f *File) Held(was *File) (keys []string) {
	a, b := f.Members, was.Members
	switch {
	case a.On != b.On:
		keys = append(keys, "members.on")
	case a.Listen != b.Listen:
		keys = append(keys, "members.listen")
	case a.Address != b.Address:
		keys = append(keys, "members.address")
	}
	if a.Weight != b.Weight {
		keys = append(keys, "members.weight")
	}
	if f.Renewing.Shares != was.Renewing.Shares {
		keys = append(keys, "renewing.shares")
	}
	if f.Probing.Shares != was.Probing.Shares {
		keys = append(keys, "probing.shares")
	}
	if f.Renewing.Queue != was.Renewing.Queue {
		keys = append(keys, "renewing.queue")
	}
	if f.Shards.On != was.Shards.On {
		keys = append(keys, "shards.on")
	}
	if f.Rows != was.Rows {
		keys = append(keys, "rows")
	}
	if f.Asking != was.Asking {
		keys = append(keys, "asking.on")
	}
	if f.Presence != was.Presence {
		keys = append(keys, "presence.on")
	}
	if f.Trace != was.Trace {
		keys = append(keys, "trace.visits")
	}
	return keys
}
