package attempts

import (
	"strconv"

	"threadrun/routing"
)

// Fields of an answer.
const (
	fieldVersion     = "etag"
	fieldCacheStatus = "detail"
	fieldGenerated   = "made" // Unix milliseconds
)

// Version is the version tag of the copy that was answered; empty: none.
func (r *Result) Version() []byte { return r.Field(fieldVersion) }

// CacheStatus is what the answer says of its way through the caches.
func (r *Result) CacheStatus() routing.CacheStatus {
	return cacheStatuses[string(r.Field(fieldCacheStatus))]
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

// GeneratedUnixMillis is when the origin made the copy that was answered, in Unix milliseconds; false: not told.
func (r *Result) GeneratedUnixMillis() (int64, bool) {
	generated, err := strconv.ParseInt(string(r.Field(fieldGenerated)), 10, 64)
	return generated, err == nil
}
