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
	position string // a file, and a line where there is one
	where    string // the identifier, or the kind of text
	word     string
}

// String gives a finding as compilers print errors.
func (f finding) String() string { return fmt.Sprintf("%s: %s uses %q", f.position, f.where, f.word) }

// checker collects the findings of packages and pages.
type checker struct {
	list     *list
	findings []finding
	packages int // checked
	pages    int // checked
}

// look notes a finding if a text uses a withdrawn word.
func (c *checker) look(path, position, where, text string) {
	if w := c.list.withdrawn(path, text); w != "" {
		c.findings = append(c.findings, finding{position, where, w})
	}
}

// checkTree checks all packages below a directory. Its error is that a file can't be read, or that there is no package.
func (c *checker) checkTree(root string) error {
	before := c.packages
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil || !entry.IsDir():
			return err
		case path != root && strings.HasPrefix(entry.Name(), "."):
			return filepath.SkipDir
		}
		return c.checkPackage(path)
	})
	if err == nil && c.packages == before {
		return fmt.Errorf("%s holds no package", root)
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
		c.look(dir, file, "the file's name", strings.TrimSuffix(filepath.Base(file), ".go"))
		if err := c.checkGoFile(dir, file); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) checkGoFile(dir, file string) error {
	positions := token.NewFileSet()
	syntax, err := parser.ParseFile(positions, file, nil, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(syntax, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.Ident:
			c.look(dir, positions.Position(n.Pos()).String(), n.Name, n.Name)
		case *ast.BasicLit:
			if n.Kind == token.STRING && !c.list.protocol[dir] {
				c.look(dir, positions.Position(n.Pos()).String(), "a string", n.Value)
			}
		case *ast.ImportSpec:
			return false
		}
		return true
	})
	for _, group := range syntax.Comments {
		for _, comment := range group.List {
			c.look(dir, positions.Position(comment.Pos()).String(), "a comment", prose(comment.Text))
		}
	}
	return nil
}

// checkPages checks the pages that a pattern matches. Its error is that one can't be read, or that there is none.
func (c *checker) checkPages(pattern string) error {
	files, err := filepath.Glob(pattern)
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return fmt.Errorf("no page matches %s", pattern)
	}
	for _, file := range files {
		if c.list.excepted[file] {
			continue
		}
		c.pages++
		c.look(file, file, "the page's name", strings.TrimSuffix(filepath.Base(file), ".md"))
		if err := c.checkPage(file); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) checkPage(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	for i, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, codeIndent) {
			continue // output or a command as it was printed
		}
		c.look(file, fmt.Sprintf("%s:%d", file, i+1), "the page", prose(line))
	}
	return nil
}

const codeIndent = "    "

// quoted matches names that are quoted as they stand elsewhere: keys of files, fields of a protocol, targets of links.
var quoted = regexp.MustCompile("`[^`]*`|\"[^\"]*\"|\\]\\([^)]*\\)")

// prose leaves out of a text what it quotes.
func prose(text string) string { return quoted.ReplaceAllString(text, "") }
