package operator

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	"github.com/tailscale/hujson"

	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/hash"
)

// recordKeyDigits is the number of hexadecimal digits of a key of the shard map.
const recordKeyDigits = 16

// NodeIDOf returns the node ID of the router that is reached at an address. All routers compute the same ID.
func NodeIDOf(a netip.AddrPort) membership.NodeID { return membership.NodeID(hash.String(a.String())) }

// pinnedMap reads a shard map: an array of ranges, each with its first and last key in hexadecimal (both included),
// its owner (key "keeper") and its replicas (key "standbys"). It returns the ranges, and the addresses to which their
// owner indexes refer. If the map is invalid, the error has the line of the first range concerned.
func (o *object) pinnedMap(key string) ([]shardmap.Range, []netip.AddrPort) {
	v := o.takeMember(key)
	if v == nil {
		return nil, nil
	}
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		o.reader.addError(v.StartOffset, o.fullKey(key), "is not an array")
		return nil, nil
	}
	errorsBefore := len(o.reader.errors)
	var owners ownerList
	var ranges []shardmap.Range
	for i := range list.Elements {
		element := o.reader.object(&list.Elements[i], fmt.Sprintf("%s[%d]", o.fullKey(key), i))
		ranges = append(ranges, element.pinnedRange(&owners))
	}
	if len(o.reader.errors) > errorsBefore {
		return nil, nil
	}
	if _, err := shardmap.NewPinnedMap(ranges, owners.nodeIDs()); err != nil {
		offset, path := v.StartOffset, o.fullKey(key)
		var invalid *shardmap.ValidationError
		if errors.As(err, &invalid) && invalid.RangeIndex >= 0 && invalid.RangeIndex < len(list.Elements) {
			i := invalid.RangeIndex
			offset = list.Elements[i].StartOffset
			path = fmt.Sprintf("%s[%d]", path, i)
		}
		o.reader.addError(offset, path, "is invalid: %v", err)
		return nil, nil
	}
	return ranges, owners.addresses
}

// pinnedRange reads one range, and adds the addresses that it names to the list of owners.
func (o *object) pinnedRange(owners *ownerList) shardmap.Range {
	r := shardmap.Range{
		First:    o.recordKey("first"),
		Last:     o.recordKey("last"),
		Owner:    owners.indexOrAdd(o.address("keeper")),
		Replicas: [shardmap.MaxReplicas]uint16{shardmap.NoOwner, shardmap.NoOwner},
	}
	replicas := o.addresses("standbys")
	if len(replicas) > len(r.Replicas) {
		o.reader.addError(
			o.offsetInFile,
			o.fullKey("standbys"),
			"has %d routers, at most %d are allowed",
			len(replicas),
			len(r.Replicas),
		)
		replicas = replicas[:len(r.Replicas)]
	}
	for i, a := range replicas {
		r.Replicas[i] = owners.indexOrAdd(a)
	}
	o.rejectUnknownKeys()
	return r
}

// recordKey reads a key of exactly recordKeyDigits hexadecimal digits.
func (o *object) recordKey(key string) shardmap.Key {
	offset := o.keyOffset(key)
	text := o.string(key)
	x, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != recordKeyDigits {
		o.reader.addError(offset, o.fullKey(key), "is %q, not a key of %d hexadecimal digits", text, recordKeyDigits)
	}
	return shardmap.Key(x)
}

// ownerList assigns indexes to the addresses in a map, in order of appearance.
type ownerList struct{ addresses []netip.AddrPort }

// indexOrAdd returns the index of an address, which it adds to the list if necessary.
func (l *ownerList) indexOrAdd(a netip.AddrPort) uint16 {
	if i := slices.Index(l.addresses, a); i >= 0 {
		return uint16(i)
	}
	l.addresses = append(l.addresses, a)
	return uint16(len(l.addresses) - 1)
}

// nodeIDs returns the node IDs of the owners, in the order of their addresses.
func (l *ownerList) nodeIDs() []membership.NodeID {
	ids := make([]membership.NodeID, len(l.addresses))
	for i, a := range l.addresses {
		ids[i] = NodeIDOf(a)
	}
	return ids
}
