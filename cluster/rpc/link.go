package rpc

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Pauses between attempts to connect: the first, and the longest as it doubles.
const (
	minRetryPause = 30 * time.Millisecond
	maxRetryPause = 150 * time.Millisecond // a process that is back serves nobody until they are connected
)

// Link keeps a connection to one address: it connects again whenever that is lost, until it is closed.
type Link struct {
	address string
	options Options
	onUp    func(*Conn)
	onDown  func(error)
	cancel  context.CancelFunc
	hurried chan struct{}

	mu     sync.Mutex
	conn   *Conn
	giveUp context.CancelFunc // of the connect that is under way; nil: none is
}

// NewLink starts a link. OnUp and onDown, which may be nil, are called in turn, on a goroutine of the link; onDown also for a
// connect that failed.
func NewLink(address string, options Options, onUp func(*Conn), onDown func(error)) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{address: address, options: options.withDefaults(), onUp: onUp, onDown: onDown, cancel: cancel, hurried: make(chan struct{}, 1)}
	go l.run(ctx)
	return l
}

// Address is the peer's.
func (l *Link) Address() string { return l.address }

// Conn is the connection, nil while there is none.
func (l *Link) Conn() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// Close ends the link and its connection.
func (l *Link) Close() {
	l.cancel()
	if c := l.Conn(); c != nil {
		c.Close()
	}
}

// Hurry has a link that is down connect anew at once: the peer is known to be back. A connect that began before, and may wait
// for what was lost on its way, is given up.
func (l *Link) Hurry() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		return
	}
	select {
	case l.hurried <- struct{}{}:
	default:
	}
	if l.giveUp != nil {
		l.giveUp()
	}
}

func (l *Link) dial(ctx context.Context) (*Conn, error) {
	ctx, giveUp := context.WithCancel(ctx)
	defer giveUp()
	l.mu.Lock()
	l.giveUp = giveUp
	l.mu.Unlock()
	conn, err := Dial(ctx, l.address, l.options)
	l.mu.Lock()
	l.giveUp = nil
	l.mu.Unlock()
	return conn, err
}

func (l *Link) run(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		conn, err := l.dial(ctx)
		if err == nil {
			pause = minRetryPause
			err = l.hold(ctx, conn)
		}
		if l.onDown != nil && ctx.Err() == nil {
			l.onDown(err)
		}
		select {
		case <-time.After(pause/2 + rand.N(pause)):
			pause = min(2*pause, maxRetryPause)
		case <-l.hurried:
			pause = minRetryPause
		case <-ctx.Done():
		}
	}
}

func (l *Link) hold(ctx context.Context, conn *Conn) error {
	l.set(conn)
	select {
	case <-l.hurried: // it came while the connect was under way
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
