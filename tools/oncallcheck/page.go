package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

// An entry of a table of log lines is: message, level, fields, what it means, what to do.
const entryCells = 5

// quoted matches a message or a field's name in an entry.
var quoted = regexp.MustCompile("`([^`]*)`")

// readPage reads the entries of a page, by message.
func readPage(path string) (map[string]line, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	entries := map[string]line{}
	for i, printed := range strings.Split(string(text), "\n") {
		cells := strings.Split(strings.Trim(printed, "| "), "|")
		if len(cells) != entryCells {
			continue
		}
		message := quoted.FindStringSubmatch(cells[0])
		if message == nil {
			continue // a table's head
		}
		position := fmt.Sprintf("%s:%d", path, i+1)
		if earlier, ok := entries[message[1]]; ok {
			return nil, fmt.Errorf("%s: %q has an entry at %s already", position, message[1], earlier.position)
		}
		entry := line{level: strings.TrimSpace(cells[1]), fields: map[string]bool{}, position: position}
		for _, field := range quoted.FindAllStringSubmatch(cells[2], -1) {
			entry.fields[field[1]] = true
		}
		entries[message[1]] = entry
	}
	return entries, nil
}
