// Command oncallcheck compares the log lines of the router's code with the tables of docs/on-call.md. Each message
// must have an entry there with its level and its fields, and each entry must belong to a message. Run it from
// the root of the repository:
//
//	go run ./tools/oncallcheck
package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
)

const page = "docs/on-call.md"

// codeDirs contains the directories with the code of the router's program.
var codeDirs = []string{"cmd/threadrun", "routing", "cluster", "background", "internal"}

func main() {
	problems, err := check(codeDirs, page)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oncallcheck:", err)
		os.Exit(1)
	}
	for _, problem := range problems {
		fmt.Println(problem)
	}
	if len(problems) > 0 {
		os.Exit(1)
	}
}

// check returns the differences between the code and the page. It returns an error if one of them cannot be read.
func check(dirs []string, page string) ([]string, error) {
	code, err := readCode(dirs)
	if err != nil {
		return nil, err
	}
	entries, err := readPage(page)
	if err != nil {
		return nil, err
	}
	problems := compare(code, entries)
	if len(problems) == 0 {
		fmt.Printf("oncallcheck: %d messages agree with %s\n", len(code), page)
	}
	return problems, nil
}

// line describes the log lines with one message.
type line struct {
	level    string          // as logrus writes it
	fields   map[string]bool // names
	position string          // in the code or on the page
}

// fieldNames returns the names of the fields in alphabetical order.
func (l line) fieldNames() []string { return slices.Sorted(maps.Keys(l.fields)) }

// compare returns the differences between the lines of the code and the entries of the page, both by message.
func compare(code, entries map[string]line) []string {
	var problems []string
	for _, message := range slices.Sorted(maps.Keys(code)) {
		inCode := code[message]
		entry, ok := entries[message]
		switch {
		case !ok:
			problems = append(problems, fmt.Sprintf("%s: no entry for %q", inCode.position, message))
		case !maps.Equal(inCode.fields, entry.fields):
			problems = append(problems, fmt.Sprintf("%s: %q has the fields %v, its entry at %s has %v",
				inCode.position, message, inCode.fieldNames(), entry.position, entry.fieldNames()))
		case inCode.level != entry.level:
			problems = append(problems, fmt.Sprintf("%s: %q has the level %s, its entry at %s has %s",
				inCode.position, message, inCode.level, entry.position, entry.level))
		}
	}
	for _, message := range slices.Sorted(maps.Keys(entries)) {
		if _, ok := code[message]; !ok {
			problems = append(problems, fmt.Sprintf("%s: no code writes %q", entries[message].position, message))
		}
	}
	return problems
}
