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

// Footprint contains the resources used by an idle router.
type Footprint struct {
	Machines      int     `json:"machines"` // number of routers in the configuration, and number of caches
	ReadyMs       float64 `json:"ready_ms"` // time from the start of the process until a client is connected
	ResidentMB    float64 `json:"resident_mb"`
	Descriptors   int     `json:"descriptors"`
	EndpointCount int     `json:"endpoints"` // number of endpoints that it logged as added
	Log           string  `json:"-"`
}

const (
	footprintReadyTimeout = 20 * time.Second
	footprintSettleTime   = 3 * time.Second // time from the last change of the endpoint list to the measurement
)

// MeasureFootprint starts one router of a deployment, announces all endpoints in one complete list and then each cache
// as draining in an event of its own, and measures the idle router. machines is the number of routers and the number of
// caches in the deployment, of which only the measured router, the parent and the origin exist. memoryMB and
// descriptors are the router's limits. If clustered is set, the router sends datagrams to its peers. command and
// environment start the router; files are created in dir. It returns an error if the router does not start.
func MeasureFootprint(dir string, command, environment []string, machines, memoryMB, descriptors int, clustered bool) (
	Footprint, error) {
	s := Footprint{Machines: machines}
	zone, err := NewZone(dir, 1, 1, 0, nil)
	if err != nil {
		return s, err
	}
	defer zone.Close()
	zone.announceAbsentCaches(machines)
	zone.configureFootprint(machines, memoryMB, descriptors)
	operatorFile := "{}"
	if clustered {
		operatorFile = fmt.Sprintf(`{"members": {"on": true, "listen": %q, "key_file": %q}, "shards": {"on": true}}`,
			zone.peerAddresses[0], zone.keyFile)
	}
	startedAt := time.Now()
	router, err := zone.StartRouter(0, command, environment, ZoneSettings(machines), operatorFile)
	if err != nil {
		return s, err
	}
	defer router.Kill()
	if _, err := router.Client(footprintReadyTimeout); err != nil {
		return s, fmt.Errorf("router did not accept a connection within %s: %w\n%s",
			footprintReadyTimeout, err, router.logText())
	}
	s.ReadyMs = float64(time.Since(startedAt).Microseconds()) / 1000
	for i := range machines {
		zone.Discovery.AnnounceEndpoints(false, absentCacheJSON(i, "draining"))
	}
	time.Sleep(footprintSettleTime)
	if err := s.measure(router); err != nil {
		return s, err
	}
	s.Log = router.logText()
	s.EndpointCount = strings.Count(s.Log, "endpoint added")
	return s, nil
}

// announceAbsentCaches announces the parent, the origin, and the given number of caches that do not exist.
func (z *Zone) announceAbsentCaches(machines int) {
	entries := []string{z.EndpointJSON("parent", "up", 0), z.EndpointJSON("origin", "up", 0)}
	for i := range machines {
		entries = append(entries, absentCacheJSON(i, "up"))
	}
	z.Discovery.AnnounceEndpoints(true, entries...)
}

// absentCacheJSON returns the endpoint list entry of a cache that does not exist.
func absentCacheJSON(i int, state string) string {
	address := fmt.Sprintf("127.9.%d.%d:9", i>>8, i&255)
	return EndpointJSON(fmt.Sprintf("far-%d", i), address, "branch", "cache", state, 0)
}

// SetLimits sets the memory and the descriptors that the configuration of each router states.
func (z *Zone) SetLimits(memoryMB, descriptors int) {
	z.editConfig = func(_ int, config string) string { return withLimits(config, memoryMB, descriptors) }
}

// withLimits returns a configuration with other limits.
func withLimits(config string, memoryMB, descriptors int) string {
	config = strings.Replace(config, `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryMB), 1)
	return strings.Replace(config, `"sockets":512`, fmt.Sprintf(`"sockets":%d`, descriptors), 1)
}

// configureFootprint sets the limits and the peers in the router's configuration. The number of peers is machines; the
// first peer is the router itself, and the others do not exist.
func (z *Zone) configureFootprint(machines, memoryMB, descriptors int) {
	peers := []string{z.peerAddresses[0].String()}
	for i := range machines - 1 {
		peers = append(peers, fmt.Sprintf("127.8.%d.%d:9", i>>8, i&255))
	}
	list, _ := json.Marshal(peers)
	z.editConfig = func(_ int, config string) string {
		config = withLimits(config, memoryMB, descriptors)
		return strings.Replace(config, `"known":`, fmt.Sprintf(`"peers":%s,"known":`, list), 1)
	}
}

// measure reads the resident memory and the number of open descriptors of a process from /proc.
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
	openDescriptors, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return err
	}
	s.Descriptors = len(openDescriptors)
	return nil
}
