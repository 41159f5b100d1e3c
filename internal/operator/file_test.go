package operator

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// The example file must be valid, enable nothing, and set every key to its default.
func TestExampleFile(t *testing.T) {
	f, err := Open("../../deploy/operator.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	empty, err := Open("")
	if err != nil {
		t.Fatal(err)
	}
	if f.Membership.Enabled || f.Refresh.Enabled || f.HealthChecks.Enabled {
		t.Errorf("the example file enables membership: %v, refresh: %v, health checks: %v; want none", f.Membership.Enabled,
			f.Refresh.Enabled, f.HealthChecks.Enabled)
	}
	if f.Refresh != empty.Refresh || f.HealthChecks != empty.HealthChecks ||
		f.BackgroundBudgets != empty.BackgroundBudgets ||
		f.Membership.Weight != empty.Membership.Weight {
		t.Errorf("the example file differs from the defaults:\n%+v\nwant:\n%+v", f, empty)
	}
	if len(f.RestartKeys(empty)) > 0 {
		t.Errorf("keys of the example file that differ from their defaults: %v", f.RestartKeys(empty))
	}
}

// Each error must name its key and line in one line of text, and a file with an error must not be used at all. A file
// with several errors must report all of them.
func TestErrors(t *testing.T) {
	const (
		firstHalfEnd    = "7fffffffffffffff"
		secondHalfStart = "8000000000000000"
		lowestKey       = "0000000000000000"
		highestKey      = "ffffffffffffffff"
	)
	for _, test := range []struct{ name, text, want string }{
		{"membership without a key file", "{\n \"members\": {\"on\": true}}",
			"line 2: key 'members.on' needs a key file"},
		{"unknown section", "{\n\n \"member\": {}}",
			"line 3: key 'member' is unknown"},
		{"unknown key", "{\"renewing\": {\n \"share\": 3}}",
			"line 2: key 'renewing.share' is unknown"},
		{"integer out of bounds", "{\"renewing\": {\n \"shares\": 0}}",
			"line 2: key 'renewing.shares' is 0, not within 1 to 8192"},
		{"fraction for an integer", "{\"renewing\": {\n \"shares\": 1.5}}",
			"line 2: key 'renewing.shares' is 1.5, not an integer"},
		{"string for a number", "{\"renewing\": {\"spend\": {\n\n\"out\": \"2\"}}}",
			"line 3: key 'renewing.spend.out' is not a number"},
		{"number for a boolean", "{\"probing\": {\"on\": 1}}",
			"line 1: key 'probing.on' is neither true nor false"},
		{"duration out of bounds", "{\"probing\": {\"every_ms\": 1e9}}",
			"key 'probing.every_ms' is 1e+09, not within 50 to 60000"},
		{"host name for an address", "{\"members\": {\"listen\": \"here:1\"}}",
			"key 'members.listen' is \"here:1\", not a numeric address with a port"},
		{"invalid address in an array", "{\"members\": {\"peers\": [\"127.0.0.1:1\",\n\"x\"]}}",
			"line 2: key 'members.peers' is \"x\""},
		{"number in an array of addresses", "{\"members\": {\"peers\": [3]}}",
			"key 'members.peers' is not a string"},
		{"number for an array", "{\"members\": {\"peers\": 3}}",
			"key 'members.peers' is not an array"},
		{"number for an object", "{\"members\": 3}",
			"key 'members' is not an object"},
		{"duplicate section", "{\"members\": {},\n\"members\": {}}",
			"line 2: key 'members' is a duplicate"},
		{"invalid JSON", "{\n\"members\": {]}",
			"line 2: is not JSON with comments"},
		{"array for the file", "[]",
			"is not an object"},
		{"peers and seeds", "{\"members\":{\"peers\":[\"127.0.0.1:1\"],\n\"seeds\":[\"127.0.0.1:1\"]}}",
			"line 2: key 'members.seeds' can't be combined with 'members.peers'"},
		{"seeds without membership", "{\"members\":{\"seeds\":[\"127.0.0.1:1\"]},\n\"probing\":{\"on\":true}}",
			"line 2: key 'probing.on' shares work with peers"},
		{"gap in the shard map", pinnedMapFile(lowestKey, firstHalfEnd, "8000000000000001", highestKey),
			"line 3: key 'shards.pin[1]' is invalid: a gap between ranges, keys 8000000000000000 to 8000000000000000"},
		{"overlap in the shard map", pinnedMapFile(lowestKey, secondHalfStart, secondHalfStart, highestKey),
			"line 3: key 'shards.pin[1]' is invalid: overlapping ranges, keys 8000000000000000 to 8000000000000000"},
		{"shard map without the last key", pinnedMapFile(lowestKey, firstHalfEnd, secondHalfStart, "fffffffffffffffe"),
			"line 3: key 'shards.pin[1]' is invalid: the last keys are not covered, " +
				"keys ffffffffffffffff to ffffffffffffffff"},
		{"ranges out of order", pinnedMapFile(secondHalfStart, highestKey, lowestKey, firstHalfEnd),
			"line 3: key 'shards.pin[1]' is invalid: ranges out of order"},
		{"key of one digit", pinnedMapFile("0", firstHalfEnd, secondHalfStart, highestKey),
			"line 2: key 'shards.pin[0].first' is \"0\", not a key of"},
		{"nonexistent directory", `{"rows": {"dir": "/nowhere/at/all"}}`,
			"key 'rows.dir' is \"/nowhere/at/all\", which is not a directory"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, err := Read("f", []byte(test.text))
			var list *ErrorList
			if f != nil || !errors.As(err, &list) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("file:\n%s\nerror: %v\nwant an *ErrorList with: %s", test.text, err, test.want)
			}
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("the error has more than one line: %v", err)
			}
		})
	}
	_, err := Read("f", []byte(`{"a":1,"b":2,"renewing":{"on":7}}`))
	var list *ErrorList
	if !errors.As(err, &list) || len(list.Errors) != 3 {
		t.Errorf("error %v, want an *ErrorList of 3 errors", err)
	}
}

// Comments and trailing commas must be accepted, and must not shift the line numbers of errors.
func TestComments(t *testing.T) {
	f, err := Read("f", []byte("{ // a\n \"probing\": {/* b */ \"every_ms\": 75.5, \"on\": true,},}"))
	if err != nil || f.HealthChecks.Interval != 75500*time.Microsecond || !f.HealthChecks.Enabled {
		t.Fatalf("read %+v with error %v, want health checks enabled with an interval of 75.5 ms", f, err)
	}
	const want = "line 2: key 'probing.on' is off"
	if err := f.KeyError("probing.on", "is %s", "off"); !strings.Contains(err.Error(), want) {
		t.Errorf("error %v, want %q", err, want)
	}
}

// pinnedMapFile returns a file with a shard map of the ranges a to b and c to d, on lines 2 and 3.
func pinnedMapFile(a, b, c, d string) string {
	return `{"shards": {"pin": [
 {"first": "` + a + `", "last": "` + b + `", "keeper": "127.0.0.1:7001", "standbys": ["127.0.0.1:7002"]},
 {"first": "` + c + `", "last": "` + d + `", "keeper": "127.0.0.1:7002"}]}}`
}

// Owners and replicas of a pinned map must become indexes into a list that contains each address once.
func TestPinnedMap(t *testing.T) {
	text := pinnedMapFile(`0000000000000000`, `7fffffffffffffff`, `8000000000000000`, `ffffffffffffffff`)
	f, err := Read("f", []byte(text))
	if err != nil || len(f.ShardMap.PinnedRanges) != 2 || len(f.ShardMap.PinnedOwners) != 2 ||
		f.ShardMap.PinnedRanges[1].Owner != 1 ||
		f.ShardMap.PinnedRanges[0].Replicas[0] != 1 {
		t.Fatalf("read %+v with error %v, want two ranges of two owners, the second as the replica of the first range "+
			"and the owner of the second", f, err)
	}
}

// All changed keys of the membership that need a restart must be named, not only the first.
func TestRestartKeysAreComplete(t *testing.T) {
	read := func(members string) *File {
		f, err := Read("operator.jsonc", []byte(`{"members": {"key_file": "k", `+members+`}}`))
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	for _, c := range []struct{ before, now, want string }{
		{`"listen": "127.0.0.1:1", "address": "127.0.0.1:1"`, `"on": true, "listen": "127.0.0.1:2", "address": "127.0.0.1:2"`,
			"members.on members.listen members.address"},
		{`"peers": ["127.0.0.1:1"]`, `"peers": ["127.0.0.1:2"]`, "members.peers"},
		{`"peers": ["127.0.0.1:1"]`, `"seeds": ["127.0.0.1:1"]`, "members.peers members.seeds"},
	} {
		if got := strings.Join(read(c.now).RestartKeys(read(c.before)), " "); got != c.want {
			t.Errorf("from %s to %s: keys %q, want %q", c.before, c.now, got, c.want)
		}
	}
}
