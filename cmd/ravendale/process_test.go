package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// peerTimeout ends a test whose process does not answer.
const peerTimeout = 20 * time.Second

// processRig is the built program with its environment: one backend server, which the program knows as w1, and a discovery
// service that answers only where a test does.
type processRig struct {
	t       *testing.T
	command *exec.Cmd
	log     *bufio.Scanner
	address string // where the program accepts clients

	server, discovery *net.TCPListener
}

func listenLocally(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.(*net.TCPListener)
}

// startProcess starts the program with the example's configuration, in which the replacements are made, and waits until it
// serves.
func startProcess(t *testing.T, replacements ...string) *processRig {
	t.Helper()
	clients := listenLocally(t)
	r := &processRig{t: t, server: listenLocally(t), discovery: listenLocally(t), address: clients.Addr().String()}
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	host := fmt.Sprintf(`"hosts": [{"host":"w1","dial":%q,"site":"here","class":"toy","health":"in_service","share":1,"born_ms":0}]`, r.server.Addr())
	config := strings.NewReplacer(append(replacements, `"hosts": []`, host)...).Replace(string(text))
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	inherited, err := clients.File()
	if err != nil {
		t.Fatal(err)
	}
	r.command = exec.Command("../../bin/ravendale")
	r.command.Env = append(os.Environ(), "PROXY_CONFIG="+file, "PROXY_FD=3", "PROXY_LISTEN="+r.address,
		"PROXY_DISCOVERY="+r.discovery.Addr().String(), "PROXY_MANAGEMENT=127.0.0.1:0", "TMPDIR="+t.TempDir())
	r.command.ExtraFiles = []*os.File{inherited}
	stderr, err := r.command.StderrPipe()
	if err == nil {
		err = r.command.Start()
	}
	if err != nil {
		t.Fatalf("%v: 'make build' builds the scheduler", err)
	}
	t.Cleanup(func() { _ = r.command.Process.Kill() })
	_, _ = inherited.Close(), clients.Close()
	r.log = bufio.NewScanner(stderr)
	r.waitForLog("msg=serving")
	return r
}

// waitForLog waits until the program logs a line with the given text.
func (r *processRig) waitForLog(text string) {
	r.t.Helper()
	for r.log.Scan() {
		if strings.Contains(r.log.Text(), text) {
			return
		}
	}
	r.t.Fatalf("%q was not logged", text)
}

// dial connects to the program.
func (r *processRig) dial() net.Conn {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// send writes text to a connection, whose deadline it sets.
func (r *processRig) send(conn net.Conn, text string) {
	r.t.Helper()
	_ = conn.SetDeadline(time.Now().Add(peerTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		r.t.Fatal(err)
	}
}

// askForJob sends a client's request with an ID.
func (r *processRig) askForJob(id string) net.Conn {
	r.t.Helper()
	client := r.dial()
	r.send(client, "POST /api HTTP/1.1\r\nX-Txn: "+id+"\r\nX-Lane: saldo\r\nX-Remaining-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi")
	return client
}

// acceptJob waits for a complete request at the backend server, on a new connection.
func (r *processRig) acceptJob() net.Conn {
	r.t.Helper()
	return r.acceptRequest(r.server)
}

// acceptRequest waits for a complete request at a listener, on a new connection.
func (r *processRig) acceptRequest(listener *net.TCPListener) net.Conn {
	r.t.Helper()
	_ = listener.SetDeadline(time.Now().Add(peerTimeout))
	conn, err := listener.Accept()
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(peerTimeout))
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil {
		_, err = io.Copy(io.Discard, request.Body) // the last byte of a request that may run only once comes later
	}
	if err != nil {
		r.t.Fatal(err)
	}
	return conn
}

// callBack reports the request with an ID as done, and expects that the report is acknowledged.
func (r *processRig) callBack(id string) {
	r.t.Helper()
	conn := r.dial()
	body := fmt.Sprintf(`{"id":%q,"from":"w1","state":"done","result":"x"}`, id)
	r.send(conn, fmt.Sprintf("POST /callback HTTP/1.1\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body))
	r.wantStatus(conn, http.StatusNoContent)
	_ = conn.Close()
}

// wantStatus reads an answer of the program, which must have a status.
func (r *processRig) wantStatus(conn net.Conn, want int) {
	r.t.Helper()
	got, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || got.StatusCode != want {
		r.t.Fatalf("got response %v, error %v", got, err)
	}
}
