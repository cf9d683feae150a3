package node

import (
	"fmt"

	"ravendale/balancer/transport"
	"ravendale/balancer/transport/nbionet"
)

// sockets implements ports with the sockets of the operating system.
type sockets struct {
	*nbionet.Engine
	cores   []*nbionet.Engine // engines of the cores, if they have their own loops
	clients *nbionet.Gate
}

func (s *sockets) Core(number int) transport.Network { return s.cores[number] }

func (s *sockets) Operators(addr string, limit int, accept func(transport.Conn) transport.Handler) error {
	ln, err := nbionet.Listen(addr, 0)
	if err != nil {
		return fmt.Errorf("management: %w", err)
	}
	s.Serve(ln, limit, accept)
	return nil
}

func (s *sockets) Peers(addr string, limit int, accept func(transport.Conn) transport.Handler) (func(), error) {
	ln, err := nbionet.Listen(addr, 0)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return s.Serve(ln, limit, accept).Close, nil
}

func (s *sockets) Successors(path string, accept func(transport.Conn) transport.Handler) error {
	ln, err := nbionet.ListenUnix(path)
	if err != nil {
		return err
	}
	s.Serve(ln, 2, accept)
	return nil
}

func (s *sockets) Clients(addr string, descriptor, limit int, to []accept, choose func() int) error {
	ln, err := nbionet.Listen(addr, descriptor)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	targets := make([]nbionet.Target, len(to))
	for i := range to {
		targets[i] = nbionet.Target{Engine: s.Engine, Accept: to[i]}
		if len(s.cores) > 0 {
			targets[i].Engine = s.cores[i]
		}
	}
	s.clients = s.ServeTargets(ln, limit, targets, choose)
	return nil
}

func (s *sockets) SetLimit(clients int) {
	if s.clients != nil {
		s.clients.SetLimit(clients)
	}
}

func (s *sockets) Pause(paused bool) {
	switch {
	case s.clients == nil:
	case paused:
		s.clients.Pause()
	default:
		s.clients.Resume()
	}
}

func (s *sockets) Adopt(core int, g transport.PassedConn, accept accept) error {
	if core < 0 {
		return s.Engine.Adopt(g, s.clients, accept)
	}
	return s.cores[core].Adopt(g, s.clients, accept)
}
