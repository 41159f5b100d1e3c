package transport

// HandleWritten hears that n more of the bytes given to the socket were taken by the kernel. It needs no lock: the
// poller may call it while another goroutine holds the lock and waits for the poller's.
func (c *Conn) HandleWritten(n int) { c.sent.Add(int64(n)) }

// HandleConnected hears, without the lock, that a dialed connection is established; attach makes its socket, under the
// lock. False: the connection was closed meanwhile or attach failed, and what was connected is to be closed.
func (c *Conn) HandleConnected(attach func() (Socket, error)) bool {
	c.engine.mu.Lock()
	defer c.engine.endCallback(c)
	if c.closed {
		return false
	}
	socket, err := attach()
	if err != nil {
		c.Fail(&RemoteError{err})
		return false
	}
	c.socket = socket
	c.cancelDial = nil
	c.sendEarly()
	if connector, ok := c.handler.(Connector); ok {
		connector.Connected()
	}
	return true
}

// sendEarly sends what was given to Send before the connection was established.
func (c *Conn) sendEarly() {
	if len(c.early) == 0 {
		return
	}
	early := c.early
	c.early = nil
	c.sent.Add(int64(c.socket.Send([][]byte{early}, false)))
}

// HandleData hands received bytes to the handler. It is called without the lock.
func (c *Conn) HandleData(b []byte) {
	c.engine.mu.Lock()
	c.engine.dispatchData(c, b)
}

// HandleClosed hears, without the lock, that the connection was ended by the peer or on the way to it.
func (c *Conn) HandleClosed(err error) {
	c.engine.mu.Lock()
	c.engine.dispatchClosed(c, err)
}

// dispatchData runs a handler's callback; the lock, which is held, is released. There may be no connection.
func (e *Engine) dispatchData(c *Conn, b []byte) {
	defer e.endCallback(c)
	if c == nil || c.closed || c.handler == nil {
		return
	}
	if err := c.handler.Data(b); err != nil {
		c.Fail(err)
	}
}

// dispatchClosed runs a handler's callback; the lock, which is held, is released. There may be no connection.
func (e *Engine) dispatchClosed(c *Conn, err error) {
	defer e.endCallback(c)
	if c == nil {
		return
	}
	c.Fail(&RemoteError{err})
	if c.released != nil {
		c.released()
	}
}

// Listener takes in accepted connections.
type Listener struct {
	engine   *Engine
	accept   func(*Conn) Handler
	accepted int // connections; under the engine's lock
}

// Admit takes in a connection, without the lock; attach gives it its socket, under the lock, and must end no
// connection. False: there are too many or attach failed, and what was accepted is to be closed.
func (l *Listener) Admit(attach func(*Conn) (Socket, error)) bool {
	e := l.engine
	e.mu.Lock()
	if l.accepted >= e.maxAccepted {
		e.mu.Unlock()
		return false
	}
	l.accepted++
	c := &Conn{engine: e, released: func() { l.accepted-- }}
	defer e.endCallback(c)
	socket, err := attach(c)
	if err != nil {
		c.closed = true
		l.accepted--
		e.log.WithError(err).Warn("transport: accepted connection dropped")
		return false
	}
	c.socket = socket
	c.handler = l.accept(c)
	return true
}
