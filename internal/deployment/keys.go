package deployment

import (
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"threadrun/routing"
)

// keys reads members by their path and keeps the first fault.
type keys struct {
	prefix string
	err    error
}

func (k *keys) fault(key, what string) {
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
func (k *keys) number(v *fastjson.Value, path string, otherwise, least float64) float64 {
	m := find(v, path)
	if m == nil || m.Type() == fastjson.TypeNull {
		if otherwise < least {
			k.fault(path, "is missing")
		}
		return otherwise
	}
	x, err := m.Float64()
	if err != nil {
		k.fault(path, "is no number")
		return otherwise
	}
	if x < least {
		k.fault(path, fmt.Sprintf("is %v, below %v", x, least))
	}
	return x
}

// span reads milliseconds; an absent key is 0, and a fault where least is above that.
func (k *keys) span(v *fastjson.Value, path string, least float64) routing.Micros {
	return micros(k.number(v, path, 0, least))
}

func (k *keys) truth(v *fastjson.Value, path string) bool {
	m := find(v, path)
	if m == nil || m.Type() == fastjson.TypeNull {
		return false
	}
	b, err := m.Bool()
	if err != nil {
		k.fault(path, "is neither true nor false")
	}
	return b
}

func (k *keys) word(v *fastjson.Value, path string) string {
	m := find(v, path)
	if m == nil || m.Type() == fastjson.TypeNull {
		return ""
	}
	b, err := m.StringBytes()
	if err != nil {
		k.fault(path, "is no string")
	}
	return string(b)
}

// choice reads a word that is one of several; an absent one is the first.
func (k *keys) choice(v *fastjson.Value, path string, words ...string) string {
	s := k.word(v, path)
	if s == "" {
		return words[0]
	}
	if !slices.Contains(words, s) {
		k.fault(path, fmt.Sprintf("is %q, none of %s", s, strings.Join(words, ", ")))
	}
	return s
}

func (k *keys) array(v *fastjson.Value, path string, must bool) []*fastjson.Value {
	m := find(v, path)
	if m == nil || m.Type() == fastjson.TypeNull {
		if must {
			k.fault(path, "is missing")
		}
		return nil
	}
	a, err := m.Array()
	if err != nil {
		k.fault(path, "is no array")
	}
	return a
}

func text(v *fastjson.Value) string { b, _ := v.StringBytes(); return string(b) }
