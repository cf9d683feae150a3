package rpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
)

// Bounds of a connection.
const (
	maxQueued = 48 << 20 // bytes that wait to be written; more ends the connection

	maxKeptBuffer = 64 << 10 // larger buffers are given back after use
	readBuffer    = 4 << 10
	writeTimeout  = 10 * time.Second
)

// Conn is a connection to a peer. Its methods may be called by any goroutine.
type Conn struct {
	options      Options
	socket       net.Conn // nil: the transport is used
	transport    Transport
	tag          atomic.Value
	lastReceived atomic.Int64 // steady time at which something was read last
	done         chan struct{}

	mu        sync.Mutex
	outbound  []byte
	calls     pending
	err       error
	onClose   []func(error)
	wake      chan struct{}
	pingTimer *time.Timer
}

var started = time.Now()

func steady() int64 { return int64(time.Since(started)) }

func newConn(socket net.Conn, options Options) *Conn {
	c := &Conn{
		options: options, socket: socket, done: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	c.lastReceived.Store(steady())
	return c
}

func (c *Conn) start() {
	go c.write()
	go c.read()
	c.mu.Lock()
	c.pingTimer = time.AfterFunc(c.options.PingAfter, c.watch)
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

// Tag returns what SetTag set, or nil.
func (c *Conn) Tag() any { return c.tag.Load() }

// SetTag keeps a value with the connection, as who the peer is. All values of one connection must have the same type.
func (c *Conn) SetTag(value any) { c.tag.Store(value) }

// RemoteAddress is the peer's address, for logs.
func (c *Conn) RemoteAddress() string {
	if c.socket == nil {
		return ""
	}
	return c.socket.RemoteAddr().String()
}

// Done is closed once the connection is.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err is why the connection is closed, nil while it is open.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// OnClose has f called once the connection is closed, at once if it is.
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

// Close ends the connection. Calls that wait fail with ErrClosed.
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

// Notify sends a message that gets no reply. Without an error it is queued, which promises nothing.
func (c *Conn) Notify(method wire.Method, message msgp.Marshaler) error {
	return c.queue(frameNotice, method, 0, message)
}

// Start sends a request. Done is called once, by the goroutine that reads the connection, so it must not wait for anything;
// the payload is its only until it returns. No time limit is kept: the connection's end ends the call.
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
	if err := c.queue(frameRequest, method, call, request); err != nil {
		c.complete(call, nil, err)
	}
	return call
}

// complete ends a call, if it has not ended.
func (c *Conn) complete(call uint32, payload []byte, err error) {
	c.mu.Lock()
	done := c.calls.take(call)
	c.mu.Unlock()
	if done != nil {
		done(payload, err)
	}
}

// Call sends a request and waits for its reply, which it decodes into reply unless that is nil.
func (c *Conn) Call(ctx context.Context, method wire.Method, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	result := make(chan error, 1)
	call := c.begin(method, request, func(payload []byte, err error) {
		if err == nil && reply != nil {
			_, err = reply.UnmarshalMsg(payload)
		}
		result <- err
	})
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
	}
	c.complete(call, nil, ctx.Err())
	return <-result // the reply may just have been decoded
}

func (c *Conn) queue(kind frameKind, method wire.Method, call uint32, message msgp.Marshaler) error {
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
	over := len(c.outbound) > maxQueued
	c.mu.Unlock()
	if over {
		c.fail(ErrOverflow)
		return ErrOverflow
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

func (c *Conn) write() {
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
		if cap(buffer) <= maxKeptBuffer {
			spare = buffer
		}
	}
}

// watch pings a quiet peer, and closes the connection to an unresponsive one.
func (c *Conn) watch() {
	quiet := time.Duration(steady() - c.lastReceived.Load())
	if quiet >= c.options.FailureTimeout {
		c.fail(ErrUnresponsive)
		return
	}
	if quiet >= c.options.PingAfter/2 {
		_ = c.queue(framePing, 0, 0, nil)
	}
	c.mu.Lock()
	if c.err == nil {
		c.pingTimer.Reset(c.options.PingAfter)
	}
	c.mu.Unlock()
}

func (c *Conn) read() {
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
			c.fail(ErrTooLong)
			return
		}
		if cap(buffer) < size || cap(buffer) > maxKeptBuffer && size <= maxKeptBuffer {
			buffer = make([]byte, size)
		}
		payload := buffer[:size]
		if _, err := io.ReadFull(reader, payload); err != nil {
			c.fail(err)
			return
		}
		c.lastReceived.Store(steady())
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
		reply.Fail(ErrMethod)
	case frameReply:
		c.complete(call, payload, nil)
	case frameError:
		c.complete(call, nil, &RemoteError{Text: string(payload)})
	case framePing:
		_ = c.queue(framePong, 0, 0, nil)
	}
}
