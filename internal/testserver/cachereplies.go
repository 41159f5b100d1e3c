package testserver

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// originClock is the format of the creation time in the body of a copy.
const originClock = "15:04:05.000"

// defaultReply answers with a stored copy, or fills one from the source that the request names.
func (c *Cache) defaultReply(g *CacheRequest) *Reply {
	key := g.Fields["path"] + "/" + g.Fields["blk"]
	fresh := c.FreshTime[g.Fields["queue"]]
	maxAge := fieldMillis(g.Fields, "maxage")
	if maxAge == 0 {
		maxAge = fresh
	}
	time.Sleep(c.ServiceTime)
	c.mu.Lock()
	held, ok := c.copies[key]
	c.mu.Unlock()
	status := "hit"
	age := time.Since(held.createdAt)
	isWrite := len(g.Body) > 0
	switch {
	case isWrite && c.IsOrigin:
		return &Reply{Status: "data", Fields: "detail=filled", Body: []byte("done")}
	case ok && (maxAge == 0 || age < maxAge) && !isWrite:
		if fresh > 0 && age > fresh {
			status = "stale"
		}
		if fresh > 0 && age > fresh*4/5 && strings.Contains(g.Fields["flags"], "swr") {
			refresh := *g
			go c.fill(&refresh, key)
		}
	case c.IsOrigin:
		held = newCopy(key, time.Now())
	default:
		filled := c.fill(g, key)
		if filled.Status != "data" || isWrite {
			return filled
		}
		held = copyOf(filled)
		status = "filled"
	}
	fields := fmt.Sprintf("etag=%s,made=%d,detail=%s", held.tag, held.createdAt.UnixMilli(), status)
	if g.Fields["have"] == held.tag {
		return &Reply{Status: "unchanged", Fields: fields}
	}
	return &Reply{Status: "data", Fields: fields, Body: held.body}
}

// fill fetches an object from the source that a request names. It stores the copy if the request specifies a rank
// or the source is the origin.
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
	if strings.Contains(g.Fields["flags"], "peek") { // only if cached: the source fetches nothing
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

// newCopy returns a copy created by the origin at a time. MadeBefore reads the time from its body.
func newCopy(key string, now time.Time) storedCopy {
	body := fmt.Sprintf("%s as of %s", key, now.Format(originClock))
	tag := fmt.Sprintf("%016x", now.UnixNano()^int64(len(key)))
	return storedCopy{createdAt: now, body: []byte(body), tag: tag}
}

// copyOf returns the copy in an answer.
func copyOf(reply *Reply) storedCopy {
	fields := Fields(reply.Fields)
	createdMillis, _ := strconv.ParseInt(fields["made"], 10, 64)
	return storedCopy{createdAt: time.UnixMilli(createdMillis), body: reply.Body, tag: fields["etag"]}
}

// fieldMillis returns a field in milliseconds, or 0 if it is missing.
func fieldMillis(fields map[string]string, name string) time.Duration {
	millis, _ := strconv.Atoi(fields[name])
	return time.Duration(millis) * time.Millisecond
}

// MadeBefore reports whether the origin created the copy in an answer before a time. The time must be within the
// last hours.
func MadeBefore(body string, at time.Time) bool {
	_, stamp, _ := strings.Cut(body, " as of ")
	made, err := time.ParseInLocation(originClock, stamp, time.Local)
	year, month, day := at.Date()
	return err == nil && made.AddDate(year, int(month)-1, day-1).Before(at.Truncate(time.Millisecond))
}
