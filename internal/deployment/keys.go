package deployment

import (
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"threadrun/routing"
)

// reader reads members by their path and keeps the first fault.
type reader struct {
	prefix string
	err    error
}

func (k *reader) fail(key, what string) {
	if k.err == nil {
		k.err = fmt.Errorf("key '%s%s' %s", k.prefix, key, what)
	}
}

func find(v *fastjson.Value, path string) *fastjson.Value {
	if v == nil {
		return nil
	}
	return v.Get(strings.Split(path, ".")...)
}

// number reads a number of least at least; an absent one has the default, if that is no less.
func (k *reader) number(v *fastjson.Value, path string, otherwise, least float64) float64 {
	m := find(v, path)
	if m == nil || m.Type() == fastjson.TypeNull {
		if otherwise < least {
			k.fail(path, "is missing")
		}
		return otherwise
	}
	x, err := m.Float64()
	if err != nil {
		k.fail(path, "is no number")
		return otherwise
	}
	if x < least {
		k.fail(path, fmt.Sprintf("is %v, below %v", x, least))
	}
	return x
}

// millis reads milliseconds; an absent key is 0, and a fault where least is above that.
func (k *reader) millis(v *fastjson.Value, path string, least float64) routing.Micros {
	return micros(k.number(v, path, 0, least))
}

func (k *reader) bool(v *fastjson.Value, path string) bool {
	m := find(v, path)
	if m == nil || m.Type() == fastjson.TypeNull {
		return false
	}
	b, err := m.Bool()
	if err != nil {
		k.fail(path, "is neither true nor false")
	}
	return b
}

func (k *reader) string(v *fastjson.Value, path string) string {
	m := find(v, path)
	if m == nil || m.Type() == fastjson.TypeNull {
		return ""
	}
	b, err := m.StringBytes()
	if err != nil {
		k.fail(path, "is no string")
	}
	return string(b)
}

// choice reads a word that is one of several; an absent one is the first.
func (k *reader) choice(v *fastjson.Value, path string, words ...string) string {
	s := k.string(v, path)
	if s == "" {
		return words[0]
	}
	if !slices.Contains(words, s) {
		k.fail(path, fmt.Sprintf("is %q, none of %s", s, strings.Join(words, ", ")))
	}
	return s
}

func (k *reader) array(v *fastjson.Value, path string, must bool) []*fastjson.Value {
	m := find(v, path)
	if m == nil || m.Type() == fastjson.TypeNull {
		if must {
			k.fail(path, "is missing")
		}
		return nil
	}
	a, err := m.Array()
	if err != nil {
		k.fail(path, "is no array")
	}
	return a
}

func stringOf(v *fastjson.Value) string { b, _ := v.StringBytes(); return string(b) }
