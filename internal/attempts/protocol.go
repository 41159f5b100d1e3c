package attempts

import (
	"strconv"

	"threadrun/internal/clock"
	"threadrun/internal/resp"
	"threadrun/routing"
)

// Names of the cache protocol. The rest of the router does not use them.
const (
	commandGet     = "GET"
	commandCancel  = "DROP" // cancels the request with the given id
	commandPing    = "PING"
	pingReply      = "well"  // second element of the response to a PING; the first is the tag
	livenessTag    = "still" // tag of a PING that checks the liveness of an endpoint
	healthCheckTag = "probe" // prefix of the tag of a health check's PING; the number of the check follows

	// Fields of a request.
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

	// Fields of a response.
	fieldVersion     = "etag"
	fieldCacheStatus = "detail"
	fieldCreated     = "made" // in Unix milliseconds

	// Flags of a request, the values in fieldFlags.
	flagJoinFill             = "share"
	flagOnlyIfCached         = "peek"
	flagStaleWhileRevalidate = "swr"
)

var statuses = map[string]Status{
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
	maxElementSize      = 260_000 // maximum size of an element of a response, in bytes
	maxResponseElements = 4       // maximum number of elements: id, status, fields, body
)

// ID is the id of an object, or the id of a request, by which its response is recognized.
type ID = [16]byte

// Request is a request to a cache.
type Request struct {
	Class                string
	ID                   ID
	Object               ID
	Part                 int            // number of the part of the object
	Budget               routing.Micros // time left until the deadline
	Source               string         // name of the fill source; empty: no fill
	Rank                 int            // retention rank of a filled copy; 0: not sent
	MaxAge               routing.Micros // maximum accepted age of a copy; 0: the cache uses the class's lifetime
	JoinFill             bool           // wait for a fill of the object that is already running
	OnlyIfCached         bool           // the fill source uses its own copies only and fetches nothing
	StaleWhileRevalidate bool           // the cache may serve a stale copy while it fetches a new one
	CachedVersion        []byte         // version of the client's copy; empty: none
	IdempotencyKey       []byte         // key by which the cache drops repeated requests; empty: none
}

// AppendRequest appends an encoded request up to its body. The caller must send the body, of bodySize bytes, and a
// line end after it. Times are rounded down to milliseconds, but to at least 1 ms, because 0 has another meaning.
// AppendRequest uses scratch as temporary space, and returns it for reuse.
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

// roundedMillis rounds a time down to milliseconds, but to at least 1.
func roundedMillis(t routing.Micros) int64 { return max(int64(t/clock.Millisecond), 1) }

// encodeCommand encodes a command with one argument.
func encodeCommand[T string | []byte](name string, argument T) []byte {
	b := resp.AppendArray(nil, 2)
	b = resp.AppendWord(b, name)
	return resp.AppendWord(b, argument)
}

// parseStatus returns the status of a response with the given number of elements. OK and NotModified are valid
// only for a response with a body element, which may be empty.
func parseStatus(word []byte, elements int) Status {
	status, known := statuses[string(word)]
	needsBody := status == OK || status == NotModified
	if !known || needsBody && elements != maxResponseElements {
		return Unknown
	}
	return status
}
