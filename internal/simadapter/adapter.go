// Package simadapter runs the decisions of package routing on the simulator's wire. The simulator sends batches of
// events, a line of JSON each, for any number of router instances; each batch is answered with a line of the actions
// that the instances' routers decide. The wire's names end in this package. It decides nothing and has no clock of
// its own: each batch carries the time.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fastjson"

	"threadrun/routing"
)

const streamBuffer = 1 << 20 // bytes

// Adapter serves the instances of one process. It is not safe for concurrent use.
type Adapter struct {
	in        *bufio.Reader
	out       *bufio.Writer
	parser    fastjson.Parser
	lists     [16][]listEntry // endpoint lists by page
	instances map[int]*instance
	answer    encoder
}

// New makes an adapter between two streams.
func New(in io.Reader, out io.Writer) *Adapter {
	return &Adapter{
		in:        bufio.NewReaderSize(in, streamBuffer),
		out:       bufio.NewWriterSize(out, streamBuffer),
		instances: map[int]*instance{},
	}
}

// Run answers batches until the input ends, or until a batch or an instance's settings are faulty.
func (a *Adapter) Run() error {
	for {
		line, readErr := a.in.ReadBytes('\n')
		if len(line) > 1 {
			err := a.answerBatch(line)
			if err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

func (a *Adapter) answerBatch(line []byte) error {
	batch, err := a.parser.ParseBytes(line)
	if err != nil {
		return fmt.Errorf("batch: %w", err)
	}
	now := micros(batch.GetFloat64("ts"))
	a.answer.reset()
	a.answer.raw(`{"groups":[`)
	first := true
	for _, group := range batch.GetArray("groups") {
		answered, err := a.answerGroup(now, group, first)
		if err != nil {
			return err
		}
		first = first && !answered
	}
	a.answer.raw("]}\n")
	_, err = a.out.Write(a.answer.buf)
	if err != nil {
		return err
	}
	return a.out.Flush()
}

// answerGroup answers the events of one instance. It tells whether there was anything to answer.
func (a *Adapter) answerGroup(now routing.Micros, group *fastjson.Value, first bool) (bool, error) {
	id := group.GetInt("router")
	start := len(a.answer.buf)
	if !first {
		a.answer.raw(",")
	}
	a.answer.raw(`{"router":`)
	a.answer.buf = strconv.AppendInt(a.answer.buf, int64(id), 10)
	a.answer.raw(`,"actions":[`)
	body := len(a.answer.buf)
	for _, event := range group.GetArray("happened") {
		err := a.handle(id, now, event)
		if err != nil {
			return false, err
		}
	}
	if len(a.answer.buf) == body {
		a.answer.buf = a.answer.buf[:start]
		return false, nil
	}
	a.answer.buf[len(a.answer.buf)-1] = ']' // in place of the last comma
	a.answer.raw("}")
	return true, nil
}

// handle takes one event. Events of the process come first, the others are an instance's.
func (a *Adapter) handle(id int, now routing.Micros, event *fastjson.Value) error {
	op := text(event, "op")
	switch op {
	case "pool":
		a.storeList(event)
		return nil
	case "new_instance":
		inst, err := newInstance(a, event)
		if err != nil {
			return fmt.Errorf("instance %d: %w", id, err)
		}
		a.instances[id] = inst
		return nil
	case "retire":
		delete(a.instances, id)
		return nil
	}
	inst := a.instances[id]
	if inst == nil {
		return nil
	}
	inst.router.SetTime(now)
	inst.handle(op, event)
	return nil
}
