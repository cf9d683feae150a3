package main

import (
	"syscall"
	"testing"
)

// If SIGHUP isn't caught, it terminates the test process.
func TestCatchHangup(t *testing.T) {
	hangup := catchHangup()
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if got := <-hangup; got != syscall.SIGHUP {
		t.Errorf("caught %v", got)
	}
}
