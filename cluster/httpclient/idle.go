package httpclient

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsIdle reports whether a connection between two requests is still open and has nothing to read: bytes that are received
// then belong to no request, and would be taken for the response to the next one. It reads from the descriptor directly, so
// that the deadline of the previous exchange does not matter.
func IsIdle(raw syscall.RawConn) bool {
	wouldBlock := false
	err := raw.Control(func(fd uintptr) {
		var one [1]byte
		_, err := unix.Read(int(fd), one[:])
		wouldBlock = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && wouldBlock
}

func isIdleConn(socket net.Conn) bool {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	return err == nil && IsIdle(raw)
}
