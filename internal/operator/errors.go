package operator

import "fmt"

// KeyError is one error of the file.
type KeyError struct {
	Line    int
	Key     string // empty where it concerns no single key
	Problem string
}

func (e *KeyError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Problem)
	}
	return fmt.Sprintf("line %d: key '%s' %s", e.Line, e.Key, e.Problem)
}

// ErrorList holds all errors of a file, by line.
type ErrorList struct {
	Path   string
	Errors []*KeyError
}

// Error gives the first error and the number of the others, in one line.
func (l *ErrorList) Error() string {
	more := ""
	if n := len(l.Errors) - 1; n > 0 {
		more = fmt.Sprintf(" (and %d more)", n)
	}
	return fmt.Sprintf("operator's file %s, %v%s", l.Path, l.Errors[0], more)
}

// Unwrap gives the errors one by one.
func (l *ErrorList) Unwrap() []error {
	errs := make([]error, len(l.Errors))
	for i, e := range l.Errors {
		errs[i] = e
	}
	return errs
}

// KeyError words an error of a key that shows only beside the deployment, with the key's line.
func (f *File) KeyError(key, problem string, args ...any) error {
	return &ErrorList{f.path, []*KeyError{{f.lines[key], key, fmt.Sprintf(problem, args...)}}}
}
