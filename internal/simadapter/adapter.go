// Package simadapter connects package routing to the simulator. The simulator sends batches of events for any
// number of router instances, one batch per line of JSON. The adapter answers each batch with a line that contains
// the actions decided by the instances' routers. It maps the simulator's names to the code's terms, makes no
// decisions, and takes the time from each batch.
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

const streamBuffer = 1 << 20 // in bytes

// Adapter serves all instances of one process. It is not safe for concurrent use.
type Adapter struct {
	in        *bufio.Reader
	out       *bufio.Writer
	parser    fastjson.Parser
	lists     [16][]listEntry // endpoint lists, indexed by page
	instances map[int]*instance
	answer    encoder
}

// New returns an Adapter that reads batches from in and writes answers to out.
func New(in io.Reader, out io.Writer) *Adapter {
	return &Adapter{
		in:        bufio.NewReaderSize(in, streamBuffer),
		out:       bufio.NewWriterSize(out, streamBuffer),
		instances: map[int]*instance{},
	}
}

// Run answers batches until the input ends. It returns an error if a batch or an instance's settings are invalid.
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

// answerGroup answers the events of one instance, and reports whether there were any actions.
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
	a.answer.buf[len(a.answer.buf)-1] = ']' // replaces the last comma
	a.answer.raw("}")
	return true, nil
}

// handle handles one event. Some events concern the process, the others an instance.
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
