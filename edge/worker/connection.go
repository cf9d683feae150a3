package worker

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

// Time-outs and margins of a connection.
const (
	connectTimeout     = 300 * time.Millisecond
	userTimeout        = 600 * time.Millisecond // bytes that nobody acknowledges for so long end the connection
	answerMargin       = 120 * time.Millisecond // past the limit, for the worker's own answer that it stopped
	overtakenTimeout   = 5 * time.Millisecond   // for what is left to write of a request that has its answer
	defaultIdleTimeout = 4 * time.Second        // how long a worker keeps an idle connection if it does not say (Keep-Alive)
	scarceIdleTimeout  = 100 * time.Millisecond // how long an idle connection is kept that another sender may need
	idleMargin         = time.Second            // closed so long before the worker would, a quarter of its time at most
)

const (
	readBuffer       = 4 << 10  // bounds the head of an answer, too
	smallBody        = 8 << 10  // copied behind the head, to go in one write
	maxPooledRequest = 16 << 10 // larger buffers are not pooled
	maxLateAnswers   = 4        // answers to earlier requests that are skipped
	maxUnresolved    = 32       // a connection with more unresolved messages is not kept
)

// connection is a connection to a worker. Whoever acquired it from the pool owns it.
type connection struct {
	socket    net.Conn
	raw       syscall.RawConn
	expiresAt time.Duration // when it is closed if it is idle, by the client's clock

	used       bool     // an answer was read from it
	unresolved []uint64 // hashes of the ids of messages that were sent on it, and may be sent again
	mutations  mutations
}

// mutations are deliberate mistakes. Only tests set them, to show that they are caught.
type mutations struct {
	acceptsForeign      bool // an answer is the delivery's whatever request it names
	resendsOnConnection bool // a message is sent again on a connection on which it was sent before
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

// dialWithin returns a function that connects to an address within a time, 0 for no bound.
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

// isIdle reports whether an idle connection is still open with nothing to read: what comes between requests belongs to none. It looks
// without regard to the deadline of the exchange before.
func (c *connection) isIdle() bool {
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

// exchange sends a delivery and reads its answer, which may come before the request was written completely.
func (c *connection) exchange(d *Delivery) (Outcome, answer) {
	if err := c.socket.SetDeadline(time.Now().Add(d.Limit + answerMargin)); err != nil {
		return Broken, answer{}
	}
	written := c.write(d)
	a, err := c.awaitAnswer(d)
	if !c.isWritten(written) {
		a.reusable = false
	}
	if err != nil {
		return outcomeOf(err), answer{}
	}
	if c.mutations.acceptsForeign {
		a.requestID = d.RequestID
	}
	outcome := classify(a, d.RequestID, !c.used)
	c.used = true
	c.remember(d.RequestID, outcome)
	return outcome, a
}

// awaitAnswer reads answers up to the delivery's own. One that names another request is late, of a delivery before: only a connection that
// was used has such.
func (c *connection) awaitAnswer(d *Delivery) (answer, error) {
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
		if c.used && a.reusable && late < maxLateAnswers && a.isOfAnother(d.RequestID) && !c.mutations.acceptsForeign {
			continue
		}
		a.reusable = a.reusable && late == 0 && reader.Buffered() == 0
		return a, nil
	}
}

// remember records a message that the answer leaves to be sent again.
func (c *connection) remember(requestID string, outcome Outcome) {
	if outcome != Done && outcome != Rejected {
		c.unresolved = append(c.unresolved, xxhash.Sum64String(requestID))
	}
}

// maySend reports whether a message may be sent: a second answer to an earlier attempt, which has the same name, would be taken for that
// to the new one.
func (c *connection) maySend(requestID string) bool {
	return len(c.unresolved) == 0 || c.mutations.resendsOnConnection || !slices.Contains(c.unresolved, xxhash.Sum64String(requestID))
}

func outcomeOf(err error) Outcome {
	var late interface{ Timeout() bool }
	if errors.As(err, &late) && late.Timeout() {
		return TimedOut
	}
	return Broken
}
