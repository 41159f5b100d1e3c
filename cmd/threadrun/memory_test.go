package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// Guards against memory that passes its limit while hundreds of clients write large requests as fast as they can: the
// process would be killed, and what it had taken would be lost.
func TestMemoryUnderAFloodOfWrites(t *testing.T) {
	const (
		memoryMB  = 32
		clients   = 340 // a third of the descriptors
		bodyBytes = 48_000
		duration  = 4 * time.Second
	)
	zone, err := testserver.NewZone(t.TempDir(), 1, 1, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer zone.Close()
	zone.SetLimits(memoryMB, 1024)
	command, environment := []string{os.Args[0]}, []string{"THREADRUN_TEST_RUN=1"}
	router, err := zone.StartRouter(0, command, environment, testserver.Settings, "{}")
	if err != nil {
		t.Fatal(err)
	}
	defer router.Kill()
	client, err := router.Client(20 * time.Second)
	if err != nil {
		t.Fatal(err)
	}
	client.Close()
	end := time.Now().Add(duration)
	var writers sync.WaitGroup
	for i := range clients {
		writers.Go(func() { floodWithWrites(router.Address, uint64(i+1)<<32, bodyBytes, end) })
	}
	peak := 0.0
	for time.Now().Before(end) {
		peak = max(peak, anonymousMB(t, router.Process.Pid))
		time.Sleep(20 * time.Millisecond)
	}
	writers.Wait()
	maxMB := float64(memoryMB)
	if raceEnabled {
		maxMB *= 8 // the race detector uses additional memory
	}
	if peak > maxMB {
		t.Errorf("%.1f MB, want at most %.0f", peak, maxMB)
	}
}

// floodWithWrites sends several writes at once on one connection, again and again as fast as it accepts them, and reads
// no answers, until end.
func floodWithWrites(address string, traceIDBase uint64, bodyBytes int, end time.Time) {
	const atOnce = 8
	body := make([]byte, bodyBytes)
	for id := uint64(1); time.Now().Before(end); {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(end)
		for err == nil {
			var requests []byte
			for range atOnce {
				fields := testserver.RequestParams(traceIDBase+id, objectName(int(id)), time.Second)
				requests = append(requests, testserver.Request(id, "order", fields, body)...)
				id++
			}
			_, err = conn.Write(requests)
		}
		_ = conn.Close()
	}
}

// anonymousMB returns the memory of a process that is its own: not the pages of its program's file.
func anonymousMB(t *testing.T, pid int) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		if words := strings.Fields(line); len(words) > 1 && words[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(words[1])
			return float64(kb) / 1024
		}
	}
	t.Fatal("no RssAnon in the status of the process")
	return 0
}
