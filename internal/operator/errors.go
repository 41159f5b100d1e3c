package operator

import "fmt"

// KeyError is one error in the file.
type KeyError struct {
	Line    int
	Key     string // empty if the error concerns no single key
	Problem string
}

// Error returns the line, the key if there is one, and the problem.
func (e *KeyError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Problem)
	}
	return fmt.Sprintf("line %d: key '%s' %s", e.Line, e.Key, e.Problem)
}

// ErrorList contains all errors in a file, sorted by line.
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

// Unwrap returns the individual errors.
func (l *ErrorList) Unwrap() []error {
	errs := make([]error, len(l.Errors))
	for i, e := range l.Errors {
		errs[i] = e
	}
	return errs
}

// KeyError returns an error of a key that can be found only by comparing the file with the deployment. It includes
// the key's line.
func (f *File) KeyError(key, problem string, args ...any) error {
	return &ErrorList{f.path, []*KeyError{{f.lines[key], key, fmt.Sprintf(problem, args...)}}}
}
