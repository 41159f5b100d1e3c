package transport

// Minimum and maximum capacity of the buffers that are kept for reuse, in bytes.
const (
	minBuffer = 1 << 12
	maxBuffer = 1 << 19
)

// SetMaxSpareBytes sets the maximum total capacity, in bytes, of the buffers that are kept for reuse.
func (e *Engine) SetMaxSpareBytes(bytes int) { e.maxSpareBytes = bytes }

// GetBuffer returns an empty buffer with a capacity of at least size bytes. The caller may return it with
// PutBuffer.
func (e *Engine) GetBuffer(size int) []byte {
	for i := len(e.spareBuffers) - 1; i >= 0; i-- {
		b := e.spareBuffers[i]
		if cap(b) < size {
			continue
		}
		last := len(e.spareBuffers) - 1
		e.spareBuffers[i] = e.spareBuffers[last]
		e.spareBuffers = e.spareBuffers[:last]
		e.spareBytes -= cap(b)
		return b[:0]
	}
	capacity := minBuffer
	for capacity < size {
		capacity *= 2
	}
	return make([]byte, 0, capacity)
}

// PutBuffer returns a buffer for reuse. The caller must not use it afterward. The buffer is dropped if it is too
// small or too large, or if the limit of SetMaxSpareBytes would be exceeded.
func (e *Engine) PutBuffer(b []byte) {
	size := cap(b)
	if size < minBuffer || size > maxBuffer || e.spareBytes+size > e.maxSpareBytes {
		return
	}
	e.spareBuffers = append(e.spareBuffers, b)
	e.spareBytes += size
}

// Decoder decodes and handles messages in place.
type Decoder interface {
	// Next handles the message at the start of b and returns its size, or 0 if it is incomplete. b is valid only
	// during the call.
	Next(b []byte) (size int, err error)
}

// ReceiveBuffer stores the received bytes of an incomplete message in a buffer of the engine. The zero value is
// empty.
type ReceiveBuffer struct{ bytes []byte }

// Len returns the number of stored bytes.
func (r *ReceiveBuffer) Len() int { return len(r.bytes) }

// Bytes returns the stored bytes, which are valid until the next call of Decode or Release.
func (r *ReceiveBuffer) Bytes() []byte { return r.bytes }

// Decode passes all complete messages in the stored bytes followed by b to d, and stores the rest. If the decoder
// fails, Decode returns its error, and the stored bytes are unspecified.
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

// add stores b after the stored bytes.
func (r *ReceiveBuffer) add(e *Engine, b []byte) {
	size := len(r.bytes) + len(b)
	if size > cap(r.bytes) {
		larger := append(e.GetBuffer(size), r.bytes...)
		e.PutBuffer(r.bytes)
		r.bytes = larger
	}
	r.bytes = append(r.bytes, b...)
}

// Release discards the stored bytes and returns the buffer to the engine.
func (r *ReceiveBuffer) Release(e *Engine) {
	e.PutBuffer(r.bytes)
	r.bytes = nil
}
