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

// MarkOf names the router that others reach at an address.
func MarkOf(a netip.AddrPort) membership.Mark { return membership.Mark(hash.Name(a.String())) }

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
		r := shardmap.Range{First: x.hex("first"), Last: x.hex("last"), Keeper: place(x.address("keeper")),
			Standby: [shardmap.StandbyMost]uint16{shardmap.Nobody, shardmap.Nobody}}
		by := x.addresses("standbys")
		if len(by) > len(r.Standby) {
			o.r.fault(x.at, x.full("standbys"), "names %d routers, %d at most", len(by), len(r.Standby))
			by = by[:len(r.Standby)]
		}
		for j, a := range by {
			r.Standby[j] = place(a)
		}
		x.done()
		ranges = append(ranges, r)
	}
	if len(o.r.faults) > faults {
		return nil, nil
	}
	var marks []membership.Mark
	for _, a := range keepers {
		marks = append(marks, MarkOf(a))
	}
	if _, why := shardmap.Pinned(ranges, marks); why != nil {
		at, path := v.StartOffset, o.full(key)
		if why.Place >= 0 && why.Place < len(list.Elements) {
			at, path = list.Elements[why.Place].StartOffset, fmt.Sprintf("%s[%d]", path, why.Place)
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
