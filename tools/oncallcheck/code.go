package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// logFunction is a function or method that writes a log line.
type logFunction struct {
	message int      // index of the argument with the message
	level   string   // as logrus writes it
	fields  []string // that the function itself adds
}

// logFunctions are known by their names. Calls whose message is not a constant are skipped: they forward a line that is
// found at its origin.
var logFunctions = map[string]logFunction{
	"Info":     {level: "info"},
	"Warn":     {level: "warning"},
	"Error":    {level: "error"},
	"Log":      {level: "info"}, // of the cores; internal/logging's callers write them at this level
	"log":      {level: "info"}, // of background/scheduler
	"logPanic": {level: "error", fields: []string{"panic", "stack"}},
	"write":    {message: 2, level: "info", fields: []string{"id", "after_us"}}, // of internal/service's requestLog
}

// routingField is added to all lines of package routing by internal/service.
const routingField = "component"

// skippedDirs are under internal, but not part of the router's program.
var skippedDirs = []string{"testserver", "simadapter"}

// readCode finds the log lines in the Go files under directories, by message.
func readCode(dirs []string) (map[string]line, error) {
	r := codeReader{lines: map[string]line{}, positions: token.NewFileSet()}
	for _, dir := range dirs {
		if err := filepath.WalkDir(dir, r.readEntry); err != nil {
			return nil, err
		}
	}
	return r.lines, nil
}

type codeReader struct {
	lines     map[string]line
	positions *token.FileSet
}

func (r *codeReader) readEntry(path string, entry fs.DirEntry, err error) error {
	if err != nil {
		return err
	}
	if entry.IsDir() {
		if slices.Contains(skippedDirs, entry.Name()) {
			return filepath.SkipDir
		}
		return nil
	}
	if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
		return nil
	}
	file, err := parser.ParseFile(r.positions, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok && function.Body != nil {
			r.readFunction(function, strings.HasPrefix(path, "routing"))
		}
	}
	return nil
}

func (r *codeReader) readFunction(function *ast.FuncDecl, ofRouting bool) {
	ast.Inspect(function, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		writes, ok := logFunctions[method.Sel.Name]
		if !ok || len(call.Args) <= writes.message {
			return true
		}
		fields := fieldsOf(call, function)
		for _, field := range writes.fields {
			fields[field] = true
		}
		if ofRouting {
			fields[routingField] = true
		}
		for _, message := range constantsOf(call.Args[writes.message], function) {
			r.add(message, line{writes.level, fields, r.positions.Position(call.Pos()).String()})
		}
		return true
	})
}

// add notes a line. Where several places write the same message, the fields of all of them count.
func (r *codeReader) add(message string, l line) {
	if earlier, ok := r.lines[message]; ok {
		for field := range l.fields {
			earlier.fields[field] = true
		}
		return
	}
	r.lines[message] = l
}

// fieldsOf finds the names of the fields that a call writes. They stand in the call itself, as in
// log.WithField("a", 1).WithError(err).Info("...") and Log("...", slog.Int("a", 1)), or in a variable that it uses.
func fieldsOf(call *ast.CallExpr, function *ast.FuncDecl) map[string]bool {
	fields := map[string]bool{}
	ast.Inspect(call, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			addFieldOfCall(n, fields)
		case *ast.CompositeLit:
			addKeys(n, fields)
		case *ast.Ident:
			addFieldsOfVariable(n.Name, function, fields)
		}
		return true
	})
	return fields
}

// addFieldOfCall adds the field of a call that makes one.
func addFieldOfCall(call *ast.CallExpr, fields map[string]bool) {
	made, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	if made.Sel.Name == "WithError" {
		fields["error"] = true
		return
	}
	owner, ok := made.X.(*ast.Ident)
	if made.Sel.Name != "WithField" && (!ok || owner.Name != "slog") || len(call.Args) == 0 {
		return
	}
	if name, ok := stringOf(call.Args[0]); ok {
		fields[name] = true
	}
}

// addKeys adds the keys of a map literal.
func addKeys(literal *ast.CompositeLit, fields map[string]bool) {
	for _, element := range literal.Elts {
		if pair, ok := element.(*ast.KeyValueExpr); ok {
			if name, ok := stringOf(pair.Key); ok {
				fields[name] = true
			}
		}
	}
}

// addFieldsOfVariable adds the fields that a function assigns to a variable: by a map literal, or one by one.
func addFieldsOfVariable(variable string, function *ast.FuncDecl, fields map[string]bool) {
	eachAssignment(function, func(left, right ast.Expr) {
		switch left := left.(type) {
		case *ast.Ident:
			if literal, ok := right.(*ast.CompositeLit); ok && left.Name == variable {
				addKeys(literal, fields)
			}
		case *ast.IndexExpr:
			if owner, ok := left.X.(*ast.Ident); ok && owner.Name == variable {
				if name, ok := stringOf(left.Index); ok {
					fields[name] = true
				}
			}
		}
	})
}

// constantsOf finds the strings that an expression may be: a literal, or those that the function assigns to a variable.
func constantsOf(expression ast.Expr, function *ast.FuncDecl) []string {
	if text, ok := stringOf(expression); ok {
		return []string{text}
	}
	variable, ok := expression.(*ast.Ident)
	if !ok {
		return nil
	}
	var texts []string
	eachAssignment(function, func(left, right ast.Expr) {
		if assigned, ok := left.(*ast.Ident); ok && assigned.Name == variable.Name {
			if text, ok := stringOf(right); ok {
				texts = append(texts, text)
			}
		}
	})
	return texts
}

// eachAssignment calls f for each assignment of one value to one variable.
func eachAssignment(function *ast.FuncDecl, f func(left, right ast.Expr)) {
	ast.Inspect(function, func(n ast.Node) bool {
		if assignment, ok := n.(*ast.AssignStmt); ok && len(assignment.Lhs) == len(assignment.Rhs) {
			for i := range assignment.Lhs {
				f(assignment.Lhs[i], assignment.Rhs[i])
			}
		}
		return true
	})
}

// stringOf gives the value of a string literal.
func stringOf(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}
