// Command wordcheck reports withdrawn words in Go files and pages: in identifiers, comments, strings and file
// names. .ci/words.txt lists the words and what is checked for them; docs/glossary.md gives the terms to use
// instead. Run it from the root of the repository:
//
//	go run ./tools/wordcheck
package main

import (
	"fmt"
	"os"
)

const listFile = ".ci/words.txt"

func main() {
	findings, err := run(listFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "wordcheck:", err)
		os.Exit(1)
	}
	for _, f := range findings {
		fmt.Println(f)
	}
	if len(findings) > 0 {
		os.Exit(1)
	}
}

// run checks the packages and pages that a list names, and returns the uses of withdrawn words.
func run(path string) ([]finding, error) {
	l, err := readList(path)
	if err != nil {
		return nil, err
	}
	c := checker{list: l}
	for _, dir := range l.trees {
		if err := c.checkTree(dir); err != nil {
			return nil, err
		}
	}
	for _, pattern := range l.pages {
		if err := c.checkPages(pattern); err != nil {
			return nil, err
		}
	}
	if len(c.findings) == 0 {
		fmt.Printf("wordcheck: %d packages and %d pages are free of %d withdrawn words\n",
			c.packages, c.pages, len(l.words))
	}
	return c.findings, nil
}
