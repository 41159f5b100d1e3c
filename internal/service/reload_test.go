package service

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"threadrun/internal/deployment"
	"threadrun/internal/testserver"
)

// numbersRestarted is the message that the watch logs when it starts over because the discovery server's event
// numbers have restarted.
const numbersRestarted = "discovery: event numbers restarted"

// Files are reloaded while requests are open. An invalid file must change nothing, and the error must name its
// key. With a valid file that moves the discovery server, the watch must continue at the new address after its
// last event: it must neither start over nor stay at the old address.
func TestReload(t *testing.T) {
	b := openTestbed(t, func(*testserver.Cache, *testserver.CacheRequest) *testserver.Reply {
		time.Sleep(50 * time.Millisecond)
		return &testserver.Reply{Status: "data", Body: []byte("here")}
	})
	defer b.close()
	next, err := testserver.StartDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var after []string // event numbers after which the new address was polled
	next.Intercept = func(_ http.ResponseWriter, r *http.Request, _ int) bool {
		mu.Lock()
		defer mu.Unlock()
		after = append(after, r.URL.Query().Get("after"))
		return false
	}
	next.AnnounceEndpoints(true, b.listLine("edge-1", "up"), b.listLine("edge-2", "up"))
	reload := func(from *testserver.Discovery, old, with string) error {
		text := strings.Replace(testserver.Configuration(b.address, from), old, with, 1)
		path, err := testserver.WriteConfig(t.TempDir(), text)
		if err != nil {
			t.Fatal(err)
		}
		file, err := deployment.Open(path, func(string) string { return "" })
		if err != nil {
			return err
		}
		return b.server.Reload(file, b.server.operatorFile)
	}
	first := b.send("page", object, 2*time.Second, nil)
	// A part of the valid file, the invalid text that replaces it, and the key that the error must name.
	for _, invalid := range [][3]string{{`"wait_ms":400`, `"wait_ms":"long"`, "'polls.wait_ms'"},
		{`"aim":300`, `"aim":"soon"`, "'lanes[0].aim'"}, {`"bulletin":"127`, `"bulletin":"bad`, "'bulletin'"}} {
		if err := reload(next, invalid[0], invalid[1]); err == nil || !strings.Contains(err.Error(), invalid[2]) {
			t.Errorf("file with %s: error %v, want one with %s", invalid[1], err, invalid[2])
		}
	}
	b.discovery.AnnounceEndpoints(false, b.listLine("edge-1", "draining"))
	b.until("the old address is still watched", func() bool { return b.endpointState("edge-1") != 0 })
	next.AnnounceEndpoints(false, b.listLine("edge-1", "draining"))
	for i := 0; i < 3; i++ { // SIGHUP may be repeated
		if err := reload(next, "5eed", "5eee"); err != nil {
			t.Fatal(err)
		}
	}
	next.AnnounceEndpoints(false, b.listLine("edge-1", "up"), b.listLine("edge-2", "removed"))
	b.until("the new address is watched", func() bool { return b.endpointState("edge-1") == 0 })
	if a := b.wait(first); string(a.Body) != "here" {
		t.Errorf("request from before the reloads: %s; want body \"here\"", describe(a))
	}
	if a := b.wait(b.send("page", object, 2*time.Second, nil)); string(a.Body) != "here" {
		t.Errorf("request after the reloads: %s; want body \"here\"", describe(a))
	}
	mu.Lock()
	defer mu.Unlock()
	if after[0] != "2" || strings.Contains(b.logText(), numbersRestarted) {
		t.Errorf("the new address was polled after events %v, want 2 first, and no %q in the log:\n%s", after,
			numbersRestarted, b.logText())
	}
	polls := b.discovery.PollCount()
	time.Sleep(700 * time.Millisecond) // longer than one poll
	if more := b.discovery.PollCount() - polls; more > 0 {
		t.Errorf("%d further polls of the old address, want none", more)
	}
	// Restarted event numbers are logged with numbersRestarted, so the check of the log above can fail.
	restarted, err := testserver.StartDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	restarted.AnnounceEndpoints(true, b.listLine("edge-1", "up"), b.listLine("edge-2", "up"))
	if err := reload(restarted, "5eed", "5eed"); err != nil {
		t.Fatal(err)
	}
	b.until("restarted event numbers are logged", func() bool { return strings.Contains(b.logText(), numbersRestarted) })
}
