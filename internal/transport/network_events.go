package transport

// HandleWritten records that the kernel has accepted n more of the bytes passed to the socket. To avoid a deadlock
// it does not acquire the engine's lock: the poller may call it while it holds the lock of its connection, for
// which a goroutine that holds the engine's lock may wait.
func (c *Conn) HandleWritten(n int) { c.sent.Add(int64(n)) }

// HandleConnected handles the establishment of a dialed connection. It must be called without the lock, and calls
// attach under the lock to create the socket. It returns false if the connection was closed before or attach
// failed; the caller must then close the network's connection.
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
	c.flushConnectBuffer()
	if connector, ok := c.handler.(Connector); ok {
		connector.Connected()
	}
	return true
}

// flushConnectBuffer sends the bytes that were passed to Send before the connection was established.
func (c *Conn) flushConnectBuffer() {
	if len(c.connectBuffer) == 0 {
		return
	}
	buffered := c.connectBuffer
	c.connectBuffer = nil
	c.sent.Add(int64(c.socket.Send([][]byte{buffered}, false)))
}

// HandleData passes received bytes to the handler. It must be called without the lock.
func (c *Conn) HandleData(b []byte) {
	c.engine.mu.Lock()
	c.engine.dispatchData(c, b)
}

// HandleClosed handles the end of the connection, or the failure of the connect. The handler's Closed is called
// with err in a RemoteError, unless the connection is already closed. HandleClosed must be called without the
// lock.
func (c *Conn) HandleClosed(err error) {
	c.engine.mu.Lock()
	c.engine.dispatchClosed(c, err)
}

// dispatchData calls the handler's Data. It must be called with the lock held, and releases it. c is nil if the
// network's connection has not been attached to a Conn.
func (e *Engine) dispatchData(c *Conn, b []byte) {
	defer e.endCallback(c)
	if c == nil || c.closed || c.handler == nil {
		return
	}
	if err := c.handler.Data(b); err != nil {
		c.Fail(err)
	}
}

// dispatchClosed calls the handler's Closed. It must be called with the lock held, and releases it. c is nil if the
// network's connection has not been attached to a Conn.
func (e *Engine) dispatchClosed(c *Conn, err error) {
	defer e.endCallback(c)
	if c == nil {
		return
	}
	c.Fail(&RemoteError{err})
	if c.onClosed != nil {
		c.onClosed()
	}
}

// Listener creates the Conns of accepted connections, up to the engine's limit.
type Listener struct {
	engine   *Engine
	accept   func(*Conn) Handler
	accepted int // number of accepted connections that are open; guarded by the engine's lock
}

// Admit adds an accepted connection. It must be called without the lock, and calls attach under the lock to create
// the socket. attach must not end any connection, because HandleClosed would wait for the lock. Admit returns
// false if the limit of Engine.SetMaxAccepted is reached or attach failed; the caller must then close the
// network's connection.
func (l *Listener) Admit(attach func(*Conn) (Socket, error)) bool {
	e := l.engine
	e.mu.Lock()
	if l.accepted >= e.maxAccepted {
		e.mu.Unlock()
		return false
	}
	l.accepted++
	c := &Conn{engine: e, onClosed: func() { l.accepted-- }}
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
