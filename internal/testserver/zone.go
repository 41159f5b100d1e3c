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

// Zone contains the servers that the router processes of one zone communicate with: caches, a parent and the
// origin, a discovery server, and a relay between the routers.
type Zone struct {
	Discovery      *Discovery
	Caches         map[string]*Cache // by name, including the parent and the origin
	CacheNames     []string          // without the parent and the origin
	Relay          *Relay
	HealthChecks   *WorkLog // health checks of all caches
	Fills          *WorkLog // fills of the caches, without the parent's
	dir            string
	keyFile        string
	peerAddresses  []netip.AddrPort                  // addresses at which routers listen
	relayAddresses []netip.AddrPort                  // addresses at which other routers reach them
	editConfig     func(i int, config string) string // modifies the configuration of router i; nil: none
}

// NewZone creates a zone with the given numbers of caches and routers. It starts the caches, but no routers. Files
// are created in dir. loss is the share of the datagrams between routers that are lost. setUp, if not nil, is
// called to set each cache's fields.
func NewZone(dir string, caches, routers int, loss float64, setUp func(*Cache)) (*Zone, error) {
	z := &Zone{
		Caches:       map[string]*Cache{},
		Relay:        NewRelay(loss, 1),
		HealthChecks: &WorkLog{},
		Fills:        &WorkLog{},
		dir:          dir,
		keyFile:      filepath.Join(dir, "peers.key"),
	}
	discovery, err := StartDiscovery(anyPort)
	if err != nil {
		return nil, err
	}
	z.Discovery = discovery
	for i := range caches {
		z.CacheNames = append(z.CacheNames, fmt.Sprintf("edge-%d", i))
	}
	var entries []string
	for _, name := range append([]string{"parent", "origin"}, z.CacheNames...) {
		if err := z.startCache(name, setUp); err != nil {
			return nil, err
		}
		entries = append(entries, z.EndpointJSON(name, "up", 0))
	}
	z.Discovery.AnnounceEndpoints(true, entries...)
	for range routers {
		if err := z.openPeerAddress(); err != nil {
			return nil, err
		}
	}
	return z, os.WriteFile(z.keyFile, []byte(strings.Repeat("5a", 32)+"\n"), 0o600)
}

// anyPort is a loopback address for which the system selects a free port.
const anyPort = "127.0.0.1:0"

func (z *Zone) startCache(name string, setUp func(*Cache)) error {
	cache, err := StartCache(name, anyPort, func(c *Cache) {
		c.IsOrigin = name == "origin"
		c.FindSource = func(name string) *Cache { return z.Caches[name] }
		c.HealthChecks = z.HealthChecks
		if setUp != nil {
			setUp(c)
		}
		if name != "parent" && name != "origin" {
			c.Fills = z.Fills
		}
	})
	if err != nil {
		return err
	}
	z.Caches[name] = cache
	return nil
}

// openPeerAddress reserves an address at which the next router will listen, and opens the relay's address for it.
func (z *Zone) openPeerAddress() error {
	listenAddress, err := FreeUDP()
	if err != nil {
		return err
	}
	relayAddress, err := z.Relay.Forward(listenAddress)
	if err != nil {
		return err
	}
	z.peerAddresses = append(z.peerAddresses, listenAddress)
	z.relayAddresses = append(z.relayAddresses, relayAddress)
	return nil
}

// EndpointJSON returns the endpoint list entry of a cache of the zone. started is as for the function EndpointJSON.
func (z *Zone) EndpointJSON(name, state string, started int64) string {
	zone, kind := "branch", "cache"
	if name == "parent" || name == "origin" {
		zone, kind = "hub", name
	}
	return EndpointJSON(name, z.Caches[name].Address(), zone, kind, state, started)
}

// Close closes all servers, but does not end the router processes.
func (z *Zone) Close() {
	z.Relay.Close()
	for _, c := range z.Caches {
		c.Close(false)
	}
	_ = z.Discovery.listener.Close()
}

// Purge announces a purge of an object. The caches remove their older copies after cachePurgeDelay.
func (z *Zone) Purge(object string, at time.Time) {
	z.Discovery.AnnouncePurge(object, at)
	time.AfterFunc(cachePurgeDelay, func() {
		for _, c := range z.Caches {
			c.Purge(object, at)
		}
	})
}

// cachePurgeDelay is less than the time that Settings permit caches for a purge (purge_takes).
const cachePurgeDelay = 2 * time.Second

// PeerAddress returns the address at which router i receives datagrams. Other routers reach it through the relay.
func (z *Zone) PeerAddress(i int) netip.AddrPort { return z.peerAddresses[i] }

// KeyFile returns the path of the routers' key file.
func (z *Zone) KeyFile() string { return z.keyFile }

// OperatorFile returns the content of the operator's file of router i. operatorMembers contains additional JSON
// members, each preceded by a comma.
func (z *Zone) OperatorFile(i int, operatorMembers string) string {
	peers, _ := json.Marshal(z.relayAddresses)
	return fmt.Sprintf(`{"members": {"on": true, "listen": %q, "address": %q, "peers": %s, "key_file": %q}%s}`,
		z.peerAddresses[i], z.relayAddresses[i], peers, z.keyFile, operatorMembers)
}

// ConfigurePeers adds the routers' addresses to the configurations of routers that are started later, as the platform
// does, and returns the content of an operator's file for all routers. operatorMembers is as for OperatorFile.
func (z *Zone) ConfigurePeers(operatorMembers string) (operatorFile string) {
	peers, _ := json.Marshal(z.relayAddresses)
	z.editConfig = func(i int, config string) string {
		known := fmt.Sprintf(`"peer_listen":%q,"peers":%s,"known":`, z.peerAddresses[i], peers)
		config = strings.Replace(config, `"known":`, known, 1)
		return strings.Replace(config, `"fleet_size":`, fmt.Sprintf(`"me":%d,"fleet_size":`, i), 1)
	}
	return fmt.Sprintf(`{"members": {"on": true, "key_file": %q}%s}`, z.keyFile, operatorMembers)
}

// Process is a router running as a process.
type Process struct {
	*exec.Cmd
	Address string // address for clients
	LogPath string // file that contains its output
}

// StartRouter starts router i of the zone with a command. It writes the configuration with the given settings and the
// operator's file with the given content to a new directory. Environment variables tell the process the paths.
func (z *Zone) StartRouter(i int, command, environment []string, settings, operatorFile string) (*Process, error) {
	address, err := FreeTCP()
	if err != nil {
		return nil, err
	}
	dir := filepath.Join(z.dir, fmt.Sprintf("router-%d-%d", i, time.Now().UnixNano()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	text := ConfigurationOf(address, z.Discovery, settings)
	if z.editConfig != nil {
		text = z.editConfig(i, text)
	}
	configPath, err := WriteConfig(dir, text)
	if err != nil {
		return nil, err
	}
	operatorPath := filepath.Join(dir, "operator.jsonc")
	if err := os.WriteFile(operatorPath, []byte(operatorFile), 0o600); err != nil {
		return nil, err
	}
	return StartProcess(command, environment, address, configPath, operatorPath, filepath.Join(dir, "log"))
}

// StartProcess starts a router with the given paths of its files. address is the client address in its configuration;
// environment is added to the environment of this process.
func StartProcess(command, environment []string, address, configPath, operatorPath, logPath string) (*Process, error) {
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor of the file
	p := &Process{Cmd: exec.Command(command[0], command[1:]...), Address: address, LogPath: log.Name()}
	p.Env = append(os.Environ(), environment...)
	p.Env = append(p.Env, "RELAY_NAME=", "RELAY_LISTEN=", "RELAY_CONFIG="+configPath, "THREADRUN_OPERATOR="+operatorPath)
	p.Stdout = log
	p.Stderr = log
	return p, p.Start()
}

// logText returns the router's log so far.
func (p *Process) logText() string {
	text, _ := os.ReadFile(p.LogPath)
	return string(text)
}

// Client connects to the router, which may still be starting. It retries until the timeout, and returns the last
// error.
func (p *Process) Client(timeout time.Duration) (c *Client, err error) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c, err = Connect(p.Address); err == nil {
			return c, nil
		}
	}
	return nil, err
}

// Kill ends the process with SIGKILL and waits for it.
func (p *Process) Kill() {
	_ = p.Process.Kill()
	_ = p.Wait()
}

// Terminate ends the process with SIGTERM and waits for it. It returns an error if the exit code is not 0.
func (p *Process) Terminate() error {
	_ = p.Process.Signal(syscall.SIGTERM)
	return p.Wait()
}
