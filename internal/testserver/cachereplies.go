package testserver

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// creationTimeFormat is the format of the creation time in the body of a copy.
const creationTimeFormat = "15:04:05.000"

// defaultReply answers with a stored copy that is not older than the accepted age, or fills one from the source
// that the request names. If the request has the flag swr (stale while revalidate), a copy older than 4/5 of its
// freshness lifetime is refreshed in the background. Writes are forwarded from source to source until they reach the
// origin.
func (c *Cache) defaultReply(g *CacheRequest) *Reply {
	key := g.Fields["path"] + "/" + g.Fields["blk"]
	freshTime := c.FreshnessLifetime[g.Fields["queue"]]
	maxAge := fieldMillis(g.Fields, "maxage")
	if maxAge == 0 {
		maxAge = freshTime
	}
	time.Sleep(c.ServiceTime)
	c.mu.Lock()
	stored, ok := c.copies[key]
	c.mu.Unlock()
	status := "hit"
	age := time.Since(stored.createdAt)
	isWrite := len(g.Body) > 0
	switch {
	case isWrite && c.IsOrigin:
		return &Reply{Status: "data", Fields: "detail=filled", Body: []byte("done")}
	case ok && (maxAge == 0 || age < maxAge) && !isWrite:
		if freshTime > 0 && age > freshTime {
			status = "stale"
		}
		if freshTime > 0 && age > freshTime*4/5 && strings.Contains(g.Fields["flags"], "swr") {
			refresh := *g
			go c.fill(&refresh, key)
		}
	case c.IsOrigin:
		stored = newCopy(key, time.Now())
	default:
		filled := c.fill(g, key)
		if filled.Status != "data" || isWrite {
			return filled
		}
		stored = copyOf(filled)
		status = "filled"
	}
	fields := fmt.Sprintf("etag=%s,made=%d,detail=%s", stored.tag, stored.createdAt.UnixMilli(), status)
	if g.Fields["have"] == stored.tag {
		return &Reply{Status: "unchanged", Fields: fields}
	}
	return &Reply{Status: "data", Fields: fields, Body: stored.body}
}

// fill fetches a part of an object from the source that a request names. It stores the copy if the request
// specifies a retention rank (keep) or the source is the origin.
func (c *Cache) fill(g *CacheRequest, key string) *Reply {
	source := c.FindSource(g.Fields["src"])
	if source == nil {
		return &Reply{Status: "absent"}
	}
	c.Fills.Record(key, g.Conn)
	fetch := *g
	fetch.Fields = map[string]string{
		"path":   g.Fields["path"],
		"blk":    g.Fields["blk"],
		"maxage": g.Fields["maxage"],
		"queue":  g.Fields["queue"],
		"src":    "origin",
	}
	if strings.Contains(g.Fields["flags"], "peek") { // only if cached: without src, the source cannot fill a miss
		fetch.Fields["src"] = ""
	}
	reply := source.defaultReply(&fetch)
	if reply.Status == "data" && len(g.Body) == 0 && (g.Fields["keep"] != "" || source.IsOrigin) {
		c.mu.Lock()
		c.copies[key] = copyOf(reply)
		c.mu.Unlock()
	}
	return reply
}

// newCopy returns a copy created by the origin at the given time. CreatedBefore reads the time from the body.
func newCopy(key string, now time.Time) storedCopy {
	body := fmt.Sprintf("%s as of %s", key, now.Format(creationTimeFormat))
	tag := fmt.Sprintf("%016x", now.UnixNano()^int64(len(key)))
	return storedCopy{createdAt: now, body: []byte(body), tag: tag}
}

// copyOf returns the copy contained in a reply.
func copyOf(reply *Reply) storedCopy {
	fields := Fields(reply.Fields)
	createdMillis, _ := strconv.ParseInt(fields["made"], 10, 64)
	return storedCopy{createdAt: time.UnixMilli(createdMillis), body: reply.Body, tag: fields["etag"]}
}

// fieldMillis returns the duration in a field that contains milliseconds, or 0 if the field is missing or invalid.
func fieldMillis(fields map[string]string, name string) time.Duration {
	millis, _ := strconv.Atoi(fields[name])
	return time.Duration(millis) * time.Millisecond
}

// CreatedBefore reports whether the origin created the copy in an answer before the given time, to the millisecond. The
// body contains only the time of day, which is taken to be on the local date of at: there must be no midnight between
// the two times.
func CreatedBefore(body string, at time.Time) bool {
	_, timeOfDay, _ := strings.Cut(body, " as of ")
	created, err := time.ParseInLocation(creationTimeFormat, timeOfDay, time.Local)
	year, month, day := at.Date()
	return err == nil && created.AddDate(year, int(month)-1, day-1).Before(at.Truncate(time.Millisecond))
}
