package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/test/standin/answers"
)

// answeringProcess starts a server that answers every call with a text, and returns its address.
func answeringProcess(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				if request, err := http.ReadRequest(reader); err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
				}
				_, _ = io.WriteString(conn, text)
				_, _ = io.Copy(io.Discard, reader)
			}()
		}
	}()
	return listener.Addr().String()
}

// The built program tells an operator whose order got only malformed answers that it may or may not be in force, whatever status
// they give, and shows nothing that they say.
func TestMalformedAnswersAreNoClearAnswer(t *testing.T) {
	f := newFixture(t)
	file := f.writeFile("config.json", configJSON(5, routeJSON("a", 5)))
	statuses := []int{http.StatusOK, http.StatusPreconditionFailed, http.StatusServiceUnavailable}
	for i, form := range answers.Malformed() {
		status := statuses[i%len(statuses)]
		t.Run(http.StatusText(status)+"/"+form.Name, func(t *testing.T) {
			t.Parallel()
			address := answeringProcess(t, form.Encode(answers.Answer{Status: status, Body: `{"version":5,"error":"claimed"}`}))
			command := exec.Command("../../bin/ravendalectl", "config", "set", "--base", "0", "--within", "250ms", "--admin", address, file)
			output, err := command.CombinedOutput()
			var ended *exec.ExitError
			require.True(t, errors.As(err, &ended), "%v: 'make build' builds the program: %s", err, output)
			require.Equal(t, exitUndecided, ended.ExitCode(), "%s", output)
			require.NotContains(t, string(output), "claimed")
		})
	}
}
