package attempts

import (
	"strconv"
	"time"

	"threadrun/internal/resp"
	"threadrun/routing"
)

// ProbeResult is what a probe showed.
type ProbeResult uint8

const (
	Inconclusive ProbeResult = iota // the connection ended for another reason
	Alive
	Unreachable // no connection, or no answer in time
)

// probe is a PING that is out on behalf of the host.
type probe struct {
	no   uint64
	tag  string
	on   *connection
	sent time.Time
	ends time.Time
}

// Probe asks a cache whether it is there. The answer, or that none came in time, is told under the number given back; 0:
// there is no way to ask.
func (y *Pool) Probe(c routing.EndpointID, limit time.Duration) uint64 {
	if int(c) >= len(y.endpoints) || y.endpoints[c] == nil {
		return 0
	}
	l := y.endpoints[c].choose(y, ID{})
	if l == nil {
		return 0
	}
	y.probed++
	now := y.engine.Now()
	p := probe{no: y.probed, tag: "probe" + strconv.FormatUint(y.probed, 10), on: l, sent: now, ends: now.Add(limit)}
	y.probes = append(y.probes, p)
	l.conn.Send(resp.AppendWord(resp.AppendWord(resp.AppendArray(nil, 2), "PING"), p.tag))
	l.used = now
	return p.no
}

// shown ends the probes that a test names.
func (y *Pool) shown(what ProbeResult, now time.Time, test func(*probe) bool) {
	for i := 0; i < len(y.probes); {
		p := y.probes[i]
		if !test(&p) {
			i++
			continue
		}
		y.probes = append(y.probes[:i], y.probes[i+1:]...)
		y.host.ProbeEnded(p.no, what, now.Sub(p.sent))
	}
}
