package httpclient

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"ravendale/balancer/http1"
)

const (
	readBuffer   = 4 << 10 // bytes that a Client receives at once
	smallRequest = 8 << 10 // bytes; a longer request is written while its response is awaited
)

// Options configures a Client.
type Options struct {
	Address        string        // host:port
	ConnectTimeout time.Duration // 0: only the context's
	// ExchangeTimeout is how long an exchange may take from the connection to the end of the response; 0: only the
	// context's.
	ExchangeTimeout time.Duration
	// IdleTimeout is how long the connection is kept for the next request; 0: each request gets a new connection, and asks
	// the server to close it.
	IdleTimeout time.Duration
	MaxBody     int // maximum size of a response's body in bytes
}

// Client sends requests to one address, one at a time. It is not safe for concurrent use.
type Client struct {
	options Options
	conn    *clientConn // the connection that is kept; nil if there is none
}

// clientConn is a connection of a Client.
type clientConn struct {
	socket   net.Conn
	reader   *Reader
	lastUsed time.Time
}

// New returns a client without a connection.
func New(options Options) *Client { return &Client{options: options} }

// Close closes the connection that is kept.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.socket.Close()
		c.conn = nil
	}
}

// Do sends a request and returns its response. After an error the request may have been carried out, unless the error is
// that of a connect: a *net.OpError whose Op is "dial".
//
// A request that may be repeated, a GET, is sent once more on a new connection if the connection that was kept has ended
// before the response.
func (c *Client) Do(ctx context.Context, request *Request) (*http1.Response, error) {
	if err := request.check(); err != nil {
		return nil, err
	}
	if conn := c.takeConn(); conn != nil {
		response, err := c.exchange(ctx, conn, request)
		if err == nil || !request.mayRepeat() || !endedBeforeResponse(err) {
			return response, err
		}
	}
	conn, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	return c.exchange(ctx, conn, request)
}

// endedBeforeResponse reports whether a connection has ended without a byte of the response: as a connection does that the
// server had closed already.
func endedBeforeResponse(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// takeConn returns the connection that was kept, if it may still be used, and nil otherwise.
func (c *Client) takeConn() *clientConn {
	conn := c.conn
	c.conn = nil
	if conn == nil {
		return nil
	}
	if time.Since(conn.lastUsed) < c.options.IdleTimeout && isIdleConn(conn.socket) {
		return conn
	}
	_ = conn.socket.Close()
	return nil
}

func (c *Client) dial(ctx context.Context) (*clientConn, error) {
	dialer := net.Dialer{Timeout: c.options.ConnectTimeout}
	socket, err := dialer.DialContext(ctx, "tcp", c.options.Address)
	if err != nil {
		return nil, err
	}
	return &clientConn{socket: socket, reader: NewReader(socket, readBuffer)}, nil
}

// exchange sends a request on a connection and reads the response, which may arrive before the request is written. It keeps
// the connection if another request may be sent on it, and closes it otherwise.
func (c *Client) exchange(ctx context.Context, conn *clientConn, request *Request) (*http1.Response, error) {
	if c.options.ExchangeTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.options.ExchangeTimeout)
		defer cancel()
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.socket.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	written := conn.write(request.encode(c.options.IdleTimeout == 0))
	response, err := conn.reader.Response(request.Method, c.options.MaxBody)
	if err != nil {
		_ = conn.socket.Close()
		return nil, cmp.Or(ctx.Err(), err) // the end of the context shows as a timeout of the socket
	}
	if c.options.IdleTimeout > 0 && !response.Close && conn.reader.Buffered() == 0 && isWritten(written) && stop() {
		conn.lastUsed = time.Now()
		c.conn = conn
	} else {
		_ = conn.socket.Close()
	}
	return response, nil
}

// write sends a request; the returned channel receives the result. After a failed write the response may still arrive.
func (c *clientConn) write(request []byte) <-chan error {
	written := make(chan error, 1)
	write := func() {
		_, err := c.socket.Write(request)
		written <- err
	}
	if len(request) <= smallRequest {
		write()
	} else {
		go write()
	}
	return written
}

// isWritten reports whether a request has been written, without waiting for it.
func isWritten(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	default:
		return false
	}
}
