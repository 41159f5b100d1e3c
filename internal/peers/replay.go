package peers

const (
	maxSenders = 1024 // number of senders that are remembered
	windowSize = 64   // number of counters that are remembered, one per bit
)

// replayWindow records which counters of a sender were received: the highest one, and those shortly before it (RFC
// 4303, section 3.4.3).
type replayWindow struct {
	highest  uint64
	seen     uint64 // bit n: highest-n was received
	lastUsed uint64
}

// accept reports whether a counter is new, and records it. Counters before the window count as received.
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
	isNew := w.seen&bit == 0
	w.seen |= bit
	return isNew
}

func (w *replayWindow) advance(counter uint64) {
	shift := counter - w.highest
	if shift < windowSize {
		w.seen = w.seen<<shift | 1
	} else {
		w.seen = 1
	}
	w.highest = counter
}

// replayFilter contains the windows of the senders that were heard most recently.
type replayFilter struct {
	windows map[senderID]*replayWindow
	uses    uint64
}

// accept reports whether a sender's counter is new, and records it.
func (f *replayFilter) accept(sender senderID, counter uint64) bool {
	f.uses++
	w := f.windows[sender]
	if w == nil {
		if len(f.windows) >= maxSenders {
			f.forgetOldest()
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

// forgetOldest removes the sender that was heard least recently. All values of lastUsed differ, so the map's
// iteration order does not matter.
func (f *replayFilter) forgetOldest() {
	var oldest senderID
	least := f.uses
	for sender, w := range f.windows {
		if w.lastUsed < least {
			oldest = sender
			least = w.lastUsed
		}
	}
	delete(f.windows, oldest)
}
