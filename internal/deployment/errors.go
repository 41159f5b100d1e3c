package deployment

import (
	"errors"
	"fmt"
)

var (
	// ErrNoFile means that the environment does not name a configuration file.
	ErrNoFile = errors.New("configuration: RELAY_CONFIG is not set")
	// ErrNoObject means that the file's JSON value is not an object.
	ErrNoObject = errors.New("not a JSON object")
	// ErrNoSettings means that the settings are missing or not an object.
	ErrNoSettings = errors.New("settings: not an object")
)

// KeyError reports a key whose value is missing or invalid.
type KeyError struct {
	Key     string // path of the key from the top of the file or of the settings
	Problem string // a predicate, such as "is missing"
}

// Error returns the key and the problem in one line.
func (e *KeyError) Error() string { return fmt.Sprintf("key '%s' %s", e.Key, e.Problem) }

// FileError reports an error in a configuration file.
type FileError struct {
	Path string
	Err  error
}

// Error returns the file's path and the error in it.
func (e *FileError) Error() string { return fmt.Sprintf("configuration %s: %v", e.Path, e.Err) }

// Unwrap returns the error in the file.
func (e *FileError) Unwrap() error { return e.Err }
