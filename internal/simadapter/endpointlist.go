package simadapter

import (
	"github.com/valyala/fastjson"

	"threadrun/internal/hash"
	"threadrun/routing"
)

// listEntry is an entry of an endpoint list. It is shared by all instances, each of which assigns its own ids to the
// names.
type listEntry struct {
	routing.Endpoint
	name, kind, zone string
}

// storeList stores a page of endpoints, to which events of all instances can refer. It ignores invalid page numbers.
func (a *Adapter) storeList(event *fastjson.Value) {
	page := event.GetInt("page")
	if page < 0 || page >= len(a.lists) {
		return
	}
	lines := event.GetArray("lines")
	list := make([]listEntry, 0, len(lines))
	for _, line := range lines {
		list = append(list, readEntry(line))
	}
	a.lists[page] = list
}

func readEntry(line *fastjson.Value) listEntry {
	entry := listEntry{name: text(line, "server"), kind: text(line, "type"), zone: text(line, "zone")}
	entry.NameHash = hash.String(entry.name)
	entry.Cell = routing.CellID(line.GetInt("group"))
	entry.Weight = line.GetFloat64("scale")
	entry.Started = micros(line.GetFloat64("last_start"))
	switch text(line, "phase") {
	case "fading":
		entry.State = routing.Draining
	case "off":
		entry.State = routing.Removed
	}
	return entry
}

// list returns a stored page, or nil if there is none with the given number.
func (a *Adapter) list(page int) []listEntry {
	if page < 0 || page >= len(a.lists) {
		return nil
	}
	return a.lists[page]
}

// updateEndpoints passes a page to the router, as the complete endpoint list or as changes to it, or reports that the
// watch was lost.
func (inst *instance) updateEndpoints(event *fastjson.Value) {
	kind := text(event, "kind")
	if kind == "lost" {
		inst.router.EndpointWatchLost()
		return
	}
	entries := inst.adapter.list(event.GetInt("page"))
	list := make([]routing.Endpoint, 0, len(entries))
	for _, entry := range entries {
		ep := entry.Endpoint
		ep.ID = inst.endpointID(entry.name)
		ep.Zone = inst.names.Zone(entry.zone)
		ep.Tier = inst.names.Tier(entry.kind)
		list = append(list, ep)
	}
	inst.router.UpdateEndpoints(list, kind != "incr")
}

// endpointID returns the id of an endpoint. It assigns a new id to an unknown name.
func (inst *instance) endpointID(name string) routing.EndpointID {
	id, known := inst.endpointIDs[name]
	if !known {
		id = routing.EndpointID(len(inst.endpointNames))
		inst.endpointIDs[name] = id
		inst.endpointNames = append(inst.endpointNames, name)
	}
	return id
}
