package main

import (
	"syscall"
	"testing"
)

// Not caught, the signal ends this very process.
func TestHangupIsCaught(t *testing.T) {
	hangup := catch()
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if got := <-hangup; got != syscall.SIGHUP {
		t.Errorf("caught %v", got)
	}
}
