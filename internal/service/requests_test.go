package service

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"threadrun/internal/frontend"
	"threadrun/internal/msgpack"
	"threadrun/internal/testserver"
	"threadrun/routing"
)

// A ready router must answer probes, forward requests with the fields of the cache protocol, report an unchanged
// copy as such, forward bodies, and accept no copies from before a purge.
func TestServesRequests(t *testing.T) {
	b := openTestbed(t, nil)
	defer b.close()
	_, ch := b.client.Send("probe", nil, nil)
	if a := b.wait(ch); !a.Ready {
		t.Fatalf("the probe reports that the router is not ready: %s", describe(a))
	}
	first := b.wait(b.send("page", object, time.Second, nil))
	if first.Error != "" || !strings.HasPrefix(string(first.Body), object+"/0") {
		t.Fatalf("first request: %s; want a body that starts with %q", describe(first), object+"/0")
	}
	g := b.edgeRequests()[0]
	for key, want := range map[string]string{
		"queue": "page", "path": object, "blk": "0", "src": "parent", "flags": "share+swr",
	} {
		if g.Fields[key] != want {
			t.Errorf("field %s is %q, want %q", key, g.Fields[key], want)
		}
	}
	if ms, _ := strconv.Atoi(g.Fields["budget"]); ms < 1 || ms > 1000 || g.ID != fmt.Sprintf("%016x", 1) {
		t.Errorf("id %s, want %016x; budget %d ms, want 1 to 1000 ms", g.ID, 1, ms)
	}
	b.lastTraceID++
	f := testserver.RequestParams(b.lastTraceID, object, time.Second)
	f["ver"] = first.Fields["ver"]
	_, ch = b.client.Send("page", f, nil)
	if a := b.wait(ch); a.Fields["unchanged"] != "1" || len(a.Body) > 0 {
		t.Errorf("request with the version of the client's copy: %s; want field unchanged and no body", describe(a))
	}
	if a := b.wait(b.send("order", object, time.Second, make([]byte, 48000))); string(a.Body) != "done" {
		t.Errorf("a write: %s; want body \"done\"", describe(a))
	}
	// After a purge, older copies must not be used any more.
	purgedAt := time.Now()
	b.discovery.AnnouncePurge(object, purgedAt)
	b.until("a request limits the age of copies to the time since the purge", func() bool {
		b.wait(b.send("page", object, time.Second, nil))
		requests := b.edgeRequests()
		last := requests[0]
		for _, g := range requests {
			if g.ID == fmt.Sprintf("%016x", b.lastTraceID) {
				last = g
			}
		}
		ms, _ := strconv.Atoi(last.Fields["maxage"])
		return ms >= 1 && time.Duration(ms)*time.Millisecond <= time.Since(purgedAt)
	})
	if a := b.wait(b.send("page", object, time.Second, nil)); string(a.Body) == string(first.Body) {
		t.Error("a copy older than the purge was served")
	}
}

// An idempotency key must be forwarded unchanged with each attempt. A request without a key must be forwarded
// without one, and a request whose key is invalid in the cache protocol must be refused.
func TestIdempotencyKeyIsForwarded(t *testing.T) {
	b := openTestbed(t, nil)
	defer b.close()
	for i, key := range []string{"7c1f-9a", ""} {
		f := testserver.RequestParams(uint64(i+1), object, time.Second)
		if key != "" {
			f["nonce"] = key
		}
		_, ch := b.client.Send("order", f, []byte("a write"))
		if a := b.wait(ch); a.Error != "" {
			t.Fatalf("write with key %q: %s; want no error", key, describe(a))
		}
		for _, g := range b.edgeRequests() {
			if got, present := g.Fields["uniq"]; g.ID == f["trace"] && (got != key || present != (key != "")) {
				t.Errorf("key %q was forwarded as %q (present: %v)", key, got, present)
			}
		}
	}
	if n := len(b.edgeRequests()); n < 2 {
		t.Errorf("%d attempts, want at least 2", n)
	}
	f := testserver.RequestParams(9, object, time.Second)
	f["nonce"] = "a,b=c"
	_, ch := b.client.Send("order", f, []byte("a write"))
	if a := b.wait(ch); a.Error != "Fault" {
		t.Errorf("a key that is invalid in a list of fields: %s; want error \"Fault\"", describe(a))
	}
}

// Tenants must be recognized by their names in the settings and passed to the Router, and any other name must
// belong to no tenant.
func TestTenantsByName(t *testing.T) {
	settings := strings.Replace(testserver.Settings, `"tenants":[]`,
		`"over_share_worth":0.1,"tenants":[{"name":"north","quota_rps":1},{"name":"south","quota_rps":2}]`, 1)
	b := openTestbedWith(t, nil, settings)
	defer b.close()
	for name, want := range map[string]routing.TenantID{
		"north": 0, "south": 1, "elsewhere": routing.NoTenant, "": routing.NoTenant,
	} {
		if got := b.server.proxy.Tenant([]byte(name)); got != want {
			t.Errorf("tenant %q has id %d, want %d", name, got, want)
		}
	}
	f := testserver.RequestParams(1, object, time.Second)
	f["customer"] = "south"
	_, ch := b.client.Send("page", f, nil)
	if a := b.wait(ch); a.Error != "" {
		t.Fatalf("request of a tenant: %s; want no error", describe(a))
	}
	var tenants []routing.TenantID
	b.server.engine.Do(func() {
		for _, tenant := range []routing.TenantID{1, routing.NoTenant} {
			tenants = append(tenants, routingRequest(&frontend.Request{Tenant: tenant}).Tenant)
		}
	})
	if tenants[0] != 1 || tenants[1] != routing.NoTenant {
		t.Errorf("tenants passed to the Router: %v, want 1 and %d", tenants, routing.NoTenant)
	}
}

// Answers of 240 kB to several open requests on one connection must arrive complete.
func TestLargeAnswers(t *testing.T) {
	b := openTestbed(t, func(_ *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
		return &testserver.Reply{Status: "data", Body: []byte(strings.Repeat(g.ID, 15000))}
	})
	defer b.close()
	var chans []<-chan *testserver.Answer
	for i := 0; i < 30; i++ {
		chans = append(chans, b.send("page", fmt.Sprintf("%016x", i), 5*time.Second, nil))
	}
	for i, ch := range chans {
		if a := b.wait(ch); string(a.Body) != strings.Repeat(fmt.Sprintf("%016x", i+1), 15000) {
			t.Fatalf("answer %d: error %q and %d bytes, want 240000 bytes of its own id", i, a.Error, len(a.Body))
		}
	}
}

// Another client sends a request, for another object, with the trace id of an open request. It must be refused
// before a cache receives it, because the cache would confuse the two. When the first request has ended, the id
// may be used again.
func TestTraceIDOfAnOpenRequest(t *testing.T) {
	release := make(chan struct{})
	b := openTestbed(t, func(_ *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
		<-release
		return &testserver.Reply{Status: "data", Body: []byte(g.Fields["path"])}
	})
	defer b.close()
	first := b.send("page", object, 5*time.Second, nil)
	b.until("the first request is at a cache", func() bool { return len(b.edgeRequests()) == 1 })
	other := b.connectClient()
	defer other.Close()
	duplicate := testserver.RequestParams(b.lastTraceID, "00000000000000bb", 5*time.Second)
	_, ch := other.Send("page", duplicate, nil)
	if a := b.wait(ch); a.Error != "Fault" {
		t.Errorf("second request with the same trace id: %s; want error \"Fault\"", describe(a))
	}
	close(release)
	if a := b.wait(first); string(a.Body) != object {
		t.Errorf("first request: %s; want its object as body", describe(a))
	}
	if n := len(b.edgeRequests()); n != 1 {
		t.Errorf("%d requests at caches, want only the first", n)
	}
	_, ch = other.Send("page", duplicate, nil)
	if a := b.wait(ch); string(a.Body) != "00000000000000bb" {
		t.Errorf("same trace id after the end of the first request: %s; want its object as body", describe(a))
	}
}

// Clients send invalid requests and invalid messages. Each must fail only its own request, or at worst close its own
// connection, and must cause no attempt.
func TestBadInput(t *testing.T) {
	b := openTestbed(t, answerEmpty)
	defer b.close()
	valid := testserver.RequestParams(1, object, time.Second)
	for name, corrupt := range map[string]func(f map[string]string){
		"trace":               func(f map[string]string) { delete(f, "trace") },
		"short trace":         func(f map[string]string) { f["trace"] = "12" },
		"line ends in entity": func(f map[string]string) { f["entity"] = "0000000000\r\n$1\r\n" },
		"piece":               func(f map[string]string) { f["piece"] = "-1" },
		"lot":                 func(f map[string]string) { f["lot"] = "256" },
		"size":                func(f map[string]string) { f["size"] = "NaN" },
		"patience":            func(f map[string]string) { f["patience"] = "soon" },
		"comma in ver":        func(f map[string]string) { f["ver"] = "a,src=evil" },
		"patience of 0":       func(f map[string]string) { f["patience"] = "0" },
		"negative patience":   func(f map[string]string) { f["patience"] = "-5" },
	} {
		f := map[string]string{}
		for k, v := range valid {
			f[k] = v
		}
		corrupt(f)
		_, ch := b.client.Send("page", f, nil)
		if a := b.wait(ch); a.Error != "Fault" {
			t.Errorf("%s: %s; want error \"Fault\"", name, describe(a))
		}
	}
	_, ch := b.client.Send("cook", valid, nil)
	if a := b.wait(ch); a.Error != "Fault" {
		t.Errorf("an unknown method: %s; want error \"Fault\"", describe(a))
	}
	_, ch = b.client.Send("order", valid, make([]byte, 48001))
	if a := b.wait(ch); a.Error != "Fault" {
		t.Errorf("a body over the limit: %s; want error \"Fault\"", describe(a))
	}
	doubled := msgpack.AppendMap(msgpack.AppendArray(msgpack.AppendStr([]byte{0x94, 0, 99}, "page"), 1), len(valid)+1)
	for k, v := range valid {
		doubled = msgpack.AppendStr(msgpack.AppendStr(doubled, k), v)
	}
	b.client.Write(msgpack.AppendStr(msgpack.AppendStr(doubled, "trace"), valid["trace"]))
	if a := b.wait(b.client.Unexpected); a.ID != 99 || a.Error != "Fault" {
		t.Errorf("a duplicate field: %s to request %d; want error \"Fault\" to request 99", describe(a), a.ID)
	}
	if n := len(b.edgeRequests()); n > 0 {
		t.Errorf("%d attempts for invalid requests, want none", n)
	}
	twice := append(testserver.Request(1, "page", valid, nil), testserver.Request(1, "page", valid, nil)...)
	for name, raw := range map[string]string{
		"not a message": "\x05", "text": "GET / HTTP/1.1\r\n\r\n", "excessive length": "\x94\x00\x01\xdb\xff\xff\xff\xff",
		"nesting": strings.Repeat("\x91", 100), "id of an open request": string(twice)} {
		c := b.connectClient()
		c.Write([]byte(raw))
		select {
		case <-c.Closed():
		case <-time.After(testTimeout):
			t.Errorf("%s: the connection is still open", name)
		}
	}
	b.lastTraceID = 1 // skip trace id 1: the request whose connection was closed may still be open
	if a := b.wait(b.send("page", object, time.Second, nil)); a.Error != "" {
		t.Errorf("valid request after all invalid input: %s; want no error", describe(a))
	}
}

// Requests arrive in chunks of any size, so that a chunk may end within a request or contain several. Each must
// get its own answer or a rejection.
func TestRequestsInAnyChunks(t *testing.T) {
	b := openTestbed(t, func(_ *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
		return &testserver.Reply{Status: "data", Body: []byte(g.ID)}
	})
	defer b.close()
	rapid.Check(t, func(rt *rapid.T) {
		c := b.connectClient()
		defer c.Close()
		var raw []byte
		want := map[uint64]string{}
		for id := uint64(1); id <= 8; id++ {
			b.lastTraceID++
			want[id] = fmt.Sprintf("%016x", b.lastTraceID)
			body := make([]byte, rapid.IntRange(0, 48_000).Draw(rt, "body"))
			fields := testserver.RequestParams(b.lastTraceID, object, 5*time.Second)
			raw = append(raw, testserver.Request(id, "order", fields, body)...)
		}
		for len(raw) > 0 {
			n := rapid.IntRange(1, len(raw)).Draw(rt, "piece")
			c.Write(raw[:n])
			raw = raw[n:]
		}
		for range want {
			if a := b.wait(c.Unexpected); string(a.Body) != want[a.ID] && a.Error != "Shed" {
				rt.Fatalf("request %d: %s; want body %q or error \"Shed\"", a.ID, describe(a), want[a.ID])
			}
		}
	})
}

// A client that does not read its answers must be disconnected before they fill the memory. Idle connections that
// use up the limit must be evicted, so that a new client is served.
func TestSlowReadersAndIdleClients(t *testing.T) {
	b := openTestbed(t, func(*testserver.Cache, *testserver.CacheRequest) *testserver.Reply {
		return &testserver.Reply{Status: "data", Body: make([]byte, 240_000)}
	}, `"pools":{"clients":6,"unread_bytes":1000000}`)
	defer b.close()
	slowReader, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = slowReader.Close() }()
	_ = slowReader.(*net.TCPConn).SetReadBuffer(4096)
	for i := uint64(1); i <= 60; i++ {
		request := testserver.Request(i, "page", testserver.RequestParams(1000+i, object, 2*time.Second), nil)
		if _, err := slowReader.Write(request); err != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	b.until("the client that does not read is disconnected", func() bool {
		return strings.Contains(b.logText(), "client does not read its answers")
	})
	for i := 0; i < 20; i++ {
		c, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	b.until("a new client is served", func() bool {
		c, err := testserver.Connect(b.address)
		if err != nil {
			return false
		}
		defer c.Close()
		_, ch := c.Send("page", testserver.RequestParams(1, object, 2*time.Second), nil)
		select {
		case a := <-ch:
			return len(a.Body) == 240_000
		case <-c.Closed():
			return false
		}
	})
}

// Guards against a timeout out of range that is believed: attempts of clients that state to wait for days would hold
// the caches' capacity for days, even after the clients have left, and every later request would be rejected.
func TestTimeoutIsBoundedByTheClass(t *testing.T) {
	const classTimeout = 2000 // milliseconds; in testserver.Settings
	b := openTestbed(t, answerEmpty)
	defer b.close()
	b.wait(b.send("page", object, 999_999_999*time.Millisecond, nil))
	for _, g := range b.edgeRequests() {
		if budget, err := strconv.Atoi(g.Fields["budget"]); err != nil || budget > classTimeout {
			t.Errorf("a cache got the budget %s, want at most %d", g.Fields["budget"], classTimeout)
		}
	}
}
