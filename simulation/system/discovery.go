package system

import (
	"fmt"
	"strings"

	"threadrun/internal/transport"
	"threadrun/simulation/invariants"
	"threadrun/simulation/network"
)

const (
	delayedRetry     = 50 * ms // interval of attempts to publish delayed events
	fragmentInterval = 30 * ms // between two fragments of an answer
	maxFragment      = 200     // bytes
)

// discovery announces endpoints and purges to the routers that watch it.
type discovery struct {
	sim          *Simulation
	host         *network.Host
	engine       *transport.Engine
	events       []string // the notices of package invariants, as JSON; the first has the number 1
	connections  []*discoveryConn
	delayedUntil Micros       // no event is published before
	delayed      []func()     // publish the delayed events, in this order
	fragments    activeFaults // faults.FragmentDiscovery
}

func (d *discovery) start() {
	d.engine = transport.NewWithRuntime(d.host.Start(), d.sim.discardLog)
	d.engine.SetMaxAccepted(maxAccepted)
	address := fmt.Sprintf("%s:%d", d.host.Addr, discoveryPort)
	_ = d.engine.Listen(address, func(c *transport.Conn) transport.Handler {
		conn := &discoveryConn{discovery: d, conn: c, router: d.sim.routerAt(c.String())}
		d.connections = append(d.connections, conn)
		return conn
	})
}

// post publishes an event as soon as discovery can be reached, after all events posted before. text holds the
// event's fields as JSON, without the number; e is the same event for the checker.
func (d *discovery) post(text string, e invariants.Event) {
	if len(d.delayed) == 0 && !d.unreachable() {
		d.publish(text, e)
		return
	}
	d.delayed = append(d.delayed, func() { d.publish(text, e) })
	if len(d.delayed) == 1 {
		d.sim.after(delayedRetry, d.flushDelayed)
	}
}

func (d *discovery) unreachable() bool {
	return d.sim.world.Now() < d.delayedUntil || d.host.Partitioned()
}

// flushDelayed publishes all delayed events once discovery can be reached.
func (d *discovery) flushDelayed() {
	if d.unreachable() {
		d.sim.after(delayedRetry, d.flushDelayed)
		return
	}
	delayed := d.delayed
	d.delayed = nil
	for _, publish := range delayed {
		publish()
	}
}

// publish gives an event its number, and sends it to the routers whose watches are open.
func (d *discovery) publish(text string, e invariants.Event) {
	e.Number = len(d.events) + 1
	d.events = append(d.events, fmt.Sprintf(`{"no":%d,%s}`, e.Number, text))
	d.sim.observe(e)
	d.answerWatches()
}

// postEndpoints posts changes of the endpoint list; with all set, the endpoints are the entire list. The checker
// takes one event per number. Each event except the last is therefore posted with an empty change, and the last with
// all changes.
func (d *discovery) postEndpoints(all bool, endpoints []string, events []invariants.Event) {
	text := fmt.Sprintf(`"roster":{"rev":%d,"all":%v,"targets":[%s]}`,
		len(d.events)+1, all, strings.Join(endpoints, ","))
	last := len(events) - 1
	for _, e := range events[:last] {
		d.post(`"roster":{"rev":0,"all":false,"targets":[]}`, e)
	}
	d.post(text, events[last])
}

// answerWatches answers the open watches for which there are events.
func (d *discovery) answerWatches() {
	for _, c := range d.connections {
		if c.waiting && c.after < len(d.events) {
			c.answer()
		}
	}
}

// eventsAfter returns the events after a number, in the form of the answer to a watch.
func (d *discovery) eventsAfter(number int) string {
	events := d.events[min(number, len(d.events)):]
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(d.events), strings.Join(events, ","))
}
