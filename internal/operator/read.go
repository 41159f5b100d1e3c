package operator

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// KeyError is one fault of the file.
type KeyError struct {
	Line    int
	Key     string // "" where it is none's
	Problem string
}

func (f *KeyError) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.Problem)
	}
	return fmt.Sprintf("line %d: key '%s' %s", f.Line, f.Key, f.Problem)
}

// reader gathers the faults of a text.
type reader struct {
	text   []byte
	faults []*KeyError
}

func (r *reader) line(offset int) int {
	return 1 + bytes.Count(r.text[:min(offset, len(r.text))], []byte("\n"))
}

func (r *reader) fault(offset int, key, what string, args ...any) {
	r.faults = append(r.faults, &KeyError{r.line(offset), key, fmt.Sprintf(what, args...)})
}

// object reads the members of one object. What is not asked for by the end is unknown.
type object struct {
	r       *reader
	path    string
	at      int // of the object
	members map[string]*hujson.Value
	names   []name
}

type name struct {
	key string
	at  int
}

// parse reads a text into its outermost object; nil if it is none.
func (r *reader) parse() *object {
	v, err := hujson.Parse(r.text)
	if err != nil {
		line, what := 1, err.Error()
		if _, scanErr := fmt.Sscanf(what, "hujson: line %d", &line); scanErr == nil {
			if _, rest, ok := strings.Cut(what, ": "); ok {
				if _, tail, ok := strings.Cut(rest, ": "); ok {
					what = tail
				}
			}
		}
		r.faults = append(r.faults, &KeyError{line, "", "is no JSON with comments: " + what})
		return nil
	}
	return r.enter(&v, "")
}

func (r *reader) enter(v *hujson.Value, path string) *object {
	o := &object{r: r, path: path, at: v.StartOffset, members: map[string]*hujson.Value{}}
	in, ok := v.Value.(*hujson.Object)
	if !ok {
		r.fault(v.StartOffset, path, "is no object")
		return o
	}
	for i := range in.Members {
		m := &in.Members[i]
		lit, _ := m.Name.Value.(hujson.Literal)
		key := lit.String()
		if _, twice := o.members[key]; twice {
			r.fault(m.Name.StartOffset, o.full(key), "stands there twice")
		}
		o.members[key] = &m.Value
		o.names = append(o.names, name{key, m.Name.StartOffset})
	}
	return o
}

func (o *object) full(key string) string {
	if o.path == "" {
		return key
	}
	return o.path + "." + key
}

// take gives a member and marks it as known; nil if it is absent.
func (o *object) take(key string) *hujson.Value {
	v := o.members[key]
	delete(o.members, key)
	return v
}

// object reads a member that is an object; an absent one is empty.
func (o *object) object(key string) *object {
	if v := o.take(key); v != nil {
		return o.r.enter(v, o.full(key))
	}
	return &object{r: o.r, path: o.full(key), at: o.at}
}

// done faults what was not asked for.
func (o *object) done() {
	for _, n := range o.names {
		if _, left := o.members[n.key]; left {
			o.r.fault(n.at, o.full(n.key), "is not known")
		}
	}
}

// line tells where a member stands, or the object that lacks it.
func (o *object) offset(key string) int {
	for _, n := range o.names {
		if n.key == key {
			return n.at
		}
	}
	return o.at
}

// number reads a number within bounds.
func (o *object) number(key string, otherwise, least, most float64) float64 {
	v := o.take(key)
	if v == nil {
		return otherwise
	}
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		o.r.fault(v.StartOffset, o.full(key), "is no number")
		return otherwise
	}
	x := lit.Float()
	if x < least || x > most {
		o.r.fault(v.StartOffset, o.full(key), "is %v, not within %v to %v", x, least, most)
		return otherwise
	}
	return x
}

// whole reads a whole number within bounds.
func (o *object) whole(key string, otherwise, least, most int) int {
	at := o.offset(key)
	x := o.number(key, float64(otherwise), float64(least), float64(most))
	if x != float64(int(x)) {
		o.r.fault(at, o.full(key), "is %v, no whole number", x)
	}
	return int(x)
}

// span reads milliseconds within bounds.
func (o *object) span(key string, otherwise, least, most time.Duration) time.Duration {
	ms := float64(time.Millisecond)
	return time.Duration(o.number(key, float64(otherwise)/ms, float64(least)/ms, float64(most)/ms) * ms)
}

func (o *object) truth(key string) bool {
	v := o.take(key)
	if v == nil {
		return false
	}
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != 't' && lit.Kind() != 'f' {
		o.r.fault(v.StartOffset, o.full(key), "is neither true nor false")
		return false
	}
	return lit.Bool()
}

func (o *object) word(key string) string {
	v := o.take(key)
	if v == nil {
		return ""
	}
	return o.text(v, key)
}

func (o *object) text(v *hujson.Value, key string) string {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		o.r.fault(v.StartOffset, o.full(key), "is no string")
		return ""
	}
	return lit.String()
}

// address reads a numeric address with its port; there are no names to look up.
func (o *object) address(key string) netip.AddrPort {
	v := o.take(key)
	if v == nil {
		return netip.AddrPort{}
	}
	return o.numeric(v, key)
}

func (o *object) numeric(v *hujson.Value, key string) netip.AddrPort {
	s := o.text(v, key)
	if s == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		o.r.fault(v.StartOffset, o.full(key), "is %q, no numeric address with a port", s)
	}
	return a
}

func (o *object) addresses(key string) (out []netip.AddrPort) {
	v := o.take(key)
	if v == nil {
		return nil
	}
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		o.r.fault(v.StartOffset, o.full(key), "is no array")
		return nil
	}
	for i := range list.Elements {
		if a := o.numeric(&list.Elements[i], key); a.IsValid() {
			out = append(out, a)
		}
	}
	return out
}
