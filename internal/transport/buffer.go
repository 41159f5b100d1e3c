package transport

// Sizes of the buffers that are kept for reuse, in bytes.
const (
	minBuffer = 1 << 12
	maxBuffer = 1 << 19
)

// SetMaxSpareBytes sets how many bytes of buffers are kept for reuse.
func (e *Engine) SetMaxSpareBytes(bytes int) { e.maxSpareBytes = bytes }

// GetBuffer gives an empty buffer with a capacity of at least size bytes; PutBuffer takes it back.
func (e *Engine) GetBuffer(size int) []byte {
	for i := len(e.freeBuffers) - 1; i >= 0; i-- {
		b := e.freeBuffers[i]
		if cap(b) < size {
			continue
		}
		last := len(e.freeBuffers) - 1
		e.freeBuffers[i] = e.freeBuffers[last]
		e.freeBuffers = e.freeBuffers[:last]
		e.spareBytes -= cap(b)
		return b[:0]
	}
	capacity := minBuffer
	for capacity < size {
		capacity *= 2
	}
	return make([]byte, 0, capacity)
}

// PutBuffer takes a buffer back for reuse.
func (e *Engine) PutBuffer(b []byte) {
	size := cap(b)
	if size < minBuffer || size > maxBuffer || e.spareBytes+size > e.maxSpareBytes {
		return
	}
	e.freeBuffers = append(e.freeBuffers, b)
	e.spareBytes += size
}

// Decoder reads messages in place.
type Decoder interface {
	// Next reads the message that b begins with and gives its size; 0: it has not been received completely.
	Next(b []byte) (size int, err error)
}

// ReceiveBuffer holds what was received of an incomplete message, in a reused buffer.
type ReceiveBuffer struct{ bytes []byte }

// Len is how many bytes are held.
func (r *ReceiveBuffer) Len() int { return len(r.bytes) }

// Bytes is what is held, good until the next call.
func (r *ReceiveBuffer) Bytes() []byte { return r.bytes }

// Decode reads all complete messages of what was held and b, and holds the rest. The error is the decoder's.
func (r *ReceiveBuffer) Decode(e *Engine, b []byte, d Decoder) error {
	if len(r.bytes) > 0 {
		r.add(e, b)
		b = r.bytes
	}
	for len(b) > 0 {
		size, err := d.Next(b)
		if err != nil {
			return err
		}
		if size == 0 {
			break
		}
		b = b[size:]
	}
	switch {
	case len(b) == 0:
		r.Release(e)
	case len(r.bytes) > 0:
		r.bytes = r.bytes[:copy(r.bytes, b)]
	default:
		r.add(e, b)
	}
	return nil
}

func (r *ReceiveBuffer) add(e *Engine, b []byte) {
	size := len(r.bytes) + len(b)
	if size > cap(r.bytes) {
		larger := append(e.GetBuffer(size), r.bytes...)
		e.PutBuffer(r.bytes)
		r.bytes = larger
	}
	r.bytes = append(r.bytes, b...)
}

// Release drops what is held and gives the buffer back.
func (r *ReceiveBuffer) Release(e *Engine) {
	e.PutBuffer(r.bytes)
	r.bytes = nil
}
