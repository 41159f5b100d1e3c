package main

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

const testCode = `package service

func (s *Server) run(err error) {
	s.log.WithFields(logrus.Fields{"name": 1, "listen": 2}).Info("listening")
	s.log.WithField("keys", 1).WithError(err).Warn("restart needed")
	message := "overload began"
	if err == nil {
		message = "overload ended"
	}
	s.output.Log(message, slog.Float64("bad_share", 1))
	values := logrus.Fields{"id": 1}
	values["zone"] = 2
	s.log.WithFields(values).Error("failed")
	s.output.Log(s.message, slog.Int("passed_on", 1))
	_ = math.Log(2)
}
`

const testPage = "| message | level | fields | means | do |\n| --- | --- | --- | --- | --- |\n" +
	"| `listening` | info | `name`, `listen` address | serves | nothing |\n" +
	"| `restart needed` | warning | `keys`, `error` | a change | `kill` it |\n" +
	"| `overload began` | info | `bad_share` | a full link | wait |\n" +
	"| `overload ended` | info | `bad_share` | it is over | nothing |\n" +
	"| `failed` | error | `id`, `zone` | a fault | report it |\n"

// checkTexts compares a file of code with a page.
func checkTexts(t *testing.T, code, page string) []string {
	t.Helper()
	dir := t.TempDir()
	pageFile := filepath.Join(dir, "page.md")
	for name, text := range map[string]string{filepath.Join(dir, "code.go"): code, pageFile: page} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	problems, err := check([]string{dir}, pageFile)
	if err != nil {
		t.Fatal(err)
	}
	return problems
}

// Each way of writing a message and fields must be found in the code; calls that are not log lines must not be found.
func TestAgreement(t *testing.T) {
	if problems := checkTexts(t, testCode, testPage); problems != nil {
		t.Errorf("problems: %q", problems)
	}
}

// A missing entry, a different field or level, and an entry without code must each be reported.
func TestDifferences(t *testing.T) {
	lines := map[string]line{"a": {"info", map[string]bool{"x": true}, "here"}}
	for _, test := range []struct {
		name    string
		entries map[string]line
		want    []string
	}{
		{"no entry", map[string]line{}, []string{`here: no entry for "a"`}},
		{"field missing", map[string]line{"a": {"info", map[string]bool{}, "there"}},
			[]string{`here: "a" has the fields [x], its entry at there has []`}},
		{"other level", map[string]line{"a": {"error", map[string]bool{"x": true}, "there"}},
			[]string{`here: "a" has the level info, its entry at there has error`}},
		{"no code", map[string]line{"a": {"info", map[string]bool{"x": true}, "there"}, "b": {position: "there"}},
			[]string{`there: no code writes "b"`}},
	} {
		if got := compare(lines, test.entries); !slices.Equal(got, test.want) {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
	}
}
