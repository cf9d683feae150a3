package worker

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readBuffer  = 4 << 10  // bounds the head of an answer, too
	smallBody   = 8 << 10  // copied behind the head, to go in one write
	keptRequest = 16 << 10 // larger buffers are given back after use
)

// connection is one to a worker. Whoever took it from the pool owns it.
type connection struct {
	socket net.Conn
	raw    syscall.RawConn
	until  time.Duration // idle, it is closed then, by the client's steady clock
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

var requests = sync.Pool{New: func() any { return new([]byte) }}

// dialWithin returns what connects to an address within a time, 0 for no bound.
func dialWithin(limit time.Duration) func(ctx context.Context, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: limit, KeepAlive: -1, Control: setUserTimeout}
	return func(ctx context.Context, address string) (*connection, error) {
		socket, err := dialer.DialContext(ctx, "tcp4", address)
		if err != nil {
			return nil, err
		}
		c := &connection{socket: socket}
		if raw, ok := socket.(syscall.Conn); ok {
			c.raw, _ = raw.SyscallConn()
		}
		return c, nil
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { // where the option is missing, the limit of the delivery is all there is
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// quiet says whether an idle connection is still open with nothing to read: what comes between requests belongs to none.
func (c *connection) quiet() bool {
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := unix.Read(int(fd), one[:])
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange sends a delivery and reads its answer.
func (c *connection) exchange(d *Delivery) (Outcome, answer) {
	if err := c.socket.SetDeadline(time.Now().Add(d.Limit + answerSlack)); err != nil {
		return Broken, answer{}
	}
	if err := c.write(d); err != nil {
		return broken(err), answer{}
	}
	reader := readers.Get().(*bufio.Reader)
	defer func() {
		reader.Reset(nil)
		readers.Put(reader)
	}()
	reader.Reset(c.socket)
	a, err := readAnswer(reader, d.Method)
	if err != nil {
		return broken(err), answer{}
	}
	if reader.Buffered() > 0 {
		a.keep = false
	}
	return classify(a, d.RequestID), a
}

func broken(err error) Outcome {
	var late interface{ Timeout() bool }
	if errors.As(err, &late) && late.Timeout() {
		return Silent
	}
	return Broken
}

func (c *connection) write(d *Delivery) error {
	buffer := requests.Get().(*[]byte)
	defer func() {
		if cap(*buffer) <= keptRequest {
			requests.Put(buffer)
		}
	}()
	*buffer = appendHead((*buffer)[:0], d)
	rest := d.Body
	if len(rest) <= smallBody {
		*buffer = append(*buffer, rest...)
		rest = nil
	}
	if _, err := c.socket.Write(*buffer); err != nil {
		return err
	}
	if len(rest) == 0 {
		return nil
	}
	_, err := c.socket.Write(rest)
	return err
}

func appendHead(b []byte, d *Delivery) []byte {
	b = append(append(append(b, d.Method...), ' '), d.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", d.Host)
	b = appendField(b, "Request-Id", d.RequestID)
	if d.OrderKey != "" {
		b = appendField(b, "Order-Key", d.OrderKey)
	}
	if d.ContentType != "" {
		b = appendField(b, "Content-Type", d.ContentType)
	}
	if d.Instance != "" {
		b = appendField(b, "Expect-Instance", d.Instance)
	}
	b = append(b, "Deadline-Ms: "...)
	b = strconv.AppendInt(b, max(d.Limit.Milliseconds(), 1), 10)
	b = append(b, "\r\n"...)
	if len(d.Body) > 0 || d.Method == "POST" || d.Method == "PUT" || d.Method == "PATCH" {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(d.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}
