package rpc

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const acceptPause = 20 * time.Millisecond // after a failed accept, for example because file descriptors are exhausted

// acceptedConns counts the connections that all servers of the process have accepted.
var acceptedConns atomic.Uint64

// Server accepts connections.
type Server struct {
	listener net.Listener
	options  Options
	onConn   func(*Conn)

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	closed bool
}

// Listen starts a server. OnConn, which may be nil, is called with each new connection before anything is read from it.
func Listen(address string, options Options, onConn func(*Conn)) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return Serve(listener, options, onConn), nil
}

// Serve starts a server on a listener, which Close closes.
func Serve(listener net.Listener, options Options, onConn func(*Conn)) *Server {
	s := &Server{listener: listener, options: options.withDefaults(), onConn: onConn, conns: make(map[*Conn]struct{})}
	go s.accept()
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

func (s *Server) accept() {
	for {
		socket, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		s.serve(socket)
	}
}

func (s *Server) serve(socket net.Conn) {
	c := newConn(socket, s.options)
	c.acceptOrder = acceptedConns.Add(1)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = socket.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	c.OnClose(func(error) {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
	if s.onConn != nil {
		s.onConn(c)
	}
	c.start()
}

// Close closes the server and its connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	for _, c := range conns {
		c.Close()
	}
}
