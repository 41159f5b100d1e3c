package peers

const (
	maxSenders = 1024 // starts of routers that are remembered
	windowSize = 64   // counters, one a bit
)

// replayWindow tells which counters of one start of a router were seen: the highest, and which of those before it
// (RFC 4303, section 3.4.3).
type replayWindow struct {
	highest  uint64
	seen     uint64 // bit n: highest-n was seen
	lastUsed uint64
}

// accept tells whether a counter is new, and notes it. One that is too far back counts as seen.
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

// replayFilter holds the windows of the senders heard of last.
type replayFilter struct {
	windows map[senderID]*replayWindow
	uses    uint64
}

// accept tells whether a sender's counter is new, and notes it.
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

// forgetOldest drops the sender heard of longest ago. No two were used last at one time, so the order does not matter.
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
