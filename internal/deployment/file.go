package deployment

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

// File is a router's configuration, read and checked. Each part of the router is given its own few values of it.
type File struct {
	path             string
	root             *fastjson.Value
	Name             string
	Listen           string // where clients connect
	DiscoveryAddress string // the bulletin's address
	Seed             uint32
	InitialEvents    *fastjson.Value // the bulletin's events so far
	Settings         *fastjson.Value // the settings object
}

// Open reads a configuration. What the environment says of name and address goes before the file.
func Open(path string, env func(string) string) (*File, error) {
	if path == "" {
		return nil, fmt.Errorf("configuration: RELAY_CONFIG names no file")
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Read(path, b, env)
}

// Read reads a configuration's text; name says where it is from.
func Read(path string, b []byte, env func(string) string) (*File, error) {
	v, err := fastjson.ParseBytes(b)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	f := &File{path: path, root: v}
	k := &reader{}
	if v.Type() != fastjson.TypeObject {
		return nil, f.wrap(fmt.Errorf("no object"))
	}
	f.Name, f.Listen, f.DiscoveryAddress = k.string(v, "name"), k.string(v, "listen"), k.string(v, "bulletin")
	if s := env("RELAY_NAME"); s != "" {
		f.Name = s
	}
	if s := env("RELAY_LISTEN"); s != "" {
		f.Listen = s
	}
	checkAddress(k, "listen", f.Listen)
	checkAddress(k, "bulletin", f.DiscoveryAddress)
	if _, err := netip.ParseAddrPort(f.DiscoveryAddress); err != nil { // there are no names to look up
		k.fail("bulletin", fmt.Sprintf("is %q, no numeric address", f.DiscoveryAddress))
	}
	if seed, err := strconv.ParseUint(k.string(v, "seed"), 16, 64); err == nil {
		f.Seed = uint32(seed ^ seed>>32)
	} else {
		k.fail("seed", "is no number in hex digits")
	}
	for _, key := range [...]string{"known", "settings"} {
		if m := v.Get(key); m == nil || m.Type() != fastjson.TypeObject {
			k.fail(key, "is missing or no object")
		}
	}
	f.InitialEvents, f.Settings = v.Get("known"), v.Get("settings")
	return f, f.wrap(k.err)
}

func (f *File) wrap(err error) error {
	if err != nil {
		return fmt.Errorf("configuration %s: %w", f.path, err)
	}
	return nil
}

// Wrap puts the file's name before an error in it.
func (f *File) Wrap(err error) error { return f.wrap(err) }

func checkAddress(k *reader, key, s string) {
	if _, port, err := net.SplitHostPort(s); err != nil || port == "" {
		k.fail(key, fmt.Sprintf("is %q, no address with a port", s))
	}
}

// Limits gives what the platform holds the router to.
func (f *File) Limits() (cores float64, memoryMB, descriptors int, err error) {
	k := &reader{}
	cores = k.number(f.root, "limits.cores", 1, 0.01)
	memoryMB = int(k.number(f.root, "limits.memory_mb", 192, 16))
	descriptors = int(k.number(f.root, "limits.sockets", 1024, 64))
	return cores, memoryMB, descriptors, f.wrap(k.err)
}

// Peers is what the file says of the other routers. All of it may be absent.
type Peers struct {
	Listen         netip.AddrPort   // where datagrams from them arrive
	Addresses      []netip.AddrPort // where each is reached, this router among them
	Self           netip.AddrPort   // of these, this router's: others know it by that, wherever it listens
	PeersAllowed   bool             // the site lets routers talk to each other
	ProbingAllowed bool             // and probe caches
}

// Peers reads it.
func (f *File) Peers() (t Peers, err error) {
	k := &reader{}
	numeric := func(key string, v *fastjson.Value) (a netip.AddrPort) {
		s, err := v.StringBytes()
		if err == nil {
			a, err = netip.ParseAddrPort(string(s))
		}
		if err != nil {
			k.fail(key, "is no numeric address")
		}
		return a
	}
	if v := f.root.Get("peer_listen"); v != nil && v.Type() != fastjson.TypeNull {
		t.Listen = numeric("peer_listen", v)
	}
	for i, v := range k.array(f.root, "peers", false) {
		t.Addresses = append(t.Addresses, numeric(fmt.Sprintf("peers[%d]", i), v))
	}
	if v := find(f.Settings, "me"); v != nil && len(t.Addresses) > 0 {
		if at := int(k.number(f.Settings, "me", 0, 0)); at < len(t.Addresses) {
			t.Self = t.Addresses[at]
		} else {
			k.fail("settings.me", fmt.Sprintf("is %d, and 'peers' has %d", at, len(t.Addresses)))
		}
	}
	t.PeersAllowed, t.ProbingAllowed = k.bool(f.Settings, "limits.peers"), k.bool(f.Settings, "limits.may_probe")
	return t, f.wrap(k.err)
}

const memoryShare = 10 // unfinished requests, bodies and unread answers take a tenth of the memory each at most

// ConnectionLimits gives the bounds on connections: how many clients and caches may have, together and each cache; how many
// bytes a client may leave unread, and what room there is for clients' bytes of each kind; after how long an idle
// client is cut off. The optional object 'pools' overrides the defaults, which come from the limits.
func (f *File) ConnectionLimits() (clients, caches, each, backlog, room int, idle time.Duration, err error) {
	_, memoryMB, descriptors, err := f.Limits()
	if err != nil {
		return 0, 0, 0, 0, 0, 0, err
	}
	room = memoryMB << 20 / memoryShare
	k := &reader{}
	clients = int(k.number(f.root, "pools.clients", float64(descriptors*2/5), 1))
	caches = int(k.number(f.root, "pools.caches", float64(descriptors*2/5), 1))
	each = int(k.number(f.root, "pools.each_cache", 48, 1))
	backlog = int(k.number(f.root, "pools.unread_bytes", float64(room/2), 1<<18))
	idle = time.Duration(k.number(f.root, "pools.client_idle_ms", 30_000, 1000)) * time.Millisecond
	return clients, caches, each, backlog, room, idle, f.wrap(k.err)
}

// WatchTimeouts gives the bulletin's waits: how long one poll may be held, and how much longer it may take.
func (f *File) WatchTimeouts() (wait, slack time.Duration, err error) {
	k := &reader{}
	ms := func(path string, otherwise float64) time.Duration {
		return time.Duration(k.number(f.root, path, otherwise, 50)) * time.Millisecond
	}
	wait, slack = ms("polls.wait_ms", 1500), ms("polls.slack_ms", 500)
	return wait, slack, f.wrap(k.err)
}

// Validate reads all that a router is told, for its first fault: a file is taken up whole or not at all.
func (f *File) Validate() error {
	if _, _, _, err := f.Limits(); err != nil {
		return err
	}
	if _, _, _, _, _, _, err := f.ConnectionLimits(); err != nil {
		return err
	}
	if _, _, err := f.WatchTimeouts(); err != nil {
		return err
	}
	if _, _, _, err := CacheConnections(f.Settings); err != nil {
		return f.wrap(err)
	}
	k := &reader{}
	k.number(f.root, "known.no", -1, 0)
	_, _, err := NewRouter(f.Settings, f.Seed, nil)
	if err == nil {
		err = k.err
	}
	return f.wrap(err)
}

// RestartKeys names the keys that differ from an earlier file's and can be taken up by a new start only.
func (f *File) RestartKeys(was *File) []string {
	var keys []string
	if f.Name != was.Name {
		keys = append(keys, "name")
	}
	if f.Listen != was.Listen {
		keys = append(keys, "listen")
	}
	for _, key := range [...]string{"limits", "settings"} {
		if text := func(f *File) string { return fmt.Sprint(f.root.Get(key)) }; text(f) != text(was) {
			keys = append(keys, key)
		}
	}
	return keys
}
