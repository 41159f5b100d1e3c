package deployment

import (
	"errors"
	"io/fs"
	"os"
	"strings"
	"testing"

	"threadrun/internal/testserver"
)

// An invalid value must be found by Open or Validate, before a router uses any of the file. The error must be one line
// that names the file and the key.
func TestErrorsNameTheKey(t *testing.T) {
	discovery, err := testserver.StartDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	good := testserver.Configuration("127.0.0.1:0", discovery)
	read := func(text string) error {
		path, err := testserver.WriteConfig(t.TempDir(), text)
		if err != nil {
			t.Fatal(err)
		}
		f, err := Open(path, func(string) string { return "" })
		if err != nil {
			return err
		}
		_, err = f.Validate()
		return err
	}
	if err := read(good); err != nil {
		t.Fatalf("valid configuration rejected: %v", err)
	}
	for _, c := range []struct{ old, replacement, key string }{
		{`"listen":"127.0.0.1:0"`, `"listen":"nowhere"`, "'listen'"},
		{`"seed":"5eed"`, `"seed":5`, "'seed'"},
		{`"bulletin"`, `"board"`, "'bulletin'"},
		{`"settings"`, `"setting"`, "'settings'"},
		{`"known"`, `"now"`, "'known'"},
		{`"known":{"no"`, `"known":{"on"`, "'known.no'"},
		{`"sockets":512`, `"sockets":3`, "'limits.sockets'"},
		{`"wait_ms":400`, `"wait_ms":"long"`, "'polls.wait_ms'"},
		{`"connect_timeout":300`, `"connect_timeout":0`, "'limits.connect_timeout'"},
		{`"aim":300`, `"aim":"soon"`, "'lanes[0].aim'"},
		{`"aim":300,"deadline"`, `"deadline"`, "'lanes[1].aim'"},
		{`"effect":"non_idempotent"`, `"effect":"odd"`, "'lanes[1].effect'"},
		{`"name":"order"`, `"name":"a,b"`, "'lanes[1].name'"},
		{`"az":"branch"`, `"az":"moon"`, "'az'"},
		{`"direct":false`, `"direct":1`, "'extra.direct'"},
		{`"group":"all","value":3`, `"group":"some","value":3`, "'lanes[1].group'"},
		{`"non_idempotent","group":"all","value":3,"window":5000`, `"idempotency_key","group":"all","value":3`,
			"'lanes[1].window'"},
		{`"siblings":"location"`, `"siblings":"near"`, "'extra.siblings'"},
		{`"detail":"hit"`, `"detail":"most"`, "'extra.detail'"},
		{`"tenants":[]`, `"tenants":[],"report":{"how":"by_post"}`, "'report.how'"},
		{`"tenants":[]`, `"tenants":[],"weight_source":"guess"`, "'weight_source'"},
		{`"discovery":"push"`, `"discovery":"pull"`, "'discovery'"},
		{`"kinds":[`, `"kind":[`, "'kinds'"},
		{`"send_cap":6`, `"send_cap":-1`, "'limits.send_cap'"},
		{`}`, ``, "parse"},
	} {
		err := read(strings.Replace(good, c.old, c.replacement, 1))
		if err == nil || !strings.Contains(err.Error(), c.key) || !strings.Contains(err.Error(), "config.json") ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s replaced by %s: error %v, want one line with %s", c.old, c.replacement, err, c.key)
		}
	}
	if _, err := Open("", os.Getenv); !errors.Is(err, ErrNoFile) {
		t.Errorf("empty path: error %v, want %v", err, ErrNoFile)
	}
	if _, err := Open(t.TempDir()+"/none", os.Getenv); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: error %v, want %v", err, fs.ErrNotExist)
	}
}

// Each changed key that takes effect only after a restart must be returned.
func TestRestartKeysAreComplete(t *testing.T) {
	discovery, err := testserver.StartDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	open := func(text string) *File {
		path, err := testserver.WriteConfig(t.TempDir(), text)
		if err != nil {
			t.Fatal(err)
		}
		f, err := Open(path, func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	text := testserver.Configuration("127.0.0.1:0", discovery)
	const replacement = `"seed":"5eee","peers":["127.0.0.1:1"],"peer_listen":"127.0.0.1:1"`
	changed := strings.Replace(text, `"seed":"5eed"`, replacement, 1)
	if got := strings.Join(open(changed).RestartKeys(open(text)), " "); got != "seed peers peer_listen" {
		t.Errorf("keys that need a restart: %q, want \"seed peers peer_listen\"", got)
	}
}
