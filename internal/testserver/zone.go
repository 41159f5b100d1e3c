package testserver

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Zone has what router processes of one zone need: caches below a parent and the origin, a discovery server, and a
// relay between the routers.
type Zone struct {
	Discovery      *Discovery
	Caches         map[string]*Cache
	CacheNames     []string
	Relay          *Relay
	Probes         *WorkLog
	Fills          *WorkLog
	dir            string
	keyFile        string
	peerAddresses  []netip.AddrPort                  // where routers listen
	relayAddresses []netip.AddrPort                  // where others reach them
	editConfig     func(i int, config string) string // of router i; nil: none
}

// NewBranch opens a zone with so many caches, for so many routers; files go into dir. setUp, if not nil, sets each
// cache's fields.
func NewBranch(dir string, caches, routers int, loss float64, setUp func(*Cache)) (*Zone, error) {
	b := &Zone{
		Caches:  map[string]*Cache{},
		Relay:   NewRelay(loss, 1),
		Probes:  &WorkLog{},
		Fills:   &WorkLog{},
		dir:     dir,
		keyFile: filepath.Join(dir, "peers.key"),
	}
	discovery, err := StartDiscovery(anyPort)
	if err != nil {
		return nil, err
	}
	b.Discovery = discovery
	for i := range caches {
		b.CacheNames = append(b.CacheNames, fmt.Sprintf("edge-%d", i))
	}
	var lines []string
	for _, name := range append([]string{"parent", "origin"}, b.CacheNames...) {
		if err := b.startCache(name, setUp); err != nil {
			return nil, err
		}
		lines = append(lines, b.EndpointJSON(name, "up", 0))
	}
	b.Discovery.AnnounceEndpoints(true, lines...)
	for range routers {
		if err := b.openPeerAddress(); err != nil {
			return nil, err
		}
	}
	return b, os.WriteFile(b.keyFile, []byte(strings.Repeat("5a", 32)+"\n"), 0o600)
}

const anyPort = "127.0.0.1:0"

func (b *Zone) startCache(name string, setUp func(*Cache)) error {
	cache, err := StartCache(name, anyPort, func(c *Cache) {
		c.IsOrigin = name == "origin"
		c.Peer = func(name string) *Cache { return b.Caches[name] }
		c.Probes = b.Probes
		if setUp != nil {
			setUp(c)
		}
		if name != "parent" && name != "origin" {
			c.Fills = b.Fills
		}
	})
	if err != nil {
		return err
	}
	b.Caches[name] = cache
	return nil
}

// openPeerAddress finds an address for the next router to listen at, and opens the relay's for it.
func (b *Zone) openPeerAddress() error {
	own, err := FreeUDP()
	if err != nil {
		return err
	}
	relayed, err := b.Relay.Forward(own)
	if err != nil {
		return err
	}
	b.peerAddresses = append(b.peerAddresses, own)
	b.relayAddresses = append(b.relayAddresses, relayed)
	return nil
}

// EndpointJSON is one cache of the zone as an endpoint list has it; started as for the function of that name.
func (b *Zone) EndpointJSON(name, state string, started int64) string {
	zone, kind := "branch", "cache"
	if name == "parent" || name == "origin" {
		zone, kind = "hub", name
	}
	return EndpointJSON(name, b.Caches[name].Address(), zone, kind, state, started)
}

// Close ends all servers, but no router.
func (b *Zone) Close() {
	b.Relay.Close()
	for _, c := range b.Caches {
		c.Close(false)
	}
	_ = b.Discovery.listener.Close()
}

// Purge announces a purge of an object; the caches drop their older copies dropAfter later.
func (b *Zone) Purge(object string, at time.Time) {
	b.Discovery.AnnouncePurge(object, at)
	time.AfterFunc(dropAfter, func() {
		for _, c := range b.Caches {
			c.Drop(object, at)
		}
	})
}

// dropAfter is less than the time that Settings gives caches for a purge.
const dropAfter = 2 * time.Second

// PeerAddress is where router i listens for datagrams; others reach it through the relay.
func (b *Zone) PeerAddress(i int) netip.AddrPort { return b.peerAddresses[i] }

// KeyFile is the path of the routers' key file.
func (b *Zone) KeyFile() string { return b.keyFile }

// OperatorFile gives the operator's file of router i; more is JSON of further members, each after a comma.
func (b *Zone) OperatorFile(i int, more string) string {
	peers, _ := json.Marshal(b.relayAddresses)
	return fmt.Sprintf(`{"members": {"on": true, "listen": %q, "address": %q, "peers": %s, "key_file": %q}%s}`,
		b.peerAddresses[i], b.relayAddresses[i], peers, b.keyFile, more)
}

// ConfigurePeers puts the addresses of the routers into their configurations, as the platform does, and gives an
// operator's file for all of them; more as for OperatorFile.
func (b *Zone) ConfigurePeers(more string) (operatorFile string) {
	peers, _ := json.Marshal(b.relayAddresses)
	b.editConfig = func(i int, config string) string {
		known := fmt.Sprintf(`"peer_listen":%q,"peers":%s,"known":`, b.peerAddresses[i], peers)
		config = strings.Replace(config, `"known":`, known, 1)
		return strings.Replace(config, `"fleet_size":`, fmt.Sprintf(`"me":%d,"fleet_size":`, i), 1)
	}
	return fmt.Sprintf(`{"members": {"on": true, "key_file": %q}%s}`, b.keyFile, more)
}

// Process is a router that runs as a process of its own.
type Process struct {
	*exec.Cmd
	Address string // for clients
	LogPath string // of its output
}

// StartRouter starts router i of the zone by a command, which gets its files by the environment.
func (b *Zone) StartRouter(i int, command, environment []string, settings, operatorFile string) (*Process, error) {
	address, err := FreeTCP()
	if err != nil {
		return nil, err
	}
	dir := filepath.Join(b.dir, fmt.Sprintf("router-%d-%d", i, time.Now().UnixNano()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	text := ConfigurationOf(address, b.Discovery, settings)
	if b.editConfig != nil {
		text = b.editConfig(i, text)
	}
	config, err := WriteConfig(dir, text)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "operator.jsonc")
	if err := os.WriteFile(path, []byte(operatorFile), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor of it
	p := &Process{Cmd: exec.Command(command[0], command[1:]...), Address: address, LogPath: log.Name()}
	p.Env = append(os.Environ(), environment...)
	p.Env = append(p.Env, "RELAY_NAME=", "RELAY_LISTEN=", "RELAY_CONFIG="+config, "THREADRUN_OPERATOR="+path)
	p.Stdout = log
	p.Stderr = log
	return p, p.Start()
}

// logText is what the router has logged so far.
func (p *Process) logText() string {
	text, _ := os.ReadFile(p.LogPath)
	return string(text)
}

// Client connects to a router, which may still be starting, within a time.
func (p *Process) Client(timeout time.Duration) (c *Client, err error) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c, err = Connect(p.Address); err == nil {
			return c, nil
		}
	}
	return nil, err
}

// Kill ends the process by SIGKILL, and waits for it.
func (p *Process) Kill() {
	_ = p.Process.Kill()
	_ = p.Wait()
}

// Terminate ends the process by SIGTERM, and waits for it. An error is that it did not exit with 0.
func (p *Process) Terminate() error {
	_ = p.Process.Signal(syscall.SIGTERM)
	return p.Wait()
}
