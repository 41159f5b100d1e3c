package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// finding is one use of a withdrawn word.
type finding struct {
	position string // file, with line and column in Go files or line in pages
	where    string // the identifier, or the kind of text
	word     string
}

// String formats a finding like a compiler's error.
func (f finding) String() string { return fmt.Sprintf("%s: %s uses %q", f.position, f.where, f.word) }

// checker collects the findings of packages and pages.
type checker struct {
	list     *list
	findings []finding
	packages int // number of packages checked
	pages    int // number of pages checked
}

// checkText adds a finding if a text uses a withdrawn word. path is the package or page whose exemptions apply.
func (c *checker) checkText(path, position, where, text string) {
	if w := c.list.firstWithdrawn(path, text); w != "" {
		c.findings = append(c.findings, finding{position, where, w})
	}
}

// checkTree checks all packages below a directory, except in directories whose names begin with a dot. It returns an
// error if a file cannot be read or there is no package.
func (c *checker) checkTree(root string) error {
	packagesBefore := c.packages
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil || !entry.IsDir():
			return err
		case path != root && strings.HasPrefix(entry.Name(), "."):
			return filepath.SkipDir
		}
		return c.checkPackage(path)
	})
	if err == nil && c.packages == packagesBefore {
		return fmt.Errorf("directory %q contains no package", root)
	}
	return err
}

// checkPackage checks the Go files of a directory, if there are any.
func (c *checker) checkPackage(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil || len(files) == 0 {
		return err
	}
	c.packages++
	for _, file := range files {
		c.checkText(dir, file, "the file's name", strings.TrimSuffix(filepath.Base(file), ".go"))
		if err := c.checkGoFile(dir, file); err != nil {
			return err
		}
	}
	return nil
}

// checkGoFile checks the identifiers, strings and comments of a file. Import paths are not checked.
func (c *checker) checkGoFile(dir, file string) error {
	positions := token.NewFileSet()
	syntax, err := parser.ParseFile(positions, file, nil, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(syntax, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.Ident:
			c.checkText(dir, positions.Position(n.Pos()).String(), n.Name, n.Name)
		case *ast.BasicLit:
			if n.Kind == token.STRING && !c.list.protocol[dir] {
				c.checkText(dir, positions.Position(n.Pos()).String(), "a string", n.Value)
			}
		case *ast.ImportSpec:
			return false
		}
		return true
	})
	for _, group := range syntax.Comments {
		for _, comment := range group.List {
			c.checkText(dir, positions.Position(comment.Pos()).String(), "a comment", stripQuoted(comment.Text))
		}
	}
	return nil
}

// checkPages checks the pages that a pattern matches. It returns an error if a page cannot be read or there is none.
func (c *checker) checkPages(pattern string) error {
	files, err := filepath.Glob(pattern)
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return fmt.Errorf("no page matches the pattern %q", pattern)
	}
	for _, file := range files {
		if c.list.excepted[file] {
			continue
		}
		c.pages++
		c.checkText(file, file, "the page's name", strings.TrimSuffix(filepath.Base(file), ".md"))
		if err := c.checkPage(file); err != nil {
			return err
		}
	}
	return nil
}

// checkPage checks the lines of a page, except for indented code and quoted text.
func (c *checker) checkPage(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	for i, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, codeIndent) {
			continue // a command or its output, which is quoted unchanged
		}
		c.checkText(file, fmt.Sprintf("%s:%d", file, i+1), "the page", stripQuoted(line))
	}
	return nil
}

// codeIndent is the indentation of code blocks in pages (Markdown).
const codeIndent = "    "

// quotedPattern matches quoted text, such as keys of files and fields of a protocol, and the targets of links.
var quotedPattern = regexp.MustCompile("`[^`]*`|\"[^\"]*\"|\\]\\([^)]*\\)")

// stripQuoted removes quoted text and the targets of links from a text.
func stripQuoted(text string) string { return quotedPattern.ReplaceAllString(text, "") }
