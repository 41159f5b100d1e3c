package peers

const (
	maxSenders = 1024 // number of senders whose windows are kept
	windowSize = 64   // number of counters in a window, one per bit of replayWindow.received
)

// replayWindow records which counters of a sender were received: the highest one, and which of the windowSize-1 before
// it (RFC 4303, section 3.4.3).
type replayWindow struct {
	highest  uint64
	received uint64 // bit n: highest-n was received
	lastUsed uint64 // replayFilter.uses when a counter was last accepted
}

// accept reports whether a counter was not received before, and records it. Counters before the window count as
// received.
func (w *replayWindow) accept(counter uint64) bool {
	if counter > w.highest {
		w.advance(counter)
		return true
	}
	age := w.highest - counter
	if age >= windowSize {
		return false
	}
	bit := uint64(1) << age
	isNew := w.received&bit == 0
	w.received |= bit
	return isNew
}

// advance moves the window forward to a new highest counter.
func (w *replayWindow) advance(counter uint64) {
	shift := counter - w.highest
	if shift < windowSize {
		w.received = w.received<<shift | 1
	} else {
		w.received = 1
	}
	w.highest = counter
}

// replayFilter contains the windows of the senders that were heard most recently, at most maxSenders.
type replayFilter struct {
	windows map[senderID]*replayWindow
	uses    uint64 // number of calls of accept, by which lastUsed orders the windows
}

// accept reports whether a sender's counter was not received before, and records it.
func (f *replayFilter) accept(sender senderID, counter uint64) bool {
	f.uses++
	w := f.windows[sender]
	if w == nil {
		if len(f.windows) >= maxSenders {
			f.evictOldest()
		}
		w = &replayWindow{}
		f.windows[sender] = w
	}
	if !w.accept(counter) {
		return false
	}
	w.lastUsed = f.uses
	return true
}

// evictOldest removes the window of the sender that was heard least recently. All values of lastUsed differ, so the
// map's iteration order does not matter.
func (f *replayFilter) evictOldest() {
	var oldest senderID
	oldestUse := f.uses
	for sender, w := range f.windows {
		if w.lastUsed < oldestUse {
			oldest = sender
			oldestUse = w.lastUsed
		}
	}
	delete(f.windows, oldest)
}
