package simadapter

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"threadrun/internal/deployment"
	"threadrun/internal/testserver"
)

// group returns a batch with events of instance 7 at 1000 ms.
func group(events string) string {
	return `{"ts":1000,"groups":[{"router":7,"happened":[` + events + "]}]}\n"
}

// run returns the lines of the answers to the given batches.
func run(t *testing.T, batches ...string) []string {
	t.Helper()
	out := &bytes.Buffer{}
	err := New(strings.NewReader(strings.Join(batches, "")), out).Run()
	if err != nil {
		t.Fatal(err)
	}
	return strings.SplitAfter(out.String(), "\n")
}

// startEvents returns the events that define three endpoints, and create an instance and pass them to it.
func startEvents(settings string) string {
	return `{"op":"pool","page":0,"lines":[{"server":"c0","type":"cache","zone":"branch","scale":1},` +
		`{"server":"p0","type":"parent","zone":"hub"},{"server":"o","type":"origin","zone":"hub"}]},` +
		`{"op":"new_instance","salt":1,"info":` + strings.ReplaceAll(settings, "\n", " ") + `},` +
		`{"op":"directory_update","kind":"full","page":0}`
}

// Each event must be answered with the simulator's names and units, byte for byte. An event with an unknown class,
// request or operation must cause no action.
func TestWire(t *testing.T) {
	const acceptEvent = `{"op":"accept","txn":"t1","service":"page","item":"a","owner":"","expires_in":2000,"size_kb":30}`
	for _, c := range []struct {
		name, events, actions string
	}{
		{"start", startEvents(testserver.Settings), `{"op":"sleep","instant":1250,"ctx":"wake"}`},
		{"request", acceptEvent, `{"op":"get","txn":"t1","server":"c0","miss_from":"p0","until":2996,"rank":2,` +
			`"age_span":60000,"switches":9}`},
		{"connect failed", acceptEvent + `,{"op":"closed_attempt","txn":"t1","trial":0,"reason":"no_route","elapsed":10}`,
			`{"op":"get","txn":"t1","server":"c0","miss_from":"p0","until":2996,"rank":2,"age_span":60000,` +
				`"switches":9},{"op":"journal_line","message":"endpoint ejected endpoint=0 duration_ms=300 ` +
				`ejections=1"},{"op":"decline","txn":"t1"}`},
		{"unknown class, request and operation", `{"op":"accept","txn":"t2","service":"unknown","expires_in":2000},` +
			`{"op":"expired","txn":"t9"},{"op":"unknown"}`, ""},
	} {
		batches := []string{group(startEvents(testserver.Settings))}
		if c.name != "start" {
			batches = append(batches, group(c.events))
		}
		lines := run(t, batches...)
		got, want := lines[len(batches)-1], `{"groups":[{"router":7,"actions":[`+c.actions+"]}]}\n"
		if c.actions == "" {
			want = `{"groups":[]}` + "\n"
		}
		if got != want {
			t.Errorf("%s: %s, want %s", c.name, got, want)
		}
	}
}

// Invalid batches, and missing or invalid settings, must end the run with an error.
func TestFaultyInput(t *testing.T) {
	settings := strings.Replace(testserver.Settings, `"az":"branch"`, `"az":"nowhere"`, 1)
	for name, input := range map[string]string{
		"no JSON":         "{\n",
		"no settings":     group(`{"op":"new_instance"}`),
		"faulty settings": group(startEvents(settings)),
	} {
		err := New(strings.NewReader(input), &bytes.Buffer{}).Run()
		if err == nil {
			t.Errorf("%s: no error", name)
		}
		if name == "no settings" && !errors.Is(err, deployment.ErrNoSettings) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
