// Package operator reads the operator's file: JSON with comments, in which everything that a deployment does not need
// is switched on. It is the one place where the file's keys are named, checked and given defaults. Its errors name the
// key and the line. docs/operators-file.md has every key.
package operator
