package attempts

import (
	"strconv"

	"threadrun/internal/clock"
	"threadrun/internal/resp"
	"threadrun/routing"
)

// Names of the cache protocol. They appear nowhere else.
const (
	commandGet    = "GET"
	commandCancel = "DROP"
	commandPing   = "PING"
	pingReply     = "well"
	livenessTag   = "still" // tag of a PING that checks the liveness of a connection
	probeTag      = "probe" // prefix of the tag of a PING for a health check; its number follows

	fieldClass          = "queue"
	fieldObject         = "path"
	fieldPart           = "blk"
	fieldBudget         = "budget" // in milliseconds
	fieldFillSource     = "src"
	fieldRank           = "keep"
	fieldMaxAge         = "maxage" // in milliseconds
	fieldFlags          = "flags"
	fieldIdempotencyKey = "uniq"
	fieldCachedVersion  = "have"

	// Fields of an answer.
	fieldVersion     = "etag"
	fieldCacheStatus = "detail"
	fieldGenerated   = "made" // in Unix milliseconds

	flagJoinFill             = "share"
	flagOnlyIfCached         = "peek"
	flagStaleWhileRevalidate = "swr"
)

var statusWords = map[string]Status{
	"data":      OK,
	"unchanged": NotModified,
	"absent":    NotFound,
	"full":      Overloaded,
	"failed":    Failed,
	"moot":      Expired,
}

var cacheStatuses = map[string]routing.CacheStatus{
	"hit":           routing.Hit,
	"filled":        routing.Filled,
	"via_origin":    routing.FilledFromOrigin,
	"joined":        routing.JoinedFill,
	"stale":         routing.Stale,
	"src_refused":   routing.SourceRejected,
	"src_broke":     routing.SourceConnectionLost,
	"src_lacks":     routing.SourceMiss,
	"no_slot":       routing.CacheBusy,
	"origin_failed": routing.OriginFailed,
}

const (
	maxWord       = 260_000 // in bytes
	responseWords = 4       // id, status, fields, body
)

// ID identifies a request on its connection.
type ID = [16]byte

// Request is a request to a cache.
type Request struct {
	Class                string
	ID                   ID
	Object               ID
	Part                 int            // of the object
	Budget               routing.Micros // time left for the answer
	Source               string         // name of the fill source; empty: no fill
	Rank                 int            // retention rank of a filled copy; 0: not sent
	MaxAge               routing.Micros // greatest accepted age of a copy; 0: the cache uses the class's lifetime
	JoinFill             bool           // wait for a fill that is already running
	OnlyIfCached         bool
	StaleWhileRevalidate bool
	CachedVersion        []byte // version of the client's copy
	IdempotencyKey       []byte // key by which the cache drops repeats
}

// AppendRequest appends an encoded request up to its body. The body, of bodySize bytes, and a line end must follow.
// Times are rounded down to milliseconds, but to at least 1, because 0 has another meaning. AppendRequest uses
// scratch as temporary space and returns it for reuse.
func AppendRequest(b []byte, r *Request, bodySize int, scratch []byte) (request, reusable []byte) {
	fields := appendFields(scratch[:0], r)
	b = resp.AppendArray(b, 4)
	b = resp.AppendWord(b, commandGet)
	b = resp.AppendWord(b, r.ID[:])
	b = resp.AppendWord(b, fields)
	return resp.AppendHead(b, bodySize), fields
}

func appendFields(f []byte, r *Request) []byte {
	f = appendField(f, fieldClass, r.Class)
	f = appendField(f, fieldObject, r.Object[:])
	f = appendNumber(f, fieldPart, int64(r.Part))
	f = appendNumber(f, fieldBudget, roundedMillis(r.Budget))
	if r.Source != "" {
		f = appendField(f, fieldFillSource, r.Source)
	}
	if r.Rank > 0 {
		f = appendNumber(f, fieldRank, int64(r.Rank))
	}
	if r.MaxAge > 0 {
		f = appendNumber(f, fieldMaxAge, roundedMillis(r.MaxAge))
	}
	f = appendFlags(f, r)
	if len(r.IdempotencyKey) > 0 {
		f = appendField(f, fieldIdempotencyKey, r.IdempotencyKey)
	}
	if len(r.CachedVersion) > 0 {
		f = appendField(f, fieldCachedVersion, r.CachedVersion)
	}
	return f
}

// appendFlags appends the flags that are set, joined by a plus sign.
func appendFlags(f []byte, r *Request) []byte {
	flags := [...]struct {
		set  bool
		name string
	}{
		{r.JoinFill, flagJoinFill},
		{r.OnlyIfCached, flagOnlyIfCached},
		{r.StaleWhileRevalidate, flagStaleWhileRevalidate},
	}
	first := true
	for _, flag := range flags {
		switch {
		case !flag.set:
		case first:
			f = appendField(f, fieldFlags, flag.name)
			first = false
		default:
			f = append(f, '+')
			f = append(f, flag.name...)
		}
	}
	return f
}

func appendField[T string | []byte](f []byte, name string, value T) []byte {
	f = appendFieldName(f, name)
	return append(f, value...)
}

func appendNumber(f []byte, name string, value int64) []byte {
	f = appendFieldName(f, name)
	return strconv.AppendInt(f, value, 10)
}

func appendFieldName(f []byte, name string) []byte {
	if len(f) > 0 {
		f = append(f, ',')
	}
	f = append(f, name...)
	return append(f, '=')
}

func roundedMillis(t routing.Micros) int64 { return max(int64(t/clock.Millisecond), 1) }

// command returns an encoded command with one argument.
func command[T string | []byte](name string, argument T) []byte {
	b := resp.AppendArray(nil, 2)
	b = resp.AppendWord(b, name)
	return resp.AppendWord(b, argument)
}

// parseStatus returns the status of an answer with the given number of words. OK and NotModified are valid only for
// an answer with a body.
func parseStatus(word []byte, words int) Status {
	status, known := statusWords[string(word)]
	needsBody := status == OK || status == NotModified
	if !known || needsBody && words != responseWords {
		return Unknown
	}
	return status
}
