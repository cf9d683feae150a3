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

// onFakeTime runs a test whose goroutines see a clock that stands still while any of them has something to do: how busy the machine
// is makes no difference. Its connections are pipes in memory, as those of sockets are waited for in real time.
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
		return nil, errors.New("nobody listens at " + address)
	}
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.New("nobody listens any more at " + address)
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
