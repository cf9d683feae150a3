package main

import (
	"net/http"
	"syscall"
	"testing"
)

// A scheduler that receives SIGTERM, SIGHUP and a second SIGTERM must still answer its open request and then exit with
// code 0. The test runs the built program with a client, a backend server and a discovery service that never answers.
func TestSecondSIGTERMDuringShutdown(t *testing.T) {
	const id = "00000000000000a1"
	r := startProcess(t)
	client := r.askForJob(id)
	r.send(r.acceptJob(), "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	for _, step := range []struct {
		sig  syscall.Signal
		word string
	}{{syscall.SIGTERM, "msg=stopping"}, {syscall.SIGHUP, "configuration read again"}, {syscall.SIGTERM, ""}} {
		if err := r.command.Process.Signal(step.sig); err != nil {
			t.Fatal(err)
		}
		if step.word != "" {
			r.waitForLog(step.word)
		}
	}
	r.callBack(id)
	r.wantStatus(client, http.StatusOK)
	_ = client.Close()
	r.waitForLog(`why="nothing is owed"`)
	if err := r.command.Wait(); err != nil {
		t.Error(err)
	}
}
