package rpc

import "errors"

// Errors of a connection.
var (
	ErrClosed       = errors.New("rpc: connection closed")
	ErrUnresponsive = errors.New("rpc: peer is unresponsive")
	ErrOverflow     = errors.New("rpc: peer does not read")
	ErrTooLong      = errors.New("rpc: frame too long")
	ErrMethod       = errors.New("rpc: unknown method")
)

// RemoteError is what the other end answered in place of a reply.
type RemoteError struct{ Text string }

// Error gives the other end's text.
func (e *RemoteError) Error() string { return "rpc: peer answered: " + e.Text }
