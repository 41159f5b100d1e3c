package testserver

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Footprint is what a router at rest uses, with so many endpoints and peers.
type Footprint struct {
	Machines      int     `json:"machines"` // routers in its settings and its list of peers, and caches on its list
	ReadyMs       float64 `json:"ready_ms"` // from the start of its process until a client is connected
	ResidentMB    float64 `json:"resident_mb"`
	Descriptors   int     `json:"descriptors"`
	EndpointCount int     `json:"endpoints"` // endpoints that its log names as added
	Log           string  `json:"-"`
}

const (
	footprintReadyTimeout = 20 * time.Second
	footprintRestTime     = 3 * time.Second // after the last change of the endpoint list
)

// MeasureLarge starts a router with so many peers and endpoints, announces the endpoints in one complete list and
// each again as a change, and measures the router at rest. With clustered it sends to its peers, none of which
// exists. command and environment start the router; its files go into dir. An error is that the router does not
// start.
func MeasureLarge(dir string, command, environment []string, machines, memoryMB, descriptors int, clustered bool) (
	Footprint, error) {
	s := Footprint{Machines: machines}
	b, err := NewBranch(dir, 1, 1, 0, nil)
	if err != nil {
		return s, err
	}
	defer b.Close()
	b.announceMachines(machines)
	b.configureLarge(machines, memoryMB, descriptors)
	operatorFile := "{}"
	if clustered {
		operatorFile = fmt.Sprintf(`{"members": {"on": true, "listen": %q, "key_file": %q}, "shards": {"on": true}}`,
			b.peerAddresses[0], b.keyFile)
	}
	began := time.Now()
	router, err := b.StartRouter(0, command, environment, ZoneSettings(machines), operatorFile)
	if err != nil {
		return s, err
	}
	defer router.Kill()
	if _, err := router.Client(footprintReadyTimeout); err != nil {
		return s, fmt.Errorf("not ready: %w\n%s", err, router.logText())
	}
	s.ReadyMs = float64(time.Since(began).Microseconds()) / 1000
	for i := range machines {
		b.Discovery.AnnounceEndpoints(false, machineJSON(i, "draining"))
	}
	time.Sleep(footprintRestTime)
	if err := s.measure(router); err != nil {
		return s, err
	}
	s.Log = router.logText()
	s.EndpointCount = strings.Count(s.Log, "endpoint added")
	return s, nil
}

// announceMachines announces the parent, the origin and so many caches that do not exist.
func (b *Zone) announceMachines(machines int) {
	lines := []string{b.EndpointJSON("parent", "up", 0), b.EndpointJSON("origin", "up", 0)}
	for i := range machines {
		lines = append(lines, machineJSON(i, "up"))
	}
	b.Discovery.AnnounceEndpoints(true, lines...)
}

// machineJSON is the line of a cache that does not exist.
func machineJSON(i int, state string) string {
	address := fmt.Sprintf("127.9.%d.%d:9", i>>8, i&255)
	return EndpointJSON(fmt.Sprintf("far-%d", i), address, "branch", "cache", state, 0)
}

// configureLarge sets the limits of the router's configuration, and its peers, which do not exist but for itself.
func (b *Zone) configureLarge(machines, memoryMB, descriptors int) {
	peers := []string{b.peerAddresses[0].String()}
	for i := range machines - 1 {
		peers = append(peers, fmt.Sprintf("127.8.%d.%d:9", i>>8, i&255))
	}
	list, _ := json.Marshal(peers)
	b.editConfig = func(_ int, config string) string {
		config = strings.Replace(config, `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryMB), 1)
		config = strings.Replace(config, `"sockets":512`, fmt.Sprintf(`"sockets":%d`, descriptors), 1)
		return strings.Replace(config, `"known":`, fmt.Sprintf(`"peers":%s,"known":`, list), 1)
	}
}

// measure reads the process's memory and descriptors from /proc.
func (s *Footprint) measure(router *Process) error {
	dir := filepath.Join("/proc", strconv.Itoa(router.Process.Pid))
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return err
	}
	for _, line := range strings.Split(string(status), "\n") {
		if words := strings.Fields(line); len(words) > 1 && words[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(words[1])
			s.ResidentMB = float64(kb) / 1024
		}
	}
	open, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return err
	}
	s.Descriptors = len(open)
	return nil
}
