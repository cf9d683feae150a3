package rpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
)

// Limits of a connection.
const (
	maxQueued = 48 << 20 // bytes waiting to be written; exceeding it closes the connection

	maxReusedBuffer = 64 << 10 // bytes; larger buffers are released after use
	readBuffer      = 4 << 10
	writeTimeout    = 10 * time.Second
)

// Conn is a connection to a peer. Its methods may be called from any goroutine.
type Conn struct {
	options      Options
	socket       net.Conn // nil if transport is used
	transport    Transport
	tag          atomic.Value
	acceptOrder  uint64       // see AcceptOrder
	lastReceived atomic.Int64 // monotonicNanos of the last read frame
	done         chan struct{}

	mu        sync.Mutex
	outbound  []byte
	calls     pending
	err       error
	onClose   []func(error)
	wake      chan struct{}
	pingTimer *time.Timer
}

var processStart = time.Now()

func monotonicNanos() int64 { return int64(time.Since(processStart)) }

func newConn(socket net.Conn, options Options) *Conn {
	c := &Conn{
		options: options, socket: socket, done: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	c.lastReceived.Store(monotonicNanos())
	return c
}

func (c *Conn) start() {
	go c.writeLoop()
	go c.readLoop()
	c.mu.Lock()
	c.pingTimer = time.AfterFunc(c.options.PingAfter, c.checkLiveness)
	c.mu.Unlock()
}

// Dial connects to a peer.
func Dial(ctx context.Context, address string, options Options) (*Conn, error) {
	options = options.withDefaults()
	socket, err := options.DialContext(ctx, address)
	if err != nil {
		return nil, err
	}
	c := newConn(socket, options)
	c.start()
	return c, nil
}

// Tag returns the value set by SetTag, or nil.
func (c *Conn) Tag() any { return c.tag.Load() }

// SetTag attaches a value to the connection, such as the peer's identity. All values of one connection must have the
// same type.
func (c *Conn) SetTag(value any) { c.tag.Store(value) }

// RemoteAddress returns the peer's address, for logs. It is empty for a connection over a Transport.
func (c *Conn) RemoteAddress() string {
	if c.socket == nil {
		return ""
	}
	return c.socket.RemoteAddr().String()
}

// AcceptOrder returns the position of the connection among all connections that this process has accepted, starting at 1.
// It is 0 for a connection that this process has opened. A peer that closes a connection before it opens the next one has
// the newest of its connections accepted last, also across its restart; the order in which their first messages are
// handled says nothing about that, because each connection is read by a goroutine of its own.
func (c *Conn) AcceptOrder() uint64 { return c.acceptOrder }

// Done returns a channel that is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns why the connection was closed, or nil while it is open.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// OnClose registers f, which is called when the connection closes, or at once if it is closed already.
func (c *Conn) OnClose(f func(error)) {
	c.mu.Lock()
	if err := c.err; err != nil {
		c.mu.Unlock()
		f(err)
		return
	}
	c.onClose = append(c.onClose, f)
	c.mu.Unlock()
}

// Close closes the connection. Pending calls fail with ErrClosed.
func (c *Conn) Close() { c.fail(ErrClosed) }

func (c *Conn) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	calls, onClose := c.calls.takeAll(), c.onClose
	c.onClose, c.outbound = nil, nil
	if c.pingTimer != nil {
		c.pingTimer.Stop()
	}
	c.mu.Unlock()
	close(c.done)
	if c.transport != nil {
		c.transport.Close()
	} else {
		_ = c.socket.Close()
	}
	for _, done := range calls {
		done(nil, err)
	}
	for _, f := range onClose {
		f(err)
	}
}

// Notify queues a message that has no reply. A nil error does not mean that the message is delivered.
func (c *Conn) Notify(method wire.Method, message msgp.Marshaler) error {
	return c.enqueue(frameNotice, method, 0, message)
}

// Start sends a request and returns without waiting for the reply. Done is called once, usually on the goroutine that
// reads the connection, so it must not block; the payload is valid only until it returns. There is no time-out: the
// call ends at the latest when the connection closes.
func (c *Conn) Start(method wire.Method, request msgp.Marshaler, done func(payload []byte, err error)) {
	c.begin(method, request, done)
}

func (c *Conn) begin(method wire.Method, request msgp.Marshaler, done replyFunc) uint32 {
	c.mu.Lock()
	if err := c.err; err != nil {
		c.mu.Unlock()
		done(nil, err)
		return 0
	}
	call := c.calls.add(done)
	c.mu.Unlock()
	if err := c.enqueue(frameRequest, method, call, request); err != nil {
		c.complete(call, nil, err)
	}
	return call
}

// complete ends a pending call; it does nothing if the call has ended.
func (c *Conn) complete(call uint32, payload []byte, err error) {
	c.mu.Lock()
	done := c.calls.take(call)
	c.mu.Unlock()
	if done != nil {
		done(payload, err)
	}
}

// StartCall is Start for a reply that is decoded into reply, unless that is nil, before done is called. A reply that can't be
// decoded says nothing about what became of the request: done gets ErrBadReply, and the connection is closed.
func (c *Conn) StartCall(method wire.Method, request msgp.Marshaler, reply msgp.Unmarshaler, done func(err error)) {
	c.beginCall(method, request, reply, done)
}

func (c *Conn) beginCall(method wire.Method, request msgp.Marshaler, reply msgp.Unmarshaler, done func(err error)) uint32 {
	return c.begin(method, request, func(payload []byte, err error) {
		if err != nil || reply == nil {
			done(err)
			return
		}
		if err = decodeReply(payload, reply); err == nil {
			done(nil)
			return
		}
		done(err)
		c.fail(err)
	})
}

// decodeReply decodes a reply, which must be exactly one message.
func decodeReply(payload []byte, reply msgp.Unmarshaler) error {
	rest, err := reply.UnmarshalMsg(payload)
	switch {
	case err != nil:
		return errors.Join(ErrBadReply, err)
	case len(rest) > 0:
		return ErrBadReply
	}
	return nil
}

// Call sends a request, waits for its reply, and decodes it into reply unless that is nil, as StartCall does.
func (c *Conn) Call(ctx context.Context, method wire.Method, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	result := make(chan error, 1)
	call := c.beginCall(method, request, reply, func(err error) { result <- err })
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
	}
	c.complete(call, nil, ctx.Err())
	return <-result // the reply may have arrived just before complete
}

func (c *Conn) enqueue(kind frameKind, method wire.Method, call uint32, message msgp.Marshaler) error {
	c.mu.Lock()
	if c.err != nil {
		err := c.err
		c.mu.Unlock()
		return err
	}
	at := len(c.outbound)
	outbound, err := appendFrame(c.outbound, kind, method, call, message)
	if err != nil {
		c.outbound = outbound[:at]
		c.mu.Unlock()
		return err
	}
	if c.transport != nil {
		c.outbound = outbound[:at]
		c.mu.Unlock()
		c.transport.WriteFrame(outbound[at:])
		return nil
	}
	c.outbound = outbound
	overflow := len(c.outbound) > maxQueued
	c.mu.Unlock()
	if overflow {
		c.fail(ErrOverflow)
		return ErrOverflow
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

func (c *Conn) writeLoop() {
	var spare []byte
	for {
		select {
		case <-c.wake:
		case <-c.done:
			return
		}
		c.mu.Lock()
		buffer := c.outbound
		c.outbound = spare[:0]
		c.mu.Unlock()
		if len(buffer) == 0 {
			spare = buffer
			continue
		}
		_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.socket.Write(buffer); err != nil {
			c.fail(err)
			return
		}
		spare = nil
		if cap(buffer) <= maxReusedBuffer {
			spare = buffer
		}
	}
}

// checkLiveness pings a peer that has sent nothing for a while, and closes the connection to an unresponsive one.
func (c *Conn) checkLiveness() {
	quiet := time.Duration(monotonicNanos() - c.lastReceived.Load())
	if quiet >= c.options.FailureTimeout {
		c.fail(ErrUnresponsive)
		return
	}
	if quiet >= c.options.PingAfter/2 {
		_ = c.enqueue(framePing, 0, 0, nil)
	}
	c.mu.Lock()
	if c.err == nil {
		c.pingTimer.Reset(c.options.PingAfter)
	}
	c.mu.Unlock()
}

func (c *Conn) readLoop() {
	reader := bufio.NewReaderSize(c.socket, readBuffer)
	var header [headerSize]byte
	var buffer []byte
	for {
		if _, err := io.ReadFull(reader, header[:]); err != nil {
			c.fail(err)
			return
		}
		size := int(binary.BigEndian.Uint32(header[:])) - (headerSize - 4)
		if size < 0 || size > MaxFrame {
			c.fail(ErrFrameTooLong)
			return
		}
		if cap(buffer) < size || cap(buffer) > maxReusedBuffer && size <= maxReusedBuffer {
			buffer = make([]byte, size)
		}
		payload := buffer[:size]
		if _, err := io.ReadFull(reader, payload); err != nil {
			c.fail(err)
			return
		}
		c.lastReceived.Store(monotonicNanos())
		c.handle(frameKind(header[4]), wire.Method(binary.BigEndian.Uint16(header[5:])), binary.BigEndian.Uint32(header[7:]), payload)
	}
}

func (c *Conn) handle(kind frameKind, method wire.Method, call uint32, payload []byte) {
	switch kind {
	case frameRequest, frameNotice:
		reply := Reply{conn: c, method: method, call: call, expected: kind == frameRequest}
		if handler := c.options.Mux.handlers[method]; handler != nil {
			handler(c, payload, reply)
			return
		}
		reply.Fail(ErrUnknownMethod)
	case frameReply:
		c.complete(call, payload, nil)
	case frameError:
		c.complete(call, nil, &RemoteError{Text: string(payload)})
	case framePing:
		_ = c.enqueue(framePong, 0, 0, nil)
	case framePong:
	default:
		c.fail(ErrUnknownFrame)
	}
}
