package attempts

import (
	"bytes"
	"strconv"

	"threadrun/routing"
)

// AttemptID identifies one attempt of one request.
type AttemptID struct {
	Request routing.RequestID
	Attempt routing.AttemptNumber
}

// Progress is how far an attempt had progressed when it ended, which limits what can have arrived at the other
// side.
type Progress uint8

// The values of Progress, in the order in which an attempt reaches them.
const (
	NotConnected    Progress = iota // no connection was established for it
	NotSent                         // the kernel accepted none of its bytes
	PartlySent                      // the kernel accepted some of its bytes: no complete request can have arrived
	Sent                            // the kernel accepted all of its bytes, and nothing has come back
	ResponseStarted                 // an answer to it, or to another attempt on its connection, had begun
)

var progressNames = [...]string{"not connected", "not sent", "partly sent", "sent", "response started"}

// String returns a description of the progress for errors.
func (p Progress) String() string { return progressNames[p] }

// Error is the error of an attempt that got no answer.
type Error struct {
	Progress Progress
	Err      error // reason why the connection ended
}

// Error returns the progress and the reason why the connection ended.
func (e *Error) Error() string { return e.Progress.String() + ": " + e.Err.Error() }

// Unwrap returns the reason why the connection ended.
func (e *Error) Unwrap() error { return e.Err }

// Status is the status of an answer.
type Status uint8

// The statuses.
const (
	NoAnswer    Status = iota // there is no answer: see Result.Err
	OK                        // Result.Body contains the object
	NotModified               // the client's version is current
	NotFound                  // the cache has no acceptable copy
	Overloaded                // the cache has no capacity left
	Failed                    // the cache could not answer
	Expired                   // the time budget had expired before the request ran
	Unknown                   // not defined by the protocol
)

// Result is the result of one attempt. Fields and Body are valid only during the call of Handler.AttemptEnded.
type Result struct {
	Status Status
	Fields []byte // "name=value" pairs separated by commas
	Body   []byte
	Err    *Error // nil unless Status is NoAnswer
}

// Version returns the version tag of the copy in the answer, or an empty slice.
func (r *Result) Version() []byte { return r.field(fieldVersion) }

// CacheStatus returns how the cache reports that it obtained the answer.
func (r *Result) CacheStatus() routing.CacheStatus {
	return cacheStatuses[string(r.field(fieldCacheStatus))]
}

// GeneratedUnixMillis returns when the origin generated the copy, in Unix milliseconds, or false if that is
// unknown.
func (r *Result) GeneratedUnixMillis() (int64, bool) {
	generated, err := strconv.ParseInt(string(r.field(fieldGenerated)), 10, 64)
	return generated, err == nil
}

// field returns the value of a field, or nil.
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
