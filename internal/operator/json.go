package operator

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// fileReader reads a text and collects its errors, so that one pass finds all of them.
type fileReader struct {
	text   []byte
	errors []*KeyError
}

// line returns the line number of an offset in the text, counted from 1.
func (r *fileReader) line(offset int) int {
	return 1 + bytes.Count(r.text[:min(offset, len(r.text))], []byte("\n"))
}

// addError adds an error of a key at an offset in the text.
func (r *fileReader) addError(offset int, key, problem string, args ...any) {
	r.errors = append(r.errors, &KeyError{r.line(offset), key, fmt.Sprintf(problem, args...)})
}

// object reads the members of one JSON object. Members that have not been read when rejectUnknownKeys is called are
// unknown keys.
type object struct {
	reader       *fileReader
	path         string                   // full key of the object; empty: the outermost object
	offsetInFile int                      // of the object; if it is absent, of the enclosing object
	unread       map[string]*hujson.Value // members that have not been read yet, by key
	names        []memberName             // all members, in the order of the text
}

// memberName is the key of a member and where the key begins.
type memberName struct {
	key    string
	offset int // in bytes, from the start of the text
}

// parse returns the outermost object of the text. If the text is not valid JSON with comments, it adds an error and
// returns nil.
func (r *fileReader) parse() *object {
	v, err := hujson.Parse(r.text)
	if err != nil {
		line, problem := syntaxError(err)
		r.errors = append(r.errors, &KeyError{Line: line, Problem: "is not JSON with comments: " + problem})
		return nil
	}
	return r.object(&v, "")
}

// syntaxError extracts the line and the problem from an error of hujson, whose text is "hujson: line L, column C:
// WHERE: PROBLEM"; the result includes WHERE. For other texts it returns line 1 and the complete text.
func syntaxError(err error) (line int, problem string) {
	text := err.Error()
	line = 1
	if _, scanErr := fmt.Sscanf(text, "hujson: line %d", &line); scanErr != nil {
		return 1, text
	}
	if parts := strings.SplitN(text, ": ", 3); len(parts) == 3 {
		return line, parts[2]
	}
	return line, text
}

// object returns a reader of a value that must be an object; otherwise it adds an error and returns an empty object.
// path is the value's full key. Duplicate keys are errors.
func (r *fileReader) object(v *hujson.Value, path string) *object {
	o := &object{reader: r, path: path, offsetInFile: v.StartOffset, unread: map[string]*hujson.Value{}}
	value, ok := v.Value.(*hujson.Object)
	if !ok {
		r.addError(v.StartOffset, path, "is not an object")
		return o
	}
	for i := range value.Members {
		m := &value.Members[i]
		literal, _ := m.Name.Value.(hujson.Literal)
		key := literal.String()
		if _, duplicate := o.unread[key]; duplicate {
			r.addError(m.Name.StartOffset, o.fullKey(key), "is a duplicate")
		}
		o.unread[key] = &m.Value
		o.names = append(o.names, memberName{key, m.Name.StartOffset})
	}
	return o
}

// fullKey returns a member's key preceded by the keys of the enclosing objects, separated by dots.
func (o *object) fullKey(key string) string {
	if o.path == "" {
		return key
	}
	return o.path + "." + key
}

// takeMember returns a member and removes it from the unread ones. It returns nil if the member is absent.
func (o *object) takeMember(key string) *hujson.Value {
	v := o.unread[key]
	delete(o.unread, key)
	return v
}

// object returns a reader of a member that must be an object. An absent member is an empty object.
func (o *object) object(key string) *object {
	if v := o.takeMember(key); v != nil {
		return o.reader.object(v, o.fullKey(key))
	}
	return &object{reader: o.reader, path: o.fullKey(key), offsetInFile: o.offsetInFile}
}

// rejectUnknownKeys adds an error for each member that was not read. It must be called after all known members have
// been read.
func (o *object) rejectUnknownKeys() {
	for _, n := range o.names {
		if _, unread := o.unread[n.key]; unread {
			o.reader.addError(n.offset, o.fullKey(n.key), "is unknown")
		}
	}
}

// keyOffset returns the offset of a member's key in the text, or that of the object if the member is absent.
func (o *object) keyOffset(key string) int {
	for _, n := range o.names {
		if n.key == key {
			return n.offset
		}
	}
	return o.offsetInFile
}

// number reads a number within bounds. It returns the default if the member is absent, or with an error if it is not
// valid.
func (o *object) number(key string, defaultValue, minimum, maximum float64) float64 {
	v := o.takeMember(key)
	if v == nil {
		return defaultValue
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		o.reader.addError(v.StartOffset, o.fullKey(key), "is not a number")
		return defaultValue
	}
	x := literal.Float()
	if x < minimum || x > maximum {
		o.reader.addError(v.StartOffset, o.fullKey(key), "is %v, not within %v to %v", x, minimum, maximum)
		return defaultValue
	}
	return x
}

// integer reads an integer within bounds. It returns the default if the member is absent.
func (o *object) integer(key string, defaultValue, minimum, maximum int) int {
	offset := o.keyOffset(key)
	x := o.number(key, float64(defaultValue), float64(minimum), float64(maximum))
	if x != float64(int(x)) {
		o.reader.addError(offset, o.fullKey(key), "is %v, not an integer", x)
	}
	return int(x)
}

// duration reads a duration in milliseconds, which may be fractional, within bounds. It returns the default if the
// member is absent.
func (o *object) duration(key string, defaultValue, minimum, maximum time.Duration) time.Duration {
	ms := float64(time.Millisecond)
	return time.Duration(o.number(key, float64(defaultValue)/ms, float64(minimum)/ms, float64(maximum)/ms) * ms)
}

// boolean reads a boolean. An absent member is false.
func (o *object) boolean(key string) bool {
	v := o.takeMember(key)
	if v == nil {
		return false
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != 't' && literal.Kind() != 'f' {
		o.reader.addError(v.StartOffset, o.fullKey(key), "is neither true nor false")
		return false
	}
	return literal.Bool()
}

// string reads a string. An absent member is empty.
func (o *object) string(key string) string {
	v := o.takeMember(key)
	if v == nil {
		return ""
	}
	return o.stringValue(v, key)
}

// stringValue returns a string, or adds an error of the key and returns "" if v is not a string.
func (o *object) stringValue(v *hujson.Value, key string) string {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		o.reader.addError(v.StartOffset, o.fullKey(key), "is not a string")
		return ""
	}
	return literal.String()
}

// address reads an IP address with a port. It rejects host names and port 0. An absent or empty member is the zero
// address.
func (o *object) address(key string) netip.AddrPort {
	v := o.takeMember(key)
	if v == nil {
		return netip.AddrPort{}
	}
	return o.addressValue(v, key)
}

// addressValue returns an IP address with a port. It returns the zero address if v is the empty string.
func (o *object) addressValue(v *hujson.Value, key string) netip.AddrPort {
	s := o.stringValue(v, key)
	if s == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		o.reader.addError(v.StartOffset, o.fullKey(key), "is %q, not a numeric address with a port", s)
	}
	return a
}

// addresses reads an array of IP addresses with ports. It skips empty strings. An absent member is nil.
func (o *object) addresses(key string) []netip.AddrPort {
	v := o.takeMember(key)
	if v == nil {
		return nil
	}
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		o.reader.addError(v.StartOffset, o.fullKey(key), "is not an array")
		return nil
	}
	var addresses []netip.AddrPort
	for i := range list.Elements {
		if a := o.addressValue(&list.Elements[i], key); a.IsValid() {
			addresses = append(addresses, a)
		}
	}
	return addresses
}
