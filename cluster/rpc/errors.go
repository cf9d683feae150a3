package rpc

import "errors"

// Errors of a connection.
var (
	ErrClosed        = errors.New("rpc: connection closed")
	ErrUnresponsive  = errors.New("rpc: peer is unresponsive")
	ErrOverflow      = errors.New("rpc: peer does not read")
	ErrFrameTooLong  = errors.New("rpc: frame too long")
	ErrUnknownMethod = errors.New("rpc: unknown method")
	ErrUnknownFrame  = errors.New("rpc: unknown kind of frame")
	ErrBadReply      = errors.New("rpc: reply is not exactly one message of its type")
)

// RemoteError is an error that the other end sent instead of a reply.
type RemoteError struct{ Text string }

// Error returns the other end's error text.
func (e *RemoteError) Error() string { return "rpc: peer answered: " + e.Text }
