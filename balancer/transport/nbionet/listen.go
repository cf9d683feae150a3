package nbionet

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
)

// Listen opens a listener; with a descriptor above 0 it takes that one, which the process inherited, instead.
func Listen(addr string, descriptor int) (net.Listener, error) {
	if descriptor <= 0 {
		return net.Listen("tcp", addr)
	}
	syscall.CloseOnExec(descriptor)
	f := os.NewFile(uintptr(descriptor), "listener")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d is none", descriptor)
	}
	defer func() { _ = f.Close() }() // of the original; the listener has a copy
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", descriptor, err)
	}
	return ln, nil
}

// ListenUnix opens a Unix socket that only its owner may reach, in the place of whatever file is there. The file stays
// when the listener is closed: by then it may be another's.
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

// shorten names a Unix socket by way of its open folder where its path is longer than the system takes, until done.
func shorten(path string) (short string, done func(), err error) {
	if len(path) <= longestPath {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { _ = dir.Close() }, nil
}
