package main

import (
	"bufio"
	"errors"
	"fmt"
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

// The list in an answer of discovery whose head or framing is malformed names another server. The built program must not send
// it requests.
func TestMalformedListReachesNoServer(t *testing.T) {
	for _, form := range answers.MalformedHeads() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			r := startProcess(t)
			unlisted := listenLocally(t)
			list := fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"w2","dial":%q,"site":"here","class":"toy","health":"in_service","share":1,"born_ms":0}]}`, unlisted.Addr())
			watch := r.acceptRequest(r.discovery)
			r.send(watch, form.Encode(answers.Answer{Status: http.StatusOK, Body: list + "\n"}))
			expectEnd(t, watch)
			client := r.askForJob("00000000000000a1")
			r.send(r.acceptJob(), "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
			r.callBack("00000000000000a1")
			r.wantStatus(client, http.StatusOK)
		})
	}
}

// A call-back in a malformed request gives a result that is not the server's. The client of the built program must get the
// result of the valid call-back that follows.
func TestMalformedCallbackReachesNoClient(t *testing.T) {
	const id = "00000000000000a1"
	body := fmt.Sprintf(`{"id":%q,"from":"w1","state":"done","result":"malformed"}`, id)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	for name, text := range map[string]string{
		"version":                    "POST /callback HTTP/1.junk\r\n" + length + body,
		"blank in a name":            "POST /callback HTTP/1.1\r\nX A: b\r\n" + length + body,
		"CR before the request line": "\rPOST /callback HTTP/1.1\r\n" + length + body,
		"blank before a chunk size":  "POST /callback HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n " + chunk + "0\r\n\r\n",
		"no colon in the trailer":    "POST /callback HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\nX-A\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startProcess(t)
			client := r.askForJob(id)
			r.send(r.acceptJob(), "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
			caller := r.dial()
			r.send(caller, text)
			answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil || answer.StatusCode != http.StatusBadRequest && answer.StatusCode != http.StatusHTTPVersionNotSupported {
				t.Fatalf("the call-back got %v, %v", answer, err)
			}
			r.callBack(id)
			result, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				t.Fatal(err)
			}
			if content, err := io.ReadAll(result.Body); err != nil || string(content) != "x" {
				t.Errorf("the client got %q, %v", content, err)
			}
		})
	}
}
