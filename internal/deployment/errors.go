package deployment

import (
	"errors"
	"fmt"
)

var (
	// ErrNoFile says that the environment names no configuration.
	ErrNoFile = errors.New("configuration: RELAY_CONFIG names no file")
	// ErrNoObject says that the file holds JSON, but no object.
	ErrNoObject = errors.New("no object")
	// ErrNoSettings says that the settings are missing or no object.
	ErrNoSettings = errors.New("settings: no object")
)

// KeyError is a missing or unusable value.
type KeyError struct {
	Key     string // its path from the top of the file or of the settings
	Problem string // a predicate: "is missing"
}

func (e *KeyError) Error() string { return fmt.Sprintf("key '%s' %s", e.Key, e.Problem) }

// FileError is an error in a file.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("configuration %s: %v", e.Path, e.Err) }

// Unwrap gives what is wrong in the file.
func (e *FileError) Unwrap() error { return e.Err }
