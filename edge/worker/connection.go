package worker

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"ravendale/cluster/httpclient"
)

// Timeouts and margins of a connection.
const (
	connectTimeout     = 300 * time.Millisecond
	userTimeout        = 600 * time.Millisecond // TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged
	responseMargin     = 120 * time.Millisecond // added to the limit, so that the worker can still respond that it stopped
	finishWriteTimeout = 5 * time.Millisecond   // for writing the rest of a request whose response has been received
	defaultIdleTimeout = 4 * time.Second        // assumed idle timeout of a worker that sends no Keep-Alive field
	scarceIdleTimeout  = 100 * time.Millisecond // how long idle connections are kept that other senders may need (Share.Scarce)
	idleMargin         = time.Second            // idle connections are closed this much (at most a quarter) before the worker's timeout
)

const (
	readBuffer       = 4 << 10  // bytes that are received at once
	smallBody        = 8 << 10  // bodies up to this size are sent in the same write as the header
	maxPooledRequest = 16 << 10 // larger buffers are not pooled
	maxLateResponses = 4        // responses to earlier requests that are skipped
	maxUnresolved    = 32       // a connection with more unresolved messages is closed after its delivery
)

// connection is a connection to a worker. It is owned by the delivery that acquired it from the pool.
type connection struct {
	socket    net.Conn
	raw       syscall.RawConn
	expiresAt time.Duration // when it is closed if it is still idle, by the client's clock

	used       bool     // a response was read from it
	unresolved []uint64 // hashes of the request IDs that were sent on it and may be sent again by a retry
	mutations  mutations
}

// mutations are deliberate faults. Only tests set them, to verify that the tests detect such faults.
type mutations struct {
	acceptsForeign      bool // a response is accepted even if it contains the ID of another request
	resendsOnConnection bool // a message may be sent again on the same connection
}

var readers = sync.Pool{New: func() any { return httpclient.NewReader(nil, readBuffer) }}

// dialWithTimeout returns a function that connects to an address, with a connect timeout of limit (0: none).
func dialWithTimeout(limit time.Duration) func(ctx context.Context, address string) (*connection, error) {
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
	return raw.Control(func(fd uintptr) { // an error is ignored: without the option the delivery's limit still applies
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// isIdle reports whether an idle connection is still open and has nothing to read.
func (c *connection) isIdle() bool { return c.raw == nil || httpclient.IsIdle(c.raw) }

// exchange sends a delivery and reads its response, which may arrive before the request is written completely.
func (c *connection) exchange(d *Delivery) (Outcome, response) {
	if err := c.socket.SetDeadline(time.Now().Add(d.Limit + responseMargin)); err != nil {
		return Broken, response{}
	}
	written := c.write(d)
	a, err := c.awaitResponse(d)
	if !c.isWritten(written) {
		a.reusable = false
	}
	if err != nil {
		return outcomeOf(err), response{}
	}
	if c.mutations.acceptsForeign {
		a.requestID = d.RequestID
	}
	outcome := classify(a, d.RequestID, !c.used)
	c.used = true
	c.recordUnresolved(d.RequestID, outcome)
	return outcome, a
}

// awaitResponse reads responses until the delivery's own. On a connection that was used before, a response with the ID
// of another request is a late one to an earlier delivery and is skipped, up to maxLateResponses times.
func (c *connection) awaitResponse(d *Delivery) (response, error) {
	reader := readers.Get().(*httpclient.Reader)
	defer func() {
		reader.Reset(nil)
		readers.Put(reader)
	}()
	reader.Reset(c.socket)
	for late := 0; ; late++ {
		a, err := readResponse(reader, d.Method)
		if err != nil {
			return response{}, err
		}
		if c.used && a.reusable && late < maxLateResponses && a.isForeign(d.RequestID) && !c.mutations.acceptsForeign {
			continue
		}
		a.reusable = a.reusable && late == 0 && reader.Buffered() == 0
		return a, nil
	}
}

// recordUnresolved records a message that may be sent again after this outcome.
func (c *connection) recordUnresolved(requestID string, outcome Outcome) {
	if outcome != Done && outcome != Rejected {
		c.unresolved = append(c.unresolved, xxhash.Sum64String(requestID))
	}
}

// maySend reports whether the message may be sent on this connection. It must not be if an earlier attempt was: both
// have the same request ID, so a second response to the earlier attempt would be taken for the response to the new one.
func (c *connection) maySend(requestID string) bool {
	return len(c.unresolved) == 0 || c.mutations.resendsOnConnection || !slices.Contains(c.unresolved, xxhash.Sum64String(requestID))
}

func outcomeOf(err error) Outcome {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return TimedOut
	}
	return Broken
}
