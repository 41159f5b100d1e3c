package operator

import "fmt"

// KeyError is one error in the file.
type KeyError struct {
	Line    int    // counts from 1
	Key     string // full key, such as "members.on"; empty if the error concerns no single key
	Problem string // continues a sentence that begins with the key
}

// Error returns the line, the key if it is not empty, and the problem.
func (e *KeyError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Problem)
	}
	return fmt.Sprintf("line %d: key '%s' %s", e.Line, e.Key, e.Problem)
}

// ErrorList contains all errors in a file, sorted by line. It is not empty.
type ErrorList struct {
	Path   string
	Errors []*KeyError
}

// Error returns the first error and the number of the others, in one line.
func (l *ErrorList) Error() string {
	more := ""
	if n := len(l.Errors) - 1; n > 0 {
		more = fmt.Sprintf(" (and %d more)", n)
	}
	return fmt.Sprintf("operator's file %s, %v%s", l.Path, l.Errors[0], more)
}

// Unwrap returns the individual errors, for errors.Is and errors.As.
func (l *ErrorList) Unwrap() []error {
	errs := make([]error, len(l.Errors))
	for i, e := range l.Errors {
		errs[i] = e
	}
	return errs
}

// KeyError returns an *ErrorList with one error of a key. Callers use it for errors that are found only when the file
// is applied to a deployment, after Read has accepted it. Line is 0 for a key whose line Read has not recorded.
func (f *File) KeyError(key, problem string, args ...any) error {
	return &ErrorList{f.path, []*KeyError{{f.lines[key], key, fmt.Sprintf(problem, args...)}}}
}
