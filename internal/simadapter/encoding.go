package simadapter

import (
	"math"
	"strconv"

	"github.com/valyala/fastjson"

	"threadrun/routing"
)

const microsPerMilli = 1000

// encoder builds a line of JSON in a reused buffer.
type encoder struct{ buf []byte }

// reset removes the content, but keeps the buffer.
func (e *encoder) reset() { e.buf = e.buf[:0] }

// raw appends JSON text as it is.
func (e *encoder) raw(json string) { e.buf = append(e.buf, json...) }

// begin begins an action. The caller must end it with end.
func (e *encoder) begin(op string) {
	e.raw(`{"op":"`)
	e.raw(op)
	e.raw(`"`)
}

// end ends an action, with a comma after it.
func (e *encoder) end() { e.raw("},") }

// key appends the key of a further field of an action.
func (e *encoder) key(name string) {
	e.raw(`,"`)
	e.raw(name)
	e.raw(`":`)
}

func (e *encoder) stringField(key, value string) {
	e.key(key)
	e.buf = strconv.AppendQuoteToASCII(e.buf, value)
}

func (e *encoder) intField(key string, value int) {
	e.key(key)
	e.buf = strconv.AppendInt(e.buf, int64(value), 10)
}

func (e *encoder) boolField(key string, value bool) {
	e.key(key)
	e.buf = strconv.AppendBool(e.buf, value)
}

// millisField appends a time or duration in the simulator's unit, milliseconds with a fraction.
func (e *encoder) millisField(key string, value routing.Micros) {
	e.key(key)
	e.buf = strconv.AppendFloat(e.buf, float64(value)/microsPerMilli, 'f', -1, 64)
}

// text returns a string field, or "" if it is missing.
func text(value *fastjson.Value, key string) string { return string(value.GetStringBytes(key)) }

// micros converts milliseconds, the simulator's unit, to microseconds.
func micros(millis float64) routing.Micros {
	return routing.Micros(math.Round(millis * microsPerMilli))
}
