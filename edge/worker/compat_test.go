package worker

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// golden returns the content of a golden file, which an earlier version wrote.
func golden(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "compat", name))
	require.NoError(t, err)
	return string(text)
}

// written returns all bytes that a delivery sends to a worker.
func written(t *testing.T, d Delivery) string {
	t.Helper()
	sent := make(chan string, 1)
	d.Address = startWorker(t, func(_ int, conn net.Conn, _ *bufio.Reader) {
		var seen bytes.Buffer
		reader := bufio.NewReader(io.TeeReader(conn, &seen))
		_, _, err := readRequest(reader)
		assert.NoError(t, err)
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: "+d.RequestID+"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		assert.NoError(t, err)
		_, err = io.Copy(io.Discard, reader)
		assert.NoError(t, err)
		sent <- seen.String()
	})
	client := patientClient()
	defer client.Close()
	assert.Equal(t, Done, deliver(client, &d).Outcome)
	return <-sent
}

func TestRequestBytes(t *testing.T) {
	cases := map[string]Delivery{
		"request-every-field": {
			Worker: "i-1", Instance: "i-1", Method: "POST", Host: "a.example:80", Target: "/p//q/../r?x=%2f&&y", RequestID: "id-1",
			OrderKey: "K \xe9\xff,\t\"=;:%20/ k", ContentType: "text/x", Body: []byte("hello\x00\r\n"), Limit: 1500 * time.Millisecond,
		},
		"request-least-fields": {Worker: "i-1", Method: "GET", Host: "a.example", Target: "/", RequestID: "id-2", Limit: time.Minute},
		"request-empty-post":   {Worker: "i-1", Method: "POST", Host: "a.example", Target: "/p", RequestID: "id-3", Limit: time.Minute},
		"request-empty-put":    {Worker: "i-1", Method: "PUT", Host: "a.example", Target: "/p", RequestID: "id-4", Limit: time.Minute},
		"request-empty-patch":  {Worker: "i-1", Method: "PATCH", Host: "a.example", Target: "/p", RequestID: "id-5", Limit: time.Minute},
		"request-empty-delete": {Worker: "i-1", Method: "DELETE", Host: "a.example", Target: "/p", RequestID: "id-6", Limit: time.Minute},
		"request-get-body":     {Worker: "i-1", Method: "GET", Host: "a.example", Target: "/p", RequestID: "id-7", Body: []byte("b"), Limit: time.Minute},
		"request-large-body": {
			Worker: "i-1", Method: "POST", Host: "a.example", Target: "/p", RequestID: "id-8", Body: bytes.Repeat([]byte("large "), 2000), Limit: time.Minute,
		},
	}
	files, err := filepath.Glob(filepath.Join("testdata", "compat", "request-*.http"))
	require.NoError(t, err)
	assert.Len(t, files, len(cases), "each golden file needs a case")
	for name, d := range cases {
		t.Run(name, func(t *testing.T) {
			got := written(t, d)
			text := golden(t, name+".http")
			assert.Equal(t, text, got)

			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
			require.NoError(t, err)
			body, err := io.ReadAll(request.Body)
			require.NoError(t, err)
			assert.Equal(t, string(d.Body), string(body))
			assert.Equal(t, d.Method, request.Method)
			assert.Equal(t, d.Host, request.Host)
			assert.Equal(t, d.Target, request.RequestURI)
			assert.Equal(t, d.RequestID, request.Header.Get("Request-Id"))
			assert.Equal(t, d.OrderKey, request.Header.Get("Order-Key"))
			assert.Equal(t, d.ContentType, request.Header.Get("Content-Type"))
			assert.Equal(t, d.Instance, request.Header.Get("Expect-Instance"))
		})
	}
}

func TestMinimumDeadlineIsOneMillisecond(t *testing.T) {
	head := string(appendHead(nil, &Delivery{Method: "GET", Host: "a.example", Target: "/", RequestID: "id", Limit: time.Microsecond}))
	assert.Equal(t, "GET / HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id\r\nDeadline-Ms: 1\r\n\r\n", head)
}
