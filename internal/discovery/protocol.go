package discovery

import (
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

// Paths, fields and values of the discovery protocol. Outside of this package, they appear only in tests, test servers
// and the simulator.
const (
	pollPath       = "/bulletins?after="
	pollWaitParam  = "&patience=" // in milliseconds
	fieldNewest    = "no"         // of an answer: number of the newest event
	fieldNumber    = "no"         // of an event: its number
	fieldEvents    = "items"
	fieldEndpoints = "roster"
	fieldComplete  = "all"
	fieldTargets   = "targets"
	fieldPurge     = "recall"
	fieldObject    = "item"
	fieldGroup     = "lot"
	fieldIssued    = "issued" // in Unix milliseconds

	fieldName     = "uid"
	fieldAddress  = "endpoint"
	fieldZone     = "az"
	fieldKind     = "model"
	fieldCell     = "pod_group"
	fieldWeight   = "capacity_hint"
	fieldStarted  = "boot_ms" // in Unix milliseconds
	fieldState    = "state"
	stateUp       = "up"
	stateDraining = "draining"
	stateRemoved  = "removed"
)

// Errors of an answer or an event that violates the protocol.
var (
	errNoNumber     = errors.New("answer without a number in '" + fieldNewest + "'")
	errNoTargets    = errors.New("endpoint list without '" + fieldTargets + "'")
	errUnknownEvent = errors.New("event is neither '" + fieldEndpoints + "' nor '" + fieldPurge + "'")
	errNoIssueTime  = errors.New("purge without '" + fieldIssued + "'")
	errNoScope      = errors.New("purge with neither '" + fieldObject + "' nor '" + fieldGroup + "'")
)

// appendPollPath appends the path and query of a poll for the events whose numbers are greater than after. The server
// may hold the poll for wait if there are none yet.
func appendPollPath(b []byte, after int64, wait time.Duration) []byte {
	b = append(b, pollPath...)
	b = strconv.AppendInt(b, after, 10)
	b = append(b, pollWaitParam...)
	return strconv.AppendInt(b, wait.Milliseconds(), 10)
}

// integerField returns the value of a field, and false if the field is missing or not an integer.
func integerField(v *fastjson.Value, field string) (int64, bool) {
	number := v.Get(field)
	if number == nil {
		return 0, false
	}
	n, err := number.Int64()
	return n, err == nil
}
