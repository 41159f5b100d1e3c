package deployment

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"threadrun/routing"
)

// reader reads values by the paths of their keys, such as "a.b.c", and keeps the first error. Its methods return
// a value even after an error, so that callers need to check err only once, after the last value.
type reader struct {
	prefix string // prefix of the keys in errors, such as "lanes[0]."
	err    error  // the first error
}

// fail records a KeyError unless there was an error before. problem is a predicate, such as "is missing".
func (r *reader) fail(key, problem string) {
	if r.err == nil {
		r.err = &KeyError{Key: r.prefix + key, Problem: problem}
	}
}

// number reads a number that must be at least min. It returns defaultValue if the key is absent or null. If
// defaultValue is less than min, the key is mandatory.
func (r *reader) number(v *fastjson.Value, path string, defaultValue, min float64) float64 {
	member := lookup(v, path)
	if isNull(member) {
		if defaultValue < min {
			r.fail(path, "is missing")
		}
		return defaultValue
	}
	x, err := member.Float64()
	if err != nil {
		r.fail(path, fmt.Sprintf("is of type %s, not a number", member.Type()))
		return defaultValue
	}
	if x < min {
		r.fail(path, fmt.Sprintf("is %v, must be at least %v", x, min))
	}
	return x
}

// millis reads a duration in milliseconds, rounded to microseconds. It returns 0 if the key is absent. The key is
// mandatory if min is positive.
func (r *reader) millis(v *fastjson.Value, path string, min float64) routing.Micros {
	return micros(r.number(v, path, 0, min))
}

// duration reads a duration in milliseconds, truncated to whole milliseconds. defaultValue and min are those of number.
func (r *reader) duration(v *fastjson.Value, path string, defaultValue, min float64) time.Duration {
	return time.Duration(r.number(v, path, defaultValue, min)) * time.Millisecond
}

// bool reads a boolean. It returns false if the key is absent.
func (r *reader) bool(v *fastjson.Value, path string) bool {
	member := lookup(v, path)
	if isNull(member) {
		return false
	}
	b, err := member.Bool()
	if err != nil {
		r.fail(path, fmt.Sprintf("is of type %s, not true or false", member.Type()))
	}
	return b
}

// string reads a string. It returns "" if the key is absent.
func (r *reader) string(v *fastjson.Value, path string) string {
	member := lookup(v, path)
	if isNull(member) {
		return ""
	}
	text, err := member.StringBytes()
	if err != nil {
		r.fail(path, fmt.Sprintf("is of type %s, not a string", member.Type()))
	}
	return string(text)
}

// choice reads a string that must be one of the allowed ones. It returns the first of them if the key is absent.
func (r *reader) choice(v *fastjson.Value, path string, allowed ...string) string {
	choice := r.string(v, path)
	if choice == "" {
		return allowed[0]
	}
	if !slices.Contains(allowed, choice) {
		r.fail(path, fmt.Sprintf("is %q, must be one of %s", choice, strings.Join(allowed, ", ")))
	}
	return choice
}

// array reads an array. It returns nil if the key is absent, which is an error if the key is mandatory.
func (r *reader) array(v *fastjson.Value, path string, mandatory bool) []*fastjson.Value {
	member := lookup(v, path)
	if isNull(member) {
		if mandatory {
			r.fail(path, "is missing")
		}
		return nil
	}
	items, err := member.Array()
	if err != nil {
		r.fail(path, fmt.Sprintf("is of type %s, not an array", member.Type()))
	}
	return items
}

// object reads a mandatory object.
func (r *reader) object(v *fastjson.Value, key string) *fastjson.Value {
	member := v.Get(key)
	if member == nil || member.Type() != fastjson.TypeObject {
		r.fail(key, "is missing or not an object")
	}
	return member
}

// lookup returns the value at a path, or nil if there is none.
func lookup(v *fastjson.Value, path string) *fastjson.Value {
	if v == nil {
		return nil
	}
	return v.Get(strings.Split(path, ".")...)
}

// isNull reports whether a value is absent or null.
func isNull(v *fastjson.Value) bool { return v == nil || v.Type() == fastjson.TypeNull }

// stringOf returns the text of a JSON string.
func stringOf(v *fastjson.Value) string {
	text, _ := v.StringBytes() // empty if the value has another type
	return string(text)
}

// element returns element i of the array at a key, or null if there is no such array or element.
func element(v *fastjson.Value, key string, i int) *fastjson.Value {
	if items := v.GetArray(key); i >= 0 && i < len(items) {
		return items[i]
	}
	return null
}

var null = fastjson.MustParse("null")

// micros converts milliseconds, rounded to microseconds.
func micros(milliseconds float64) routing.Micros {
	return routing.Micros(math.Round(milliseconds * 1000))
}
