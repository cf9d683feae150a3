package worker

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	readBuffer  = 4 << 10  // bounds the head of an answer, too
	smallBody   = 8 << 10  // copied behind the head, to go in one write
	keptRequest = 16 << 10 // larger buffers are given back after use
	maxLate     = 4        // answers to earlier requests that are read past
	mostCarried = 32       // messages to be sent again that a connection is kept with
)

// connection is one to a worker. Whoever took it from the pool owns it.
type connection struct {
	socket net.Conn
	raw    syscall.RawConn
	until  time.Duration // idle, it is closed then, by the client's steady clock

	used    bool     // an answer was read from it
	carried []uint64 // hashes of the ids of messages that were sent on it, and may be sent again
	mutant  mutant
}

// mutant takes guards away. Only tests set it, to show that they notice.
type mutant struct {
	takesForeign bool // an answer is the delivery's whatever request it names
	carriesAgain bool // a message is sent again on a connection that carried it
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

// quiet says whether an idle connection is still open with nothing to read: what comes between requests belongs to none. It looks
// without regard to the deadline of the exchange before.
func (c *connection) quiet() bool {
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var one [1]byte
		_, err := unix.Read(int(fd), one[:])
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

// exchange sends a delivery and reads its answer, which may come before the request was written whole.
func (c *connection) exchange(d *Delivery) (Outcome, answer) {
	if err := c.socket.SetDeadline(time.Now().Add(d.Limit + answerSlack)); err != nil {
		return Broken, answer{}
	}
	written := c.write(d)
	a, err := c.await(d)
	if !c.isWritten(written) {
		a.keep = false
	}
	if err != nil {
		return broken(err), answer{}
	}
	if c.mutant.takesForeign {
		a.requestID = d.RequestID
	}
	outcome := classify(a, d.RequestID, !c.used)
	c.used = true
	c.note(d.RequestID, outcome)
	return outcome, a
}

// await reads answers up to the delivery's own. One that names another request is late, of a delivery before: only a connection that
// was used has such.
func (c *connection) await(d *Delivery) (answer, error) {
	reader := readers.Get().(*bufio.Reader)
	defer func() {
		reader.Reset(nil)
		readers.Put(reader)
	}()
	reader.Reset(c.socket)
	for late := 0; ; late++ {
		a, err := readAnswer(reader, d.Method)
		if err != nil {
			return answer{}, err
		}
		if c.used && a.keep && late < maxLate && a.isOfAnother(d.RequestID) && !c.mutant.takesForeign {
			continue
		}
		a.keep = a.keep && late == 0 && reader.Buffered() == 0
		return a, nil
	}
}

// note remembers a message that the answer leaves to be sent again.
func (c *connection) note(requestID string, outcome Outcome) {
	if outcome != Done && outcome != Refused {
		c.carried = append(c.carried, xxhash.Sum64String(requestID))
	}
}

// mayCarry says whether a message can be sent: a second answer to an earlier attempt, which has the same name, would be taken for that
// to the new one.
func (c *connection) mayCarry(requestID string) bool {
	return len(c.carried) == 0 || c.mutant.carriesAgain || !slices.Contains(c.carried, xxhash.Sum64String(requestID))
}

func broken(err error) Outcome {
	var late interface{ Timeout() bool }
	if errors.As(err, &late) && late.Timeout() {
		return Silent
	}
	return Broken
}

// write sends a request, the body of a long one while its answer is awaited: then the channel tells how that went. It is nil once all is
// written. A write that fails says nothing of the answer, which may lie there.
func (c *connection) write(d *Delivery) (written chan error) {
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
	_, err := c.socket.Write(*buffer)
	if err == nil && len(rest) == 0 {
		return nil
	}
	written = make(chan error, 1)
	if err != nil {
		written <- err
		return written
	}
	go func() {
		_, err := c.socket.Write(rest)
		written <- err
	}()
	return written
}

// isWritten waits until nothing more of a request is written, and says whether it went out whole. What an answer has overtaken has
// little time left.
func (c *connection) isWritten(written chan error) bool {
	if written == nil {
		return true
	}
	_ = c.socket.SetWriteDeadline(time.Now().Add(overtakenFor))
	return <-written == nil
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
