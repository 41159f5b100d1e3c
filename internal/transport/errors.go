package transport

import "errors"

// ErrPanic is the error of a connection whose callback panicked.
var ErrPanic = errors.New("panic in a callback")

var errConnectTimeout = errors.New("connect timed out")

// RemoteError reports that a connection was ended by the peer or by the network.
type RemoteError struct{ Err error }

// Error returns the network's error with a prefix.
func (e *RemoteError) Error() string { return "connection ended: " + e.Err.Error() }

// Unwrap returns the network's error.
func (e *RemoteError) Unwrap() error { return e.Err }

// IsLocalError reports whether a connection was closed by this side because of what it received.
func IsLocalError(err error) bool {
	var remote *RemoteError
	return !errors.As(err, &remote)
}
