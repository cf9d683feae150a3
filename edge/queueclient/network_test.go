package queueclient

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
)

// onFakeTime runs a test in a synctest bubble: its clock advances only while all goroutines are blocked, so the load of
// the machine does not matter. Connections must be in-memory pipes, because goroutines that wait for sockets do not
// count as blocked.
func onFakeTime(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}

// memoryNetwork carries connections between the goroutines of the tests.
type memoryNetwork struct {
	mu        sync.Mutex
	next      int
	listeners map[string]*memoryListener
}

var memory = memoryNetwork{listeners: make(map[string]*memoryListener)}

func (n *memoryNetwork) listen() net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next++
	l := &memoryListener{address: memoryAddress("memory-" + strconv.Itoa(n.next)), accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[string(l.address)] = l
	return l
}

func (n *memoryNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("no listener at " + address)
	}
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.New("listener closed at " + address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type memoryListener struct {
	address  memoryAddress
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return l.address }

type memoryAddress string

func (a memoryAddress) Network() string { return "memory" }
func (a memoryAddress) String() string  { return string(a) }
