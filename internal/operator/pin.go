package operator

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	"github.com/tailscale/hujson"

	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/hash"
)

// NodeIDOf names the router that others reach at an address.
func NodeIDOf(a netip.AddrPort) membership.NodeID { return membership.NodeID(hash.String(a.String())) }

// pin reads a map of keys: an array of ranges, each with its first and last key as hexadecimal digits, both included, its keeper and those
// that stand by. What breaks a rule is told by the line of the range at fault.
func (o *object) pin(key string) (ranges []shardmap.Range, keepers []netip.AddrPort) {
	v := o.take(key)
	if v == nil {
		return nil, nil
	}
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		o.r.fault(v.StartOffset, o.full(key), "is no array")
		return nil, nil
	}
	faults := len(o.r.faults)
	place := func(a netip.AddrPort) uint16 {
		if i := slices.Index(keepers, a); i >= 0 {
			return uint16(i)
		}
		keepers = append(keepers, a)
		return uint16(len(keepers) - 1)
	}
	for i := range list.Elements {
		x := o.r.enter(&list.Elements[i], fmt.Sprintf("%s[%d]", o.full(key), i))
		r := shardmap.Range{First: x.hex("first"), Last: x.hex("last"), Owner: place(x.address("keeper")),
			Replicas: [shardmap.MaxReplicas]uint16{shardmap.NoOwner, shardmap.NoOwner}}
		by := x.addresses("standbys")
		if len(by) > len(r.Replicas) {
			o.r.fault(x.at, x.full("standbys"), "names %d routers, %d at most", len(by), len(r.Replicas))
			by = by[:len(r.Replicas)]
		}
		for j, a := range by {
			r.Replicas[j] = place(a)
		}
		x.done()
		ranges = append(ranges, r)
	}
	if len(o.r.faults) > faults {
		return nil, nil
	}
	var marks []membership.NodeID
	for _, a := range keepers {
		marks = append(marks, NodeIDOf(a))
	}
	if _, why := shardmap.NewPinnedMap(ranges, marks); why != nil {
		at, path := v.StartOffset, o.full(key)
		if why.RangeIndex >= 0 && why.RangeIndex < len(list.Elements) {
			at, path = list.Elements[why.RangeIndex].StartOffset, fmt.Sprintf("%s[%d]", path, why.RangeIndex)
		}
		o.r.fault(at, path, "is refused: %v", why)
		return nil, nil
	}
	return ranges, keepers
}

// hex reads a key of 16 hexadecimal digits.
func (o *object) hex(key string) shardmap.Key {
	at := o.offset(key)
	s := o.word(key)
	x, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != 16 {
		o.r.fault(at, o.full(key), "is %q, not a key of 16 hexadecimal digits", s)
	}
	return shardmap.Key(x)
}
