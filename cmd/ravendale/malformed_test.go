package main

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"ravendale/test/standin/answers"
)

// expectEnd fails the test unless the program closes a connection, with or without a reset, and sends nothing more on it.
func expectEnd(t *testing.T, conn net.Conn) {
	t.Helper()
	rest, err := io.ReadAll(conn)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) || len(rest) > 0 {
		t.Fatalf("the connection went on with %q, %v", rest, err)
	}
}

// A backend server answers a request that may run only once, in a malformed form, that it did not run. The client of the built
// program must get no promise, which 503 would be, and the request must not be sent again.
func TestMalformedAnswerReachesNoClient(t *testing.T) {
	for _, form := range answers.Malformed() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			r := startProcess(t, `"effect": "idempotent"`, `"effect": "at_most_once"`)
			client := r.askForJob("00000000000000a1")
			worker := r.acceptJob()
			r.send(worker, form.Encode(answers.Answer{Status: http.StatusServiceUnavailable, Fields: "X-Turned-Away: 1\r\n", Body: "content"}))
			expectEnd(t, worker)
			r.wantStatus(client, http.StatusGatewayTimeout)
		})
	}
}
