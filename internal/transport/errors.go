package transport

import "errors"

// ErrPanic ends a connection whose callback panicked.
var ErrPanic = errors.New("panic in a callback")

var errConnectTimeout = errors.New("no connection in time")

// RemoteError is the end of a connection by the peer or on the way to it.
type RemoteError struct{ Err error }

func (e *RemoteError) Error() string { return "connection ended: " + e.Err.Error() }

// Unwrap gives what the network said.
func (e *RemoteError) Unwrap() error { return e.Err }

// IsLocalError tells whether a connection was ended on this side, for what it received.
func IsLocalError(err error) bool {
	var remote *RemoteError
	return !errors.As(err, &remote)
}
