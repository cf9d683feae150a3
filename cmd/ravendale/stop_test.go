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
	"syscall"
	"testing"
	"time"
)

// A scheduler that receives SIGTERM, SIGHUP and a second SIGTERM must still answer its open request and then exit with
// code 0. The test runs the built program with a client, a backend server and a discovery service that never answers.
func TestSecondSIGTERMDuringShutdown(t *testing.T) {
	listen := func() *net.TCPListener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		return ln.(*net.TCPListener)
	}
	clients, server, discovery := listen(), listen(), listen()
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	host := fmt.Sprintf(`"hosts": [{"host":"w1","dial":%q,"site":"here","class":"toy","health":"in_service","share":1,"born_ms":0}]`, server.Addr())
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(strings.Replace(string(text), `"hosts": []`, host, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	inherited, err := clients.File()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("../../bin/ravendale")
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+file, "PROXY_FD=3", "PROXY_LISTEN="+clients.Addr().String(),
		"PROXY_DISCOVERY="+discovery.Addr().String(), "PROXY_MANAGEMENT=127.0.0.1:0", "TMPDIR="+t.TempDir())
	cmd.ExtraFiles = []*os.File{inherited}
	stderr, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		t.Fatalf("%v: 'make build' builds the scheduler", err)
	}
	defer func() { _ = cmd.Process.Kill() }()
	_, _ = inherited.Close(), clients.Close()
	log := bufio.NewScanner(stderr)
	waitForLog := func(word string) {
		for log.Scan() {
			if strings.Contains(log.Text(), word) {
				return
			}
		}
		t.Fatalf("%q was not logged", word)
	}
	send := func(c net.Conn, text string) {
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", clients.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	wantStatus := func(c net.Conn, want int) {
		t.Helper()
		if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || r.StatusCode != want {
			t.Fatalf("got response %v, error %v", r, err)
		}
	}
	waitForLog("msg=serving")
	client := dial()
	send(client, "POST /api HTTP/1.1\r\nX-Txn: 00000000000000a1\r\nX-Lane: saldo\r\nX-Remaining-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi")
	worker, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = worker.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(worker)); err != nil {
		t.Fatal(err)
	}
	send(worker, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	for _, step := range []struct {
		sig  syscall.Signal
		word string
	}{{syscall.SIGTERM, "msg=stopping"}, {syscall.SIGHUP, "configuration read again"}, {syscall.SIGTERM, ""}} {
		if err := cmd.Process.Signal(step.sig); err != nil {
			t.Fatal(err)
		}
		if step.word != "" {
			waitForLog(step.word)
		}
	}
	callback := dial()
	body := `{"id":"00000000000000a1","from":"w1","state":"done","result":"x"}`
	send(callback, fmt.Sprintf("POST /callback HTTP/1.1\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body))
	wantStatus(callback, 204)
	wantStatus(client, 200)
	_, _ = callback.Close(), client.Close()
	waitForLog(`why="nothing is owed"`)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}
