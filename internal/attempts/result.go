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

// Progress is how far an attempt had progressed when it ended. It bounds what the peer may have received, and so
// whether the request may have run.
type Progress uint8

// The values of Progress, in the order in which an attempt reaches them.
const (
	NotConnected    Progress = iota // no connection was established
	NotSent                         // the kernel accepted none of the request's bytes
	PartlySent                      // the kernel accepted some of them: no complete request can have arrived
	Sent                            // the kernel accepted all of them, and no response had begun
	ResponseStarted                 // a response to this or another attempt on the connection had begun
)

var progressNames = [...]string{"not connected", "not sent", "partly sent", "sent", "response started"}

// String returns the name of the progress, for use in error messages.
func (p Progress) String() string { return progressNames[p] }

// Error is the error of an attempt that got no response.
type Error struct {
	Progress Progress
	Err      error // why the attempt or its connection ended
}

// Error returns the progress and the reason.
func (e *Error) Error() string { return e.Progress.String() + ": " + e.Err.Error() }

// Unwrap returns the reason without the progress.
func (e *Error) Unwrap() error { return e.Err }

// Status is the status of a response.
type Status uint8

// Statuses of a response.
const (
	NoResponse  Status = iota // there is no response: see Result.Err
	OK                        // Result.Body contains the object
	NotModified               // the client's version is current
	NotFound                  // the cache has no acceptable copy
	Overloaded                // the cache has no capacity left
	Failed                    // the cache failed to serve the request
	Expired                   // the time budget had expired before the request ran
	Unknown                   // the protocol does not define the status, or not for this number of elements
)

// Result is the result of one attempt. Fields and Body are valid only during the call of Handler.AttemptEnded.
type Result struct {
	Status Status
	Fields []byte // "name=value" pairs, separated by commas
	Body   []byte
	Err    *Error // nil unless Status is NoResponse
}

// Version returns the version tag of the copy in the response, or an empty slice if the response has none.
func (r *Result) Version() []byte { return r.field(fieldVersion) }

// CacheStatus returns how the cache reports that it obtained the copy or why it failed to, or CacheStatusUnknown
// if the response has no status that the protocol defines.
func (r *Result) CacheStatus() routing.CacheStatus {
	return cacheStatuses[string(r.field(fieldCacheStatus))]
}

// CreatedUnixMillis returns the time at which the origin created the copy, in Unix milliseconds, or false if
// the response does not contain it.
func (r *Result) CreatedUnixMillis() (int64, bool) {
	created, err := strconv.ParseInt(string(r.field(fieldCreated)), 10, 64)
	return created, err == nil
}

// field returns the value of the first field with a name, or nil.
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
