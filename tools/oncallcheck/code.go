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
	message int      // index of the argument that is the message
	level   string   // as logrus writes it
	fields  []string // fields that the function itself adds
}

// logFunctions contains the functions that write log lines, by their names without package or receiver. Calls whose
// message is not a constant are skipped: they forward a line from another call, where its message is found.
var logFunctions = map[string]logFunction{
	"Info":     {level: "info"},
	"Warn":     {level: "warning"},
	"Error":    {level: "error"},
	"Log":      {level: "info"}, // of packages without I/O (see internal/logging), whose callers write at this level
	"log":      {level: "info"}, // of background/scheduler
	"logPanic": {level: "error", fields: []string{"panic", "stack"}},
	"write":    {message: 2, level: "info", fields: []string{"id", "after_us"}}, // of internal/service's requestLog
}

// routingField is added to all lines of package routing by internal/service.
const routingField = "component"

// skippedDirs are directories under internal that are not part of the router's program.
var skippedDirs = []string{"testserver", "simadapter"}

// readCode returns the log lines in the Go files under the given directories, by message. Tests are skipped.
func readCode(dirs []string) (map[string]line, error) {
	r := codeReader{lines: map[string]line{}, positions: token.NewFileSet()}
	for _, dir := range dirs {
		if err := filepath.WalkDir(dir, r.readEntry); err != nil {
			return nil, err
		}
	}
	return r.lines, nil
}

// codeReader collects log lines from Go files.
type codeReader struct {
	lines     map[string]line // by message
	positions *token.FileSet
}

// readEntry reads the file at path, as a function for filepath.WalkDir.
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

// readFunction adds the log lines that a function writes. inRouting tells whether it belongs to package routing.
func (r *codeReader) readFunction(function *ast.FuncDecl, inRouting bool) {
	ast.Inspect(function, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		logged, ok := logFunctions[method.Sel.Name]
		if !ok || len(call.Args) <= logged.message {
			return true
		}
		fields := fieldsOf(call, function)
		for _, field := range logged.fields {
			fields[field] = true
		}
		if inRouting {
			fields[routingField] = true
		}
		for _, message := range constantsOf(call.Args[logged.message], function) {
			r.add(message, line{logged.level, fields, r.positions.Position(call.Pos()).String()})
		}
		return true
	})
}

// add adds a line. If several calls write the same message, the line has the fields of all of them and the level
// and the position of the first.
func (r *codeReader) add(message string, l line) {
	if existing, ok := r.lines[message]; ok {
		for field := range l.fields {
			existing.fields[field] = true
		}
		return
	}
	r.lines[message] = l
}

// fieldsOf returns the names of the fields that a call writes. They are in the call itself, as in
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

// addFieldOfCall adds the field that a call creates, if it is one of WithError, WithField and the functions of slog.
func addFieldOfCall(call *ast.CallExpr, fields map[string]bool) {
	called, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	if called.Sel.Name == "WithError" {
		fields["error"] = true
		return
	}
	qualifier, ok := called.X.(*ast.Ident)
	if called.Sel.Name != "WithField" && (!ok || qualifier.Name != "slog") || len(call.Args) == 0 {
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

// addFieldsOfVariable adds the fields that a function assigns to a variable, by a map literal or by single keys.
func addFieldsOfVariable(variable string, function *ast.FuncDecl, fields map[string]bool) {
	forEachAssignment(function, func(left, right ast.Expr) {
		switch left := left.(type) {
		case *ast.Ident:
			if literal, ok := right.(*ast.CompositeLit); ok && left.Name == variable {
				addKeys(literal, fields)
			}
		case *ast.IndexExpr:
			if indexed, ok := left.X.(*ast.Ident); ok && indexed.Name == variable {
				if name, ok := stringOf(left.Index); ok {
					fields[name] = true
				}
			}
		}
	})
}

// constantsOf returns the string constants that an expression may evaluate to: a literal, or the literals that the
// function assigns to a variable.
func constantsOf(expression ast.Expr, function *ast.FuncDecl) []string {
	if text, ok := stringOf(expression); ok {
		return []string{text}
	}
	variable, ok := expression.(*ast.Ident)
	if !ok {
		return nil
	}
	var texts []string
	forEachAssignment(function, func(left, right ast.Expr) {
		if assigned, ok := left.(*ast.Ident); ok && assigned.Name == variable.Name {
			if text, ok := stringOf(right); ok {
				texts = append(texts, text)
			}
		}
	})
	return texts
}

// forEachAssignment calls f for each assignment of a value to a variable, including each one in a multiple assignment.
func forEachAssignment(function *ast.FuncDecl, f func(left, right ast.Expr)) {
	ast.Inspect(function, func(n ast.Node) bool {
		if assignment, ok := n.(*ast.AssignStmt); ok && len(assignment.Lhs) == len(assignment.Rhs) {
			for i := range assignment.Lhs {
				f(assignment.Lhs[i], assignment.Rhs[i])
			}
		}
		return true
	})
}

// stringOf returns the value of a string literal, and false for any other expression.
func stringOf(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}
