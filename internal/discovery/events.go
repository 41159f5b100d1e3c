package discovery

import (
	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"
)

// maxGapPolls is the number of further polls for missing events before these events are skipped.
const maxGapPolls = 3

// applyAnswer applies the new events of an answer and sets w.caughtUp. It ignores events that were already applied. If
// event numbers are missing, it does not apply the events after the gap until the missing ones arrive, or until
// maxGapPolls further polls have not returned them. If the newest number is less than the last applied one, the server
// has restarted its numbering, and all events of the answer are new. An invalid event is logged and skipped.
func (w *Watch) applyAnswer(v *fastjson.Value) error {
	newest, ok := integerField(v, fieldNewest)
	if !ok {
		return errNoNumber
	}
	w.caughtUp = false
	skippedGap := false
	events := v.GetArray(fieldEvents)
	if newest < w.lastApplied {
		w.log.WithFields(logrus.Fields{"last": w.lastApplied, "number": newest}).Warn("discovery: event numbers restarted")
		w.lastApplied = 0
	}
	for _, event := range events {
		number := event.GetInt64(fieldNumber)
		if number <= w.lastApplied {
			continue
		}
		if w.lastApplied > 0 && number > w.lastApplied+1 && w.gapPolls < maxGapPolls {
			w.gapPolls++
			w.log.WithFields(logrus.Fields{"last": w.lastApplied, "number": number}).
				Warn("discovery: events missing, polling again")
			return nil
		}
		skippedGap = skippedGap || w.gapPolls > 0 && number > w.lastApplied+1
		w.gapPolls = 0
		if err := w.applyEvent(event); err != nil {
			w.log.WithError(err).WithField("number", number).Warn("discovery: event skipped")
		}
		w.lastApplied = number
	}
	w.caughtUp = w.lastApplied >= newest && !skippedGap
	return nil
}

// applyEvent passes an event to the Handler.
func (w *Watch) applyEvent(event *fastjson.Value) error {
	if endpoints := event.Get(fieldEndpoints); endpoints != nil {
		list, err := parseEndpoints(endpoints, w.log)
		if err != nil {
			return err
		}
		w.handler.UpdateEndpoints(endpoints.GetBool(fieldComplete), list)
		return nil
	}
	if purge := event.Get(fieldPurge); purge != nil {
		return w.applyPurge(purge)
	}
	return errUnknownEvent
}

// applyPurge passes a purge to the Handler. A purge that names an object is of that object, otherwise of a group.
func (w *Watch) applyPurge(purge *fastjson.Value) error {
	issued, ok := integerField(purge, fieldIssued)
	if !ok || issued <= 0 {
		return errNoIssueTime
	}
	if object := purge.GetStringBytes(fieldObject); len(object) > 0 {
		w.handler.Purge(string(object), false, 0, issued)
		return nil
	}
	group, ok := integerField(purge, fieldGroup)
	if !ok {
		return errNoScope
	}
	w.handler.Purge("", true, int(group), issued)
	return nil
}
