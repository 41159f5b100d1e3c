package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// list is the content of .ci/words.txt. Each line of the file is empty, a comment that begins with #, or one of:
//
//	word WORD...              words that are withdrawn, with or without a final s
//	tree DIR                  a directory below which all packages are checked
//	page GLOB                 pages that are checked
//	except PAGE REASON        a page that is not checked
//	allow GLOB WORD REASON    a word that packages or pages may use
//	protocol DIR REASON       a package whose strings are not checked: they hold names of a protocol or of a file
type list struct {
	words    map[string]bool
	trees    []string
	pages    []string
	allowed  []exemption
	excepted map[string]bool // pages
	protocol map[string]bool // packages
}

// exemption permits a word in the packages and pages that a pattern matches.
type exemption struct{ pattern, word string }

// readList reads a list. It returns an error that names the first invalid line.
func readList(path string) (*list, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	l := &list{words: map[string]bool{}, excepted: map[string]bool{}, protocol: map[string]bool{}}
	for i, line := range strings.Split(string(text), "\n") {
		if !l.add(strings.Fields(line)) {
			return nil, fmt.Errorf("%s:%d: invalid line: %q", path, i+1, line)
		}
	}
	return l, nil
}

// add adds a line, given as its words separated by spaces, and reports whether it is valid.
func (l *list) add(fields []string) bool {
	if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
		return true
	}
	arguments := fields[1:]
	switch {
	case fields[0] == "word" && len(arguments) > 0:
		for _, w := range arguments {
			l.words[w] = true
		}
	case fields[0] == "tree" && len(arguments) == 1:
		l.trees = append(l.trees, arguments[0])
	case fields[0] == "page" && len(arguments) == 1:
		l.pages = append(l.pages, arguments[0])
	case fields[0] == "except" && len(arguments) > 1:
		l.excepted[arguments[0]] = true
	case fields[0] == "allow" && len(arguments) > 2:
		l.allowed = append(l.allowed, exemption{pattern: arguments[0], word: arguments[1]})
	case fields[0] == "protocol" && len(arguments) > 1:
		l.protocol[arguments[0]] = true
	default:
		return false
	}
	return true
}

// wordPattern matches a word of a text, of an identifier in mixed case or of a file name.
var wordPattern = regexp.MustCompile(`[A-Z]?[a-z]+`)

// firstWithdrawn returns the first withdrawn word in a text that the package or page at path may not use, or "".
func (l *list) firstWithdrawn(path, text string) string {
	for _, w := range wordPattern.FindAllString(text, -1) {
		w = strings.ToLower(w)
		for _, form := range []string{w, strings.TrimSuffix(w, "s")} { // as written, and in the singular
			if l.words[form] && !l.allows(path, form) {
				return form
			}
		}
	}
	return ""
}

// allows reports whether a package or a page may use a word.
func (l *list) allows(path, word string) bool {
	return slices.ContainsFunc(l.allowed, func(e exemption) bool {
		matches, _ := filepath.Match(e.pattern, path) // an invalid pattern allows nothing
		return matches && e.word == word
	})
}
