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

// reader reads values by the paths of their keys, such as "a.b.c", and keeps the first error.
type reader struct {
	prefix string // prefix of the keys in errors
	err    error
}

func (r *reader) fail(key, problem string) {
	if r.err == nil {
		r.err = &KeyError{Key: r.prefix + key, Problem: problem}
	}
}

// number reads a number that must be at least min. It returns otherwise if the key is absent. If otherwise is less
// than min, the key is mandatory.
func (r *reader) number(v *fastjson.Value, path string, otherwise, min float64) float64 {
	member := find(v, path)
	if isNull(member) {
		if otherwise < min {
			r.fail(path, "is missing")
		}
		return otherwise
	}
	x, err := member.Float64()
	if err != nil {
		r.fail(path, "is not a number")
		return otherwise
	}
	if x < min {
		r.fail(path, fmt.Sprintf("is %v, must be at least %v", x, min))
	}
	return x
}

// millis reads a duration in milliseconds, rounded to microseconds. An absent key is 0; a positive min makes it
// mandatory.
func (r *reader) millis(v *fastjson.Value, path string, min float64) routing.Micros {
	return micros(r.number(v, path, 0, min))
}

// duration reads a duration in whole milliseconds.
func (r *reader) duration(v *fastjson.Value, path string, otherwise, min float64) time.Duration {
	return time.Duration(r.number(v, path, otherwise, min)) * time.Millisecond
}

// bool reads a boolean. An absent key is false.
func (r *reader) bool(v *fastjson.Value, path string) bool {
	member := find(v, path)
	if isNull(member) {
		return false
	}
	b, err := member.Bool()
	if err != nil {
		r.fail(path, "is neither true nor false")
	}
	return b
}

// string reads a string. An absent key is "".
func (r *reader) string(v *fastjson.Value, path string) string {
	member := find(v, path)
	if isNull(member) {
		return ""
	}
	text, err := member.StringBytes()
	if err != nil {
		r.fail(path, "is not a string")
	}
	return string(text)
}

// choice reads a string that must be one of words. An absent key is the first of them.
func (r *reader) choice(v *fastjson.Value, path string, words ...string) string {
	word := r.string(v, path)
	if word == "" {
		return words[0]
	}
	if !slices.Contains(words, word) {
		r.fail(path, fmt.Sprintf("is %q, must be one of %s", word, strings.Join(words, ", ")))
	}
	return word
}

// array reads an array. An absent key is an empty array, unless it is mandatory.
func (r *reader) array(v *fastjson.Value, path string, mandatory bool) []*fastjson.Value {
	member := find(v, path)
	if isNull(member) {
		if mandatory {
			r.fail(path, "is missing")
		}
		return nil
	}
	items, err := member.Array()
	if err != nil {
		r.fail(path, "is not an array")
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

func find(v *fastjson.Value, path string) *fastjson.Value {
	if v == nil {
		return nil
	}
	return v.Get(strings.Split(path, ".")...)
}

func isNull(v *fastjson.Value) bool { return v == nil || v.Type() == fastjson.TypeNull }

func stringOf(v *fastjson.Value) string {
	text, _ := v.StringBytes() // a value of another type is treated as an empty string
	return string(text)
}

// element returns element i of an array, or null.
func element(v *fastjson.Value, key string, i int) *fastjson.Value {
	if items := v.GetArray(key); i >= 0 && i < len(items) {
		return items[i]
	}
	return null
}

var null = fastjson.MustParse("null")

func micros(milliseconds float64) routing.Micros {
	return routing.Micros(math.Round(milliseconds * 1000))
}
