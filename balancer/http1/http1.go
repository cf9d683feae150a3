package http1

import "fmt"

// Limits of a message, in bytes. A whole body is kept in memory, so its size is limited.
const (
	MaxHead = 16 << 10
	MaxBody = 64 << 10
)

// Error reports an invalid message. Status is the status code to answer it with.
type Error struct {
	Status int
	Reason string
}

// Error returns the reason and the status.
func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Reason, e.Status) }

func badRequest(reason string) *Error { return &Error{Status: 400, Reason: reason} }

func headTooLong() *Error { return &Error{Status: 431, Reason: "the head is too long"} }

func bodyTooLong() *Error { return &Error{Status: 413, Reason: "the body is too long"} }
