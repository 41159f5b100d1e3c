// Package simadapter connects package routing to the simulator. The simulator sends batches of events for any
// number of router instances, one batch per line of JSON. The adapter answers each batch with a line that contains
// the actions decided by the instances' routers. It translates the simulator's names into the terms of package
// routing, makes no decisions, and takes the time from each batch.
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

const streamBufferSize = 1 << 20 // in bytes

// Adapter serves all instances of one process. It is not safe for concurrent use.
type Adapter struct {
	in        *bufio.Reader
	out       *bufio.Writer
	parser    fastjson.Parser
	lists     [16][]listEntry   // endpoint lists, indexed by page
	instances map[int]*instance // by number
	answer    encoder           // the answer to the current batch
}

// New returns an Adapter that reads batches from in and writes answers to out.
func New(in io.Reader, out io.Writer) *Adapter {
	return &Adapter{
		in:        bufio.NewReaderSize(in, streamBufferSize),
		out:       bufio.NewWriterSize(out, streamBufferSize),
		instances: map[int]*instance{},
	}
}

// Run answers batches until the input ends. It returns an error if a batch or an instance's settings are invalid,
// or if reading or writing fails.
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

// answerBatch writes the answer to one line of input.
func (a *Adapter) answerBatch(line []byte) error {
	batch, err := a.parser.ParseBytes(line)
	if err != nil {
		return fmt.Errorf("parse batch: %w", err)
	}
	now := micros(batch.GetFloat64("ts"))
	a.answer.reset()
	a.answer.raw(`{"groups":[`)
	first := true
	for _, group := range batch.GetArray("groups") {
		hasActions, err := a.answerGroup(now, group, first)
		if err != nil {
			return err
		}
		first = first && !hasActions
	}
	a.answer.raw("]}\n")
	_, err = a.out.Write(a.answer.buf)
	if err != nil {
		return err
	}
	return a.out.Flush()
}

// answerGroup handles the events of one instance and encodes its actions. It encodes nothing and returns false if
// there are no actions. first tells whether the answer does not contain a group yet.
func (a *Adapter) answerGroup(now routing.Micros, group *fastjson.Value, first bool) (bool, error) {
	id := group.GetInt("router")
	groupStart := len(a.answer.buf)
	if !first {
		a.answer.raw(",")
	}
	a.answer.raw(`{"router":`)
	a.answer.buf = strconv.AppendInt(a.answer.buf, int64(id), 10)
	a.answer.raw(`,"actions":[`)
	actionsStart := len(a.answer.buf)
	for _, event := range group.GetArray("happened") {
		err := a.handle(id, now, event)
		if err != nil {
			return false, err
		}
	}
	if len(a.answer.buf) == actionsStart {
		a.answer.buf = a.answer.buf[:groupStart]
		return false, nil
	}
	a.answer.buf[len(a.answer.buf)-1] = ']' // replaces the comma after the last action
	a.answer.raw("}")
	return true, nil
}

// handle handles one event. Events that define endpoint lists, or create or remove an instance, are handled here; all
// others are passed to the instance, and ignored if it does not exist.
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
