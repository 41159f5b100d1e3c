package transport

import "errors"

// ErrPanic is the error of a connection whose callback panicked.
var ErrPanic = errors.New("panic in a callback")

var errConnectTimeout = errors.New("connect timed out")

// RemoteError reports that a connection was ended by the peer or the network, or could not be established.
type RemoteError struct{ Err error }

// Error returns the message of the network's error with a prefix.
func (e *RemoteError) Error() string { return "connection ended: " + e.Err.Error() }

// Unwrap returns the network's error.
func (e *RemoteError) Unwrap() error { return e.Err }

// IsLocalError reports whether this router closed the connection, for example because it received invalid bytes.
// It returns false for a RemoteError.
func IsLocalError(err error) bool {
	var remote *RemoteError
	return !errors.As(err, &remote)
}
