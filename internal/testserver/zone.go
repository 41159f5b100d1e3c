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

// Zone is a branch to run router processes in: caches below a parent and the origin, a bulletin, and a relay between
// the routers.
type Zone struct {
	Discovery      *Discovery
	Caches         map[string]*Cache
	CacheNames     []string
	Relay          *Relay
	Probes         *WorkLog
	Fills          *WorkLog
	dir            string
	keyFile        string
	peerAddresses  []netip.AddrPort // where routers listen
	relayAddresses []netip.AddrPort // where others reach them
	editConfig     func(i int, config string) string
}

// NewBranch opens a branch of so many caches, for so many routers; files go into a folder. Shape sets each cache up.
func NewBranch(dir string, edges, routers int, loss float64, shape func(*Cache)) (*Zone, error) {
	b := &Zone{Caches: map[string]*Cache{}, Relay: NewRelay(loss, 1), Probes: &WorkLog{}, Fills: &WorkLog{}, dir: dir,
		keyFile: filepath.Join(dir, "peers.key")}
	var err error
	if b.Discovery, err = StartDiscovery("127.0.0.1:0"); err != nil {
		return nil, err
	}
	names := []string{"parent", "origin"}
	for i := range edges {
		b.CacheNames = append(b.CacheNames, fmt.Sprintf("edge-%d", i))
	}
	var lines []string
	for _, name := range append(names, b.CacheNames...) {
		c, err := StartCache(name, "127.0.0.1:0", func(c *Cache) {
			c.IsOrigin = name == "origin"
			c.Peer = func(name string) *Cache { return b.Caches[name] }
			c.Probes, c.Fills = b.Probes, nil
			if shape != nil {
				shape(c)
			}
			if name != "parent" && name != "origin" {
				c.Fills = b.Fills
			}
		})
		if err != nil {
			return nil, err
		}
		b.Caches[name] = c
		lines = append(lines, b.EndpointJSON(name, "up", 0))
	}
	b.Discovery.AnnounceEndpoints(true, lines...)
	for range routers {
		own, err := FreeUDP()
		if err != nil {
			return nil, err
		}
		door, err := b.Relay.Forward(own)
		if err != nil {
			return nil, err
		}
		b.peerAddresses, b.relayAddresses = append(b.peerAddresses, own), append(b.relayAddresses, door)
	}
	return b, os.WriteFile(b.keyFile, []byte(strings.Repeat("5a", 32)+"\n"), 0o600)
}

// EndpointJSON is a cache's line on the list.
func (b *Zone) EndpointJSON(name, state string, boot int64) string {
	zone, kind := "branch", "cache"
	if name == "parent" || name == "origin" {
		zone, kind = "hub", name
	}
	return EndpointJSON(name, b.Caches[name].Address(), zone, kind, state, boot)
}

// Close ends the branch.
func (b *Zone) Close() {
	b.Relay.Close()
	for _, c := range b.Caches {
		c.Close(false)
	}
	_ = b.Discovery.listener.Close()
}

// Purge tells of a purge of an object; caches drop their older copies by themselves some time later.
func (b *Zone) Purge(object string, at time.Time) {
	b.Discovery.AnnouncePurge(object, at)
	time.AfterFunc(dropAfter, func() {
		for _, c := range b.Caches {
			c.Drop(object, at)
		}
	})
}

// dropAfter is within what Site gives caches to carry a purge out.
const dropAfter = 2 * time.Second

// PeerAddress is where router i listens for datagrams, past the relay.
func (b *Zone) PeerAddress(i int) netip.AddrPort { return b.peerAddresses[i] }

// KeyFile is the routers' file of keys.
func (b *Zone) KeyFile() string { return b.keyFile }

// OperatorFile gives the operator's file of a router, with further members.
func (b *Zone) OperatorFile(i int, more string) string {
	peers, _ := json.Marshal(b.relayAddresses)
	return fmt.Sprintf(
		`{"members": {"on": true, "listen": %q, "address": %q, "peers": %s, "key_file": %q}%s}`,
		b.peerAddresses[i],
		b.relayAddresses[i],
		peers,
		b.keyFile,
		more,
	)
}

// ConfigurePeers has the routers' configurations tell them where datagrams arrive and where all are reached, as a
// platform does; what is left for the operator's file of each is in the result.
func (b *Zone) ConfigurePeers(more string) (spec string) {
	peers, _ := json.Marshal(b.relayAddresses)
	b.editConfig = func(i int, config string) string {
		config = strings.Replace(
			config,
			`"known":`,
			fmt.Sprintf(`"peer_listen":%q,"peers":%s,"known":`, b.peerAddresses[i], peers),
			1,
		)
		return strings.Replace(config, `"fleet_size":`, fmt.Sprintf(`"me":%d,"fleet_size":`, i), 1)
	}
	return fmt.Sprintf(`{"members": {"on": true, "key_file": %q}%s}`, b.keyFile, more)
}

// Process is a router that runs as a process of its own.
type Process struct {
	*exec.Cmd
	Address string
	LogPath string
}

// StartRouter starts router i of the branch: a command that the environment tells of its files.
func (b *Zone) StartRouter(i int, command []string, environment []string, site, spec string) (*Process, error) {
	door, err := FreeTCP()
	if err != nil {
		return nil, err
	}
	dir := filepath.Join(b.dir, fmt.Sprintf("router-%d-%d", i, time.Now().UnixNano()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	text := ConfigurationOf(door, b.Discovery, site)
	if b.editConfig != nil {
		text = b.editConfig(i, text)
	}
	config, err := WriteConfig(dir, text)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "operator.jsonc")
	if err := os.WriteFile(path, []byte(spec), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &Process{exec.Command(command[0], command[1:]...), door, log.Name()}
	p.Env = append(append(os.Environ(), environment...), "RELAY_NAME=", "RELAY_LISTEN=", "RELAY_CONFIG="+config,
		"THREADRUN_OPERATOR="+path)
	p.Stdout, p.Stderr = log, log
	return p, p.Start()
}

// Client connects to a router that may be starting still.
func (p *Process) Client(within time.Duration) (c *Client, err error) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c, err = Connect(p.Address); err == nil {
			return c, nil
		}
	}
	return nil, err
}

// Kill ends the process outright.
func (p *Process) Kill() {
	_ = p.Process.Kill()
	_ = p.Wait()
}

// Terminate asks the process to end, and waits for it.
func (p *Process) Terminate() error {
	_ = p.Process.Signal(syscall.SIGTERM)
	return p.Wait()
}
