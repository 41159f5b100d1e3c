package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

// entryCells is the number of cells of an entry in a table of log lines: message, level, fields, meaning and action.
const entryCells = 5

// quotedPattern matches a message or the name of a field in an entry.
var quotedPattern = regexp.MustCompile("`([^`]*)`")

// readPage returns the entries of a page, by message. It returns an error if a message has two entries.
func readPage(path string) (map[string]line, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	entries := map[string]line{}
	for i, textLine := range strings.Split(string(text), "\n") {
		cells := strings.Split(strings.Trim(textLine, "| "), "|")
		if len(cells) != entryCells {
			continue
		}
		message := quotedPattern.FindStringSubmatch(cells[0])
		if message == nil {
			continue // header of a table
		}
		position := fmt.Sprintf("%s:%d", path, i+1)
		if first, ok := entries[message[1]]; ok {
			return nil, fmt.Errorf("%s: second entry for %q, after the one at %s", position, message[1], first.position)
		}
		entry := line{level: strings.TrimSpace(cells[1]), fields: map[string]bool{}, position: position}
		for _, field := range quotedPattern.FindAllStringSubmatch(cells[2], -1) {
			entry.fields[field[1]] = true
		}
		entries[message[1]] = entry
	}
	return entries, nil
}
