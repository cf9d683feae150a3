package nbionet

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
)

// Listen opens a TCP listener. With a descriptor above 0 it uses that inherited listening socket instead of addr.
func Listen(addr string, descriptor int) (net.Listener, error) {
	if descriptor <= 0 {
		return net.Listen("tcp", addr)
	}
	syscall.CloseOnExec(descriptor)
	f := os.NewFile(uintptr(descriptor), "listener")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d is invalid", descriptor)
	}
	defer func() { _ = f.Close() }() // closes the original; the listener has a duplicate
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", descriptor, err)
	}
	return ln, nil
}

// ListenUnix listens on a Unix socket that only its owner may connect to. It replaces an existing file at the path.
// Closing the listener does not remove the file: by then it may belong to another process.
func ListenUnix(path string) (net.Listener, error) {
	path, done, err := shorten(path)
	if err != nil {
		return nil, err
	}
	defer done()
	if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	if err := os.Chmod(path, 0o600); err != nil {
		_ = ln.Close()
		return nil, err
	}
	return ln, nil
}

// shorten returns a path of a Unix socket that is short enough for the system. A path that is too long is expressed via an
// open descriptor of its directory; it is valid until done is called.
func shorten(path string) (short string, done func(), err error) {
	if len(path) <= maxSocketPath {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { _ = dir.Close() }, nil
}
