package attempts

import (
	"bytes"
	"strconv"

	"threadrun/routing"
)

// AttemptID names one attempt of one request.
type AttemptID struct {
	Request routing.RequestID
	Attempt routing.AttemptNumber
}

// Progress is how far an attempt had come when it ended, and so what can have arrived at the other side.
type Progress uint8

// Progress of an attempt, in the order that it is made.
const (
	NotConnected    Progress = iota // no connection was ever established for it
	NotSent                         // the kernel took none of its bytes
	PartlySent                      // not all of them: no complete request can have arrived
	Sent                            // all of them, and nothing has come back
	ResponseStarted                 // an answer to it, or to another on its connection, had begun
)

var progressNames = [...]string{"not connected", "not sent", "partly sent", "sent", "response started"}

func (p Progress) String() string { return progressNames[p] }

// Error is the error of an attempt that got no answer.
type Error struct {
	Progress Progress
	Err      error // what ended the connection
}

func (e *Error) Error() string { return e.Progress.String() + ": " + e.Err.Error() }

// Unwrap gives what ended the connection.
func (e *Error) Unwrap() error { return e.Err }

// Status is what an answer says.
type Status uint8

// Status of an answer.
const (
	NoAnswer    Status = iota // see Result.Err
	OK                        // Result.Body is the object
	NotModified               // the client's version is current
	NotFound                  // the cache has no copy that will do
	Overloaded                // the cache has no capacity left
	Failed                    // the cache could not answer
	Expired                   // the time budget was over before the request began
	Unknown                   // not an answer that the protocol knows
)

// Result is the end of one attempt. Fields and Body are good within the call only.
type Result struct {
	Status Status
	Fields []byte // "name=value" pairs, separated by commas
	Body   []byte
	Err    *Error // nil, but with NoAnswer
}

// Version is the version tag of the copy that was answered; empty: none.
func (r *Result) Version() []byte { return r.field(fieldVersion) }

// CacheStatus is what the answer says of its way through the caches.
func (r *Result) CacheStatus() routing.CacheStatus {
	return cacheStatuses[string(r.field(fieldCacheStatus))]
}

// GeneratedUnixMillis is when the origin made the copy that was answered, in Unix milliseconds; false: not known.
func (r *Result) GeneratedUnixMillis() (int64, bool) {
	generated, err := strconv.ParseInt(string(r.field(fieldGenerated)), 10, 64)
	return generated, err == nil
}

// field finds the value of a field; nil: there is none.
func (r *Result) field(name string) []byte {
	rest := r.Fields
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte(","))
		if key, value, ok := bytes.Cut(pair, []byte("=")); ok && string(key) == name {
			return value
		}
	}
	return nil
}
