package rpc

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Average pauses between attempts to connect: the first one, and the maximum when doubling it.
const (
	minRetryPause = 30 * time.Millisecond
	maxRetryPause = 150 * time.Millisecond // short, since a restarted process can serve its peers only once they are connected
)

// Link maintains a connection to one address: it reconnects whenever the connection is lost, until it is closed.
type Link struct {
	address   string
	options   Options
	onUp      func(*Conn)
	onDown    func(error)
	cancel    context.CancelFunc
	reconnect chan struct{}

	mu         sync.Mutex
	conn       *Conn
	cancelDial context.CancelFunc // cancels the connect in progress; nil if there is none
}

// NewLink starts a link. OnUp is called with each new connection, onDown when it is lost and for each failed connect.
// Both are called on the link's goroutine and may be nil.
func NewLink(address string, options Options, onUp func(*Conn), onDown func(error)) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{address: address, options: options.withDefaults(), onUp: onUp, onDown: onDown, cancel: cancel, reconnect: make(chan struct{}, 1)}
	go l.run(ctx)
	return l
}

// Address returns the peer's address.
func (l *Link) Address() string { return l.address }

// Conn returns the current connection, or nil while there is none.
func (l *Link) Conn() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// Close closes the link and its connection.
func (l *Link) Close() {
	l.cancel()
	if c := l.Conn(); c != nil {
		c.Close()
	}
}

// ReconnectNow makes a link without a connection reconnect at once, because the peer is known to be available again. A
// connect in progress is cancelled: it may be waiting for the retransmission of a lost packet.
func (l *Link) ReconnectNow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		return
	}
	select {
	case l.reconnect <- struct{}{}:
	default:
	}
	if l.cancelDial != nil {
		l.cancelDial()
	}
}

func (l *Link) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.cancelDial = cancel
	l.mu.Unlock()
	conn, err := Dial(ctx, l.address, l.options)
	l.mu.Lock()
	l.cancelDial = nil
	l.mu.Unlock()
	return conn, err
}

func (l *Link) run(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		conn, err := l.dial(ctx)
		if err == nil {
			pause = minRetryPause
			err = l.holdUntilClosed(ctx, conn)
		}
		if l.onDown != nil && ctx.Err() == nil {
			l.onDown(err)
		}
		select {
		case <-time.After(pause/2 + rand.N(pause)):
			pause = min(2*pause, maxRetryPause)
		case <-l.reconnect:
			pause = minRetryPause
		case <-ctx.Done():
		}
	}
}

func (l *Link) holdUntilClosed(ctx context.Context, conn *Conn) error {
	if ctx.Err() != nil { // closed during the connect: another link may have a newer connection to the peer already
		conn.Close()
		return conn.Err()
	}
	l.set(conn)
	select {
	case <-l.reconnect: // a ReconnectNow during the connect is obsolete
	default:
	}
	if l.onUp != nil {
		l.onUp(conn)
	}
	select {
	case <-conn.Done():
	case <-ctx.Done():
		conn.Close()
	}
	l.set(nil)
	return conn.Err()
}

func (l *Link) set(conn *Conn) {
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
}
