package ingress

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
	"ravendale/edge/queueclient"
)

// golden returns the content of a golden file, which an earlier version wrote.
func golden(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "compat", name))
	require.NoError(t, err)
	return string(text)
}

var dateField = regexp.MustCompile(`(?m)^Date: [A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT\r$`)

// normalizeDates sets each Date field, which fasthttp adds to responses to unreadable requests, to a fixed time.
func normalizeDates(answer string) string {
	return dateField.ReplaceAllString(answer, "Date: Sat, 01 Jan 2000 00:00:00 GMT\r")
}

// allBytes sends a request and returns all bytes that the server sends until it closes the connection.
func allBytes(t *testing.T, address, request string) string {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, request)
	require.NoError(t, err)
	text, err := io.ReadAll(conn)
	require.NoError(t, err)
	return string(text)
}

func compatFind(id string, body bool) (*wire.FindReply, error) {
	known := map[string]wire.FindReply{
		"0.pending": {Found: true, State: wire.StatePending},
		"0.done":    {Found: true, State: wire.StateDone, Signature: "3e1b.07"},
		"0.dead":    {Found: true, State: wire.StateDead, Signature: "must not be sent"},
		"0.dropped": {Found: true, State: wire.StateDropped},
	}
	if id == "0.unknown" {
		return nil, queueclient.ErrNoAnswer
	}
	answer, found := known[id]
	if !found {
		return nil, queueclient.ErrNotFound
	}
	if body {
		answer.Body = []byte("\x00bytes of " + id + "\r\n\xff")
	}
	return &answer, nil
}

func TestClientResponseBytes(t *testing.T) {
	const empty = "Content-Length: 0\r\n\r\n"
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n" }
	cases := map[string]struct {
		request string
		prepare func(s *site)
	}{
		"put-kept":               {request: head + "Content-Length: 5\r\n\r\nhello"},
		"put-kept-while-leaving": {request: head + empty, prepare: func(s *site) { s.server.Drain() }},
		"put-refused":            {request: head + empty, prepare: func(s *site) { s.queue.result = queueclient.Rejected }},
		"put-unsure":             {request: head + empty, prepare: func(s *site) { s.queue.result = queueclient.Unknown }},
		"put-not-ready":          {request: head + "Deadline-Ms: 50\r\n" + empty, prepare: func(s *site) { s.ready = false }},
		"put-without-route":      {request: strings.Replace(head, "/p/x", "/none", 1) + empty},
		"put-bad-field":          {request: head + "Delay-Ms: -1\r\n" + empty},
		"put-bad-framing":        {request: head + "Host: b.example\r\n" + empty},
		"put-garbled":            {request: "POST\r\n\r\n"},
		"put-body-too-large":     {request: head + "Content-Length: 1001\r\n\r\n" + strings.Repeat("x", 1001)},
		"put-header-too-large": {request: head + "X: " + strings.Repeat("x", 3000) + "\r\n" + empty, prepare: func(s *site) {
			s.server.SetLimits(catalog.Limits{MaxHeaderBytes: 2000, IdleTimeoutMs: 400})
		}},
		"put-header-fills-buffer":   {request: head + "X: " + strings.Repeat("x", 8192-len(head)-len("X: "))},
		"put-head-too-slow":         {request: head},
		"two-puts-on-a-connection":  {request: head + empty + head + empty},
		"state-pending":             {request: get("/v1/message/0.pending")},
		"state-done":                {request: get("/v1/message/0.done?x=1")},
		"state-dead-letter":         {request: get("/v1/message/0.dead")},
		"state-dropped":             {request: get("/v1/message/0.dropped")},
		"state-not-found":           {request: get("/v1/message/0.none")},
		"state-not-known":           {request: get("/v1/message/0.unknown")},
		"state-done-while-leaving":  {request: get("/v1/message/0.done"), prepare: func(s *site) { s.server.Drain() }},
		"body-pending":              {request: get("/v1/message-body/0.pending")},
		"body-dead-letter":          {request: get("/v1/message-body/0.dead")},
		"body-done":                 {request: get("/v1/message-body/0.done")},
		"body-not-found":            {request: get("/v1/message-body/0.none")},
		"body-not-known":            {request: get("/v1/message-body/0.unknown")},
		"state-head-is-no-question": {request: strings.Replace(get("/v1/message/0.done"), "GET", "HEAD", 1)},
	}
	files, err := filepath.Glob(filepath.Join("testdata", "compat", "*.http"))
	require.NoError(t, err)
	assert.Len(t, files, len(cases)+len(readinessCases), "each golden file needs a case")
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { checkGolden(t, name, c.request, c.prepare) })
	}
}

// checkGolden sends a request to a prepared site and compares the response bytes with a golden file.
func checkGolden(t *testing.T, name, request string, prepare func(s *site)) {
	t.Parallel()
	s := newSite(t)
	s.queue.find = compatFind
	if prepare != nil {
		prepare(s)
	}
	assert.Equal(t, golden(t, name+".http"), normalizeDates(allBytes(t, s.server.Address(), request)))
}

var readinessCases = map[string]struct {
	path  string
	ready bool
}{
	"readiness-ready":     {"/v1/readyz", true},
	"readiness-not-ready": {"/v1/readyz", false},
	"readiness-not-found": {"/other", true},
}

func TestReadinessResponseBytes(t *testing.T) {
	for name, c := range readinessCases {
		t.Run(name, func(t *testing.T) {
			r, err := ListenReady("127.0.0.1:0", func() bool { return c.ready })
			require.NoError(t, err)
			defer r.Close()
			got := allBytes(t, r.Address(), fmt.Sprintf("GET %s HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n", c.path))
			assert.Equal(t, golden(t, name+".http"), got)
		})
	}
}

func TestStateBodyBytes(t *testing.T) {
	cases := map[string]stateResponse{
		"state-pending.http":     {State: "pending"},
		"state-done.http":        {State: "done", Signature: "3e1b.07"},
		"state-dead-letter.http": {State: "dead_letter"},
		"state-dropped.http":     {State: "dead_letter"},
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			_, body, found := strings.Cut(golden(t, name), "\r\n\r\n")
			require.True(t, found)
			var decoded stateResponse
			decoder := json.NewDecoder(strings.NewReader(body))
			decoder.DisallowUnknownFields()
			require.NoError(t, decoder.Decode(&decoded))
			assert.Equal(t, want, decoded)
			text, err := json.Marshal(decoded)
			require.NoError(t, err)
			assert.Equal(t, body, string(text))
		})
	}
}
