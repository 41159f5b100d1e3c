package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// setUp creates files in a temporary directory and changes to that directory.
func setUp(t *testing.T, files map[string]string) {
	t.Helper()
	t.Chdir(t.TempDir())
	for name, text := range files {
		if err := os.MkdirAll(filepath.Dir(name), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// Withdrawn words must be found in names, strings, comments and pages, but not in quoted text, import paths, exempt
// packages and pages, or indented code.
func TestFindings(t *testing.T) {
	const code = "package a\n\nimport _ \"trip\"\n\n// visits is \"keeper\".\nvar lastVisit = \"a trip\"\n"
	for _, test := range []struct {
		name string
		list string
		want []string
	}{
		{"all", "tree .\npage *.md", []string{
			`a/a.go:5:1: a comment uses "visit"`, `a/a.go:6:17: a string uses "trip"`, `a/a.go:6:5: lastVisit uses "visit"`,
			`page.md:1: the page uses "trip"`,
		}},
		{"strings of a protocol", "tree .\nprotocol a its keys", []string{
			`a/a.go:5:1: a comment uses "visit"`, `a/a.go:6:5: lastVisit uses "visit"`,
		}},
		{"a page that is not checked", "page *.md\nexcept page.md it quotes", nil},
		{"allowed", "tree .\nallow [a] visit it is a visit", []string{`a/a.go:6:17: a string uses "trip"`}},
	} {
		t.Run(test.name, func(t *testing.T) {
			setUp(t, map[string]string{
				"list":    "# words\nword visit trip keeper\n" + test.list,
				"a/a.go":  code,
				"page.md": "A trip to `visit`.\n\n    visit\n[page](trip.md)\n",
			})
			findings, err := run("list")
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, f := range findings {
				got = append(got, f.String())
			}
			slices.Sort(got)
			if !slices.Equal(got, test.want) {
				t.Errorf("findings\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(test.want, "\n"))
			}
		})
	}
}

// A list with an invalid line, or with a tree or page that does not exist, must be an error: a check that checks
// nothing must not pass.
func TestFaultyLists(t *testing.T) {
	for _, list := range []string{
		"tree none", "package a", "page none*.md", "except a", "words visit", "allow a visit", "protocol a",
	} {
		setUp(t, map[string]string{"list": list})
		if _, err := run("list"); err == nil {
			t.Errorf("%q is accepted", list)
		}
	}
}
