package operator

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"time"
)

// Upper limits of values in the file.
const (
	maxLeasesPerKind = 1 << 13 // leases per kind of work
	maxWeight        = 4096
	maxQueue         = 1 << 16 // queued refreshes
	maxConcurrent    = 1 << 16 // operations at the same time
	maxOperations    = 1e6     // per second
	maxKB            = 1e9     // per second
)

// Open reads and validates the file at a path. An empty path stands for a file without keys. The error is the one that
// Read returns, or wraps an error of the file system.
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

// Read parses and validates a file's text. path is used in errors only. If the text has any error, Read returns no
// File, and an *ErrorList with all errors.
func Read(path string, text []byte) (*File, error) {
	r := &fileReader{text: text}
	f := &File{path: path, lines: map[string]int{}}
	if root := r.parse(); root != nil {
		f.readSections(r, root)
		root.rejectUnknownKeys()
	}
	if len(r.errors) > 0 {
		slices.SortStableFunc(r.errors, func(a, b *KeyError) int { return cmp.Compare(a.Line, b.Line) })
		return nil, &ErrorList{path, r.errors}
	}
	return f, nil
}

// readSections reads all sections, each after those whose values it is checked against. It rejects refreshes and health
// checks while membership is disabled but peers or seeds are listed.
func (f *File) readSections(r *fileReader, root *object) {
	members := root.object("members")
	f.readMembership(r, members)
	refresh := root.object("renewing")
	f.readRefresh(r, refresh)
	probes := root.object("probing")
	f.readHealthChecks(r, probes)
	f.readShardMap(r, root.object("shards"))
	f.readDirectory(r, root.object("rows"))
	f.readSiblingLookup(r, root.object("asking"))
	f.readDynamicFleetSize(r, root.object("presence"))
	f.readBackgroundBudgets(root.object("background"))

	trace := root.object("trace")
	f.TraceRequests = trace.boolean("visits")
	trace.rejectUnknownKeys()

	peersUnused := !f.Membership.Enabled && (len(f.Membership.Peers) > 0 || len(f.Membership.Seeds) > 0)
	if peersUnused && f.Refresh.Enabled {
		r.addError(refresh.keyOffset("on"), "renewing.on", "shares work with peers, but 'members.on' is false")
	}
	if peersUnused && f.HealthChecks.Enabled {
		r.addError(probes.keyOffset("on"), "probing.on", "shares work with peers, but 'members.on' is false")
	}
}

func (f *File) readMembership(r *fileReader, o *object) {
	f.recordLine(r, o, "on")
	f.Membership = Membership{
		Enabled: o.boolean("on"),
		Listen:  o.address("listen"),
		Address: o.address("address"),
		Peers:   o.addresses("peers"),
		Seeds:   o.addresses("seeds"),
		Weight:  o.integer("weight", 1, 1, maxWeight),
		KeyFile: o.string("key_file"),
	}
	if f.Membership.Enabled && f.Membership.KeyFile == "" {
		r.addError(o.keyOffset("on"), o.fullKey("on"), "needs a key file under 'members.key_file'")
	}
	if len(f.Membership.Peers) > 0 && len(f.Membership.Seeds) > 0 {
		r.addError(o.keyOffset("seeds"), o.fullKey("seeds"),
			"can't be combined with 'members.peers': list either all routers or some seeds")
	}
	o.rejectUnknownKeys()
}

func (f *File) readRefresh(r *fileReader, o *object) {
	f.recordLine(r, o, "on")
	f.Refresh = Refresh{
		Enabled:    o.boolean("on"),
		LeaseCount: o.integer("shares", 256, 1, maxLeasesPerKind),
		MaxQueued:  o.integer("queue", 1024, 1, maxQueue),
		Budget:     readBudget(o.object("spend"), Budget{OperationsPerSecond: 50, KBPerSecond: 5000, Concurrent: 8}),
	}
	o.rejectUnknownKeys()
}

func (f *File) readHealthChecks(r *fileReader, o *object) {
	f.recordLine(r, o, "on")
	f.HealthChecks = HealthChecks{
		Enabled:    o.boolean("on"),
		LeaseCount: o.integer("shares", 64, 1, maxLeasesPerKind),
		Interval:   o.duration("every_ms", 500*time.Millisecond, 50*time.Millisecond, time.Minute),
		Timeout:    o.duration("timeout_ms", 250*time.Millisecond, 10*time.Millisecond, 10*time.Second),
		Budget:     readBudget(o.object("spend"), Budget{OperationsPerSecond: 50, Concurrent: 16}),
	}
	o.rejectUnknownKeys()
}

func (f *File) readShardMap(r *fileReader, o *object) {
	f.recordLine(r, o, "on")
	f.ShardMap.Enabled = o.boolean("on")
	if f.ShardMap.Enabled && !f.Membership.Enabled {
		r.addError(o.keyOffset("on"), o.fullKey("on"), "needs other routers, but 'members.on' is false")
	}
	f.recordLine(r, o, "pin")
	f.ShardMap.PinnedRanges, f.ShardMap.PinnedOwners = o.pinnedMap("pin")
	o.rejectUnknownKeys()
}

func (f *File) readDirectory(r *fileReader, o *object) {
	f.recordLine(r, o, "on")
	f.Directory = Directory{Enabled: o.boolean("on"), SnapshotDir: o.string("dir")}
	if f.Directory.Enabled && !f.ShardMap.Enabled {
		r.addError(o.keyOffset("on"), o.fullKey("on"), "needs the shard map, but 'shards.on' is false")
	}
	if dir := f.Directory.SnapshotDir; dir != "" && !isDirectory(dir) {
		r.addError(o.keyOffset("dir"), o.fullKey("dir"), "is %q, which is not a directory", dir)
	}
	o.rejectUnknownKeys()
}

func isDirectory(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.IsDir()
}

func (f *File) readSiblingLookup(r *fileReader, o *object) {
	f.recordLine(r, o, "on")
	f.SiblingLookup = o.boolean("on")
	if f.SiblingLookup && !f.Directory.Enabled {
		r.addError(o.keyOffset("on"), o.fullKey("on"), "needs the directory, but 'rows.on' is false")
	}
	o.rejectUnknownKeys()
}

func (f *File) readDynamicFleetSize(r *fileReader, o *object) {
	f.recordLine(r, o, "on")
	f.DynamicFleetSize = o.boolean("on")
	if f.DynamicFleetSize && !f.Membership.Enabled {
		r.addError(o.keyOffset("on"), o.fullKey("on"), "needs other routers, but 'members.on' is false")
	}
	o.rejectUnknownKeys()
}

func (f *File) readBackgroundBudgets(o *object) {
	f.BackgroundBudgets = ResourceBudgets{
		Cache:  readBudget(o.object("each_cache"), Budget{OperationsPerSecond: 10, KBPerSecond: 1000, Concurrent: 2}),
		Parent: readBudget(o.object("each_parent"), Budget{OperationsPerSecond: 20, KBPerSecond: 2000, Concurrent: 4}),
		Link:   readBudget(o.object("link"), Budget{OperationsPerSecond: 40, KBPerSecond: 4000, Concurrent: 8}),
		Origin: readBudget(o.object("origin"), Budget{OperationsPerSecond: 20, KBPerSecond: 2000, Concurrent: 4}),
	}
	o.rejectUnknownKeys()
}

// readBudget reads a budget. Absent keys have the values of defaults.
func readBudget(o *object, defaults Budget) Budget {
	b := Budget{
		OperationsPerSecond: o.number("works_per_s", defaults.OperationsPerSecond, 0, maxOperations),
		KBPerSecond:         o.number("kb_per_s", defaults.KBPerSecond, 0, maxKB),
		Concurrent:          o.integer("out", defaults.Concurrent, 0, maxConcurrent),
	}
	o.rejectUnknownKeys()
	return b
}

// recordLine records the line of a key that is checked against the deployment later, for KeyError.
func (f *File) recordLine(r *fileReader, o *object, key string) {
	f.lines[o.fullKey(key)] = r.line(o.keyOffset(key))
}

// RestartKeys returns the keys whose values differ from those of an earlier file and take effect only after a
// restart.
func (f *File) RestartKeys(earlier *File) []string {
	var keys []string
	add := func(key string, differs bool) {
		if differs {
			keys = append(keys, key)
		}
	}
	current, previous := f.Membership, earlier.Membership
	add("members.on", current.Enabled != previous.Enabled)
	add("members.listen", current.Listen != previous.Listen)
	add("members.address", current.Address != previous.Address)
	add("members.peers", !slices.Equal(current.Peers, previous.Peers))
	add("members.seeds", !slices.Equal(current.Seeds, previous.Seeds))
	add("members.weight", current.Weight != previous.Weight)
	add("renewing.shares", f.Refresh.LeaseCount != earlier.Refresh.LeaseCount)
	add("probing.shares", f.HealthChecks.LeaseCount != earlier.HealthChecks.LeaseCount)
	add("renewing.queue", f.Refresh.MaxQueued != earlier.Refresh.MaxQueued)
	add("shards.on", f.ShardMap.Enabled != earlier.ShardMap.Enabled)
	add("rows", f.Directory != earlier.Directory)
	add("asking.on", f.SiblingLookup != earlier.SiblingLookup)
	add("presence.on", f.DynamicFleetSize != earlier.DynamicFleetSize)
	add("trace.visits", f.TraceRequests != earlier.TraceRequests)
	return keys
}
