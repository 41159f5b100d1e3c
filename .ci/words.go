// Command words refuses withdrawn words in the identifiers and file names of packages that are finished. The words and
// the packages stand in .ci/words.txt; docs/glossary.md gives the terms to use instead. Run from the repository's root:
//
//	go run .ci/words.go
package main

import (
	"bufio"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

const listFile = ".ci/words.txt"

// part matches one word of an identifier in mixed case or of a file name.
var part = regexp.MustCompile(`[A-Z]?[a-z]+`)

// list is what .ci/words.txt says.
type list struct {
	words    map[string]bool
	packages []string
	allowed  map[string][]string // package to words that it may use
}

func main() {
	l, err := read(listFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "words:", err)
		os.Exit(1)
	}
	found := 0
	for _, dir := range l.packages {
		n, err := l.check(dir)
		if err != nil {
			fmt.Fprintln(os.Stderr, "words:", err)
			os.Exit(1)
		}
		found += n
	}
	if found > 0 {
		os.Exit(1)
	}
	fmt.Printf("words: %d packages are free of %d withdrawn words\n", len(l.packages), len(l.words))
}

// read reads the list: lines of "word WORD...", "package DIR" and "allow DIR WORD reason".
func read(path string) (*list, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	l := &list{words: map[string]bool{}, allowed: map[string][]string{}}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		switch {
		case fields[0] == "word" && len(fields) > 1:
			for _, w := range fields[1:] {
				l.words[w] = true
			}
		case fields[0] == "package" && len(fields) == 2:
			l.packages = append(l.packages, fields[1])
		case fields[0] == "allow" && len(fields) > 3:
			l.allowed[fields[1]] = append(l.allowed[fields[1]], fields[2])
		default:
			return nil, fmt.Errorf("%s: unreadable line: %s", path, lines.Text())
		}
	}
	return l, lines.Err()
}

// check prints the withdrawn words of one package and counts them.
func (l *list) check(dir string) (int, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return 0, err
	}
	if len(files) == 0 {
		return 0, fmt.Errorf("%s holds no Go file", dir)
	}
	found := 0
	positions := token.NewFileSet()
	for _, file := range files {
		if w := l.withdrawn(dir, strings.TrimSuffix(filepath.Base(file), ".go")); w != "" {
			fmt.Printf("%s: the file's name uses %q\n", file, w)
			found++
		}
		syntax, err := parser.ParseFile(positions, file, nil, parser.SkipObjectResolution)
		if err != nil {
			return found, err
		}
		ast.Inspect(syntax, func(n ast.Node) bool {
			id, ok := n.(*ast.Ident)
			if !ok {
				return true
			}
			if w := l.withdrawn(dir, id.Name); w != "" {
				fmt.Printf("%s: %s uses %q\n", positions.Position(id.Pos()), id.Name, w)
				found++
			}
			return true
		})
	}
	return found, nil
}

// withdrawn gives the first withdrawn word in a name, or none.
func (l *list) withdrawn(dir, name string) string {
	for _, w := range part.FindAllString(name, -1) {
		w = strings.ToLower(w)
		for _, form := range []string{w, strings.TrimSuffix(w, "s")} {
			if l.words[form] && !slices.Contains(l.allowed[dir], form) {
				return form
			}
		}
	}
	return ""
}
