// Package operator reads the operator's file, which is JSON with comments and enables features that are off by default.
// It is the only package that names the file's keys, validates their values and applies defaults. Its errors name the
// key and the line. docs/operators-file.md documents every key.
package operator
