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

// Footprint is what a router at rest takes, in a fleet of some size.
type Footprint struct {
	Machines      int     `json:"machines"` // routers in its settings and its list of peers, and caches on its list
	ReadyMs       float64 `json:"ready_ms"`
	ResidentMB    float64 `json:"resident_mb"`
	Descriptors   int     `json:"descriptors"`
	EndpointCount int     `json:"listed"` // caches that its log tells of
	Log           string  `json:"-"`
}

// MeasureLarge starts a router that is told of so many routers and caches, the caches whole and then each again as a
// change, and measures it at rest. Tier has it talk to the routers, of which none is there.
func MeasureLarge(
	dir string,
	command, environment []string,
	machines, memoryMB, descriptors int,
	tier bool,
) (s Footprint, err error) {
	s.Machines = machines
	b, err := NewBranch(dir, 1, 1, 0, nil)
	if err != nil {
		return s, err
	}
	defer b.Close()
	line := func(i int, state string) string {
		return EndpointJSON(
			fmt.Sprintf("far-%d", i),
			fmt.Sprintf("127.9.%d.%d:9", i>>8, i&255),
			"branch",
			"cache",
			state,
			0,
		)
	}
	lines := []string{b.EndpointJSON("parent", "up", 0), b.EndpointJSON("origin", "up", 0)}
	for i := range machines {
		lines = append(lines, line(i, "up"))
	}
	b.Discovery.AnnounceEndpoints(true, lines...)
	peers := []string{b.peerAddresses[0].String()}
	for i := range machines - 1 {
		peers = append(peers, fmt.Sprintf("127.8.%d.%d:9", i>>8, i&255))
	}
	list, _ := json.Marshal(peers)
	site := ZoneSettings(machines)
	spec := "{}"
	if tier {
		spec = fmt.Sprintf(
			`{"members": {"on": true, "listen": %q, "key_file": %q}, "shards": {"on": true}}`,
			b.peerAddresses[0],
			b.keyFile,
		)
	}
	b.editConfig = func(_ int, config string) string {
		config = strings.Replace(config, `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryMB), 1)
		config = strings.Replace(config, `"sockets":512`, fmt.Sprintf(`"sockets":%d`, descriptors), 1)
		return strings.Replace(config, `"known":`, fmt.Sprintf(`"peers":%s,"known":`, list), 1)
	}
	began := time.Now()
	p, err := b.StartRouter(0, command, environment, site, spec)
	if err != nil {
		return s, err
	}
	defer p.Kill()
	c, err := p.Client(20 * time.Second)
	if err != nil {
		text, _ := os.ReadFile(p.LogPath)
		return s, fmt.Errorf("not ready: %w\n%s", err, text)
	}
	_ = c
	s.ReadyMs = float64(time.Since(began).Microseconds()) / 1000
	for i := range machines {
		b.Discovery.AnnounceEndpoints(false, line(i, "draining"))
	}
	time.Sleep(3 * time.Second)
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.Process.Pid), "status"))
	if err != nil {
		return s, err
	}
	for _, l := range strings.Split(string(status), "\n") {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			s.ResidentMB = float64(kb) / 1024
		}
	}
	open, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(p.Process.Pid), "fd"))
	if err != nil {
		return s, err
	}
	s.Descriptors = len(open)
	text, _ := os.ReadFile(p.LogPath)
	s.Log = string(text)
	s.EndpointCount = strings.Count(s.Log, "endpoint added")
	return s, nil
}
