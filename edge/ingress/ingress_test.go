package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/catalog"
	"ravendale/cluster/wire"
	"ravendale/edge/dispatch"
	"ravendale/edge/queueclient"
)

type fakeQueue struct {
	mu       sync.Mutex
	messages []wire.Message
	dispatch []bool
	limits   []time.Duration
	answers  []queueclient.Limits
	versions []uint64 // of the configuration
	result   queueclient.Result
	blocked  chan struct{} // nil: Put returns at once
	find     func(id string, body bool) (*wire.FindReply, error)
}

func (q *fakeQueue) Put(m *wire.Message, configVersion uint64, dispatch bool, limits queueclient.Limits) queueclient.Result {
	if q.blocked != nil {
		<-q.blocked
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	m.ID = "0.name"
	stored := *m
	stored.Body = append([]byte(nil), m.Body...)
	q.messages = append(q.messages, stored)
	q.dispatch = append(q.dispatch, dispatch)
	q.limits = append(q.limits, limits.Attempt)
	q.answers = append(q.answers, limits)
	q.versions = append(q.versions, configVersion)
	return q.result
}

func (q *fakeQueue) Find(id string, body bool) (*wire.FindReply, error) { return q.find(id, body) }

func (q *fakeQueue) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.messages)
}

type site struct {
	queue   *fakeQueue
	server  *Server
	index   *catalog.Index
	ready   bool
	accepts bool
}

func newSite(t *testing.T) *site {
	s := &site{queue: &fakeQueue{}, ready: true, accepts: true}
	s.index = catalog.NewIndex(&catalog.Config{
		Routes: []catalog.Route{
			{Name: "long", Host: "a.example", PathPrefix: "/p/q/", Type: dispatch.DeferredType, Service: "s", TargetMs: 80, Retries: 4, RetentionS: 90, Ordered: true},
			{Name: "short", Host: "a.example", PathPrefix: "/p/", Type: dispatch.DeferredType, Service: "s", TargetMs: 80, Retries: 6, RetentionS: 60},
			{Name: "other", Host: "a.example", PathPrefix: "/direct/", Type: "request", Service: "s"},
		},
		Services: []catalog.Service{{Name: "s"}},
	})
	s.server = New(Config{
		Queue: s.queue, Index: func() *catalog.Index { return s.index }, Ready: func() bool { return s.ready },
		Accepts: func(string, int) bool { return s.accepts }, MaxConns: 50,
	})
	s.server.SetLimits(catalog.Limits{MaxHeaderBytes: 8192, MaxBodyBytes: 1000, HeaderTimeoutMs: 300, IdleTimeoutMs: 400})
	require.NoError(t, s.server.Listen("127.0.0.1:0"))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.server.Shutdown(ctx)
	})
	return s
}

type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *site) dial(t *testing.T) *client {
	conn, err := net.Dial("tcp4", s.server.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) send(text string) *client {
	_, err := io.WriteString(c.conn, text)
	require.NoError(c.t, err)
	return c
}

type reply struct {
	status  int
	header  http.Header
	body    string
	closing bool // Connection: close, which net/http removes from the header
}

func (c *client) read() reply {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return reply{response.StatusCode, response.Header, string(body), response.Close}
}

// closed reports whether the server has closed the connection without sending anything more.
func (c *client) closed() bool {
	_, err := c.reader.ReadByte()
	return err != nil && !strings.Contains(err.Error(), "timeout")
}

func (s *site) ask(t *testing.T, text string) reply {
	t.Helper()
	return s.dial(t).send(text).read()
}

const head = "POST /p/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"

func TestMessageIsAccepted(t *testing.T) {
	s := newSite(t)
	got := s.ask(t, "POST /p/q/a%2Fb/../c//d?x=%20&y HTTP/1.1\r\nHost: a.example:80\r\nRequest-Id: r1\r\nOrder-Key: k\r\n"+
		"Content-Type: text/x\r\nDelay-Ms: 1500\r\nContent-Length: 5\r\n\r\nhello")
	assert.Equal(t, http.StatusAccepted, got.status)
	assert.Equal(t, "0.name", got.header.Get("Msg-Id"))
	assert.Empty(t, got.body)
	m := s.queue.messages[0]
	assert.InDelta(t, time.Now().UnixMilli(), m.SentUnixMs, 5000)
	m.SentUnixMs = 0
	assert.Equal(t, wire.Message{
		ID: "0.name", RequestID: "r1", Route: "long", Method: "POST", Host: "a.example:80", Target: "/p/q/a%2Fb/../c//d?x=%20&y",
		ContentType: "text/x", Key: "k", Body: []byte("hello"), DelayMs: 1500, RetentionMs: 90000, Retries: 4, Ordered: true,
	}, m)
	assert.True(t, s.queue.dispatch[0])
}

// Rule UNASKED (test/standin/check): the key is stored byte for byte as it was sent, whether or not its route is ordered.
func TestOrderKeyIsStoredUnchanged(t *testing.T) {
	const key = "K \xe9\xff,\t\"=;:%20/ k"
	s := newSite(t)
	for _, path := range []string{"/p/q/", "/p/x"} {
		got := s.ask(t, "POST "+path+" HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\noRDER-kEY: \t"+key+" \r\nContent-Length: 0\r\n\r\n")
		require.Equal(t, http.StatusAccepted, got.status)
	}
	assert.Equal(t, key, s.queue.messages[0].Key)
	assert.Equal(t, key, s.queue.messages[1].Key)
	for _, bad := range []string{"a\x00b", "a\rb", "a\x7fb"} {
		got := s.ask(t, head+"Order-Key: "+bad+"\r\nContent-Length: 0\r\n\r\n")
		assert.Equal(t, http.StatusBadRequest, got.status, "%q", bad)
	}
}

func TestMessageWithoutKeyIsUnordered(t *testing.T) {
	s := newSite(t)
	assert.Equal(t, http.StatusAccepted, s.ask(t, "POST /p/q/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n").status)
	assert.False(t, s.queue.messages[0].Ordered)
}

func TestChunkedBody(t *testing.T) {
	s := newSite(t)
	c := s.dial(t).send(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\n\r\n")
	assert.Equal(t, http.StatusAccepted, c.read().status)
	assert.Equal(t, "hello", string(s.queue.messages[0].Body))
	c.send(head + "Content-Length: 2\r\n\r\nok") // the connection stays usable
	assert.Equal(t, http.StatusAccepted, c.read().status)
}

func TestOtherMethodsAndQueries(t *testing.T) {
	s := newSite(t)
	for _, method := range []string{"GET", "PUT", "DELETE", "PATCH"} {
		got := s.ask(t, method+" /p/x?a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n")
		assert.Equal(t, http.StatusAccepted, got.status, method)
	}
	assert.Equal(t, "PATCH", s.queue.messages[3].Method)
}

// CONFIG: a route that this edge doesn't know may be new while the edge has lost contact with the control plane. A 404
// would end the client's attempts.
func TestUnknownRouteWithUnconfirmedConfigIsUnavailable(t *testing.T) {
	s := newSite(t)
	confirmed := false
	s.server.config.Confirmed = func() bool { return confirmed }
	const unknown, known = "POST /none HTTP/1.1\r\nHost: a.example", "POST /p/x HTTP/1.1\r\nHost: a.example"
	const rest = "\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n"
	got := s.ask(t, unknown+rest)
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Equal(t, http.StatusAccepted, s.ask(t, known+rest).status, "a known route needs no confirmation")
	confirmed = true
	assert.Equal(t, http.StatusNotFound, s.ask(t, unknown+rest).status)
}

// The store and other edges learn from the message under which configuration it was accepted.
func TestPutHasConfigVersion(t *testing.T) {
	s := newSite(t)
	config := *s.index.Config()
	config.Version = 71
	s.index = catalog.NewIndex(&config)
	require.Equal(t, http.StatusAccepted, s.ask(t, head+"Content-Length: 0\r\n\r\n").status)
	assert.Equal(t, []uint64{71}, s.queue.versions)
}

func TestUnknownRoutesAreNotFound(t *testing.T) {
	s := newSite(t)
	for _, line := range []string{"POST /none HTTP/1.1\r\nHost: a.example", "POST /p/x HTTP/1.1\r\nHost: b.example",
		"POST /direct/x HTTP/1.1\r\nHost: a.example", "POST /p HTTP/1.1\r\nHost: a.example", "POST /%70/x HTTP/1.1\r\nHost: a.example"} {
		assert.Equal(t, http.StatusNotFound, s.ask(t, line+"\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n").status, line)
	}
	assert.Zero(t, s.queue.count())
}

func TestInvalidFieldsAreBadRequests(t *testing.T) {
	s := newSite(t)
	const line = "POST /p/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n"
	for _, fields := range []string{"", "Request-Id: \r\n", "Request-Id: a\tb\r\n", "Request-Id: a\r\nRequest-Id: b\r\n",
		"Request-Id: a\r\nDelay-Ms: -1\r\n", "Request-Id: a\r\nDelay-Ms: x\r\n", "Request-Id: a\r\nDelay-Ms: \r\n", "Request-Id: a\r\nDelay-Ms: NaN\r\n",
		"Request-Id: a\r\nDelay-Ms: Inf\r\n", "Request-Id: a\r\nDelay-Ms: 1e99\r\n", "Request-Id: a\r\nDelay-Ms: 1\r\nDelay-Ms: 2\r\n",
		"Request-Id: a\r\nOrder-Key: 1\r\nOrder-Key: 2\r\n"} {
		assert.Equal(t, http.StatusBadRequest, s.ask(t, line+fields+"\r\n").status, fields)
	}
	assert.Zero(t, s.queue.count())
}

// Requests that can be parsed in different ways are rejected and the connection is closed, so that the bytes that
// follow are not taken for a request.
func TestSmugglingIsRejected(t *testing.T) {
	const hidden = "POST /p/hidden HTTP/1.1\r\nHost: a.example\r\nRequest-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]string{
		"length and chunks":            head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunks and length":            head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
		"two lengths":                  head + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n",
		"the same length twice":        head + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n",
		"list of lengths":              head + "Content-Length: 0, 0\r\n\r\n",
		"signed length":                head + "Content-Length: +0\r\n\r\n",
		"negative length":              head + "Content-Length: -1\r\n\r\n",
		"length that is no number":     head + "Content-Length: 0x0\r\n\r\n",
		"length that overflows":        head + "Content-Length: 99999999999999999999999\r\n\r\n",
		"unknown coding":               head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"coding twice":                 head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"coding identity":              head + "Transfer-Encoding: identity\r\nContent-Length: 0\r\n\r\n",
		"coding disguised":             head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"space before the colon":       head + "Content-Length : 0\r\n\r\n",
		"coding with a space":          head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"folded line":                  head + "X: a\r\n Content-Length: 0\r\nContent-Length: 0\r\n\r\n",
		"bare line feeds":              head + "X: a\nContent-Length: 0\r\n\r\n",
		"field without a name":         head + ": a\r\nContent-Length: 0\r\n\r\n",
		"control in a field":           head + "X: a\x00b\r\nContent-Length: 0\r\n\r\n",
		"two hosts":                    head + "Host: b.example\r\nContent-Length: 0\r\n\r\n",
		"no host":                      "POST /p/x HTTP/1.1\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
		"whole address as target":      "POST http://a.example/p/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
		"target without a slash":       "POST p/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
		"space in the target":          "POST /p/x y HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
		"older protocol":               "POST /p/x HTTP/1.0\r\nHost: a.example\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
		"no protocol":                  "POST /p/x\r\nHost: a.example\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
		"chunk size that is no number": head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
		"chunk size with a sign":       head + "Transfer-Encoding: chunked\r\n\r\n+2\r\nab\r\n0\r\n\r\n",
		"chunk size with a prefix":     head + "Transfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n",
		"chunk longer than its size":   head + "Transfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n",
		"chunk with a line feed":       head + "Transfer-Encoding: chunked\r\n\r\n2\nab\r\n0\r\n\r\n",
		"chunk without its end":        head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab0\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			c := s.dial(t).send(text + hidden)
			assert.Equal(t, http.StatusBadRequest, c.read().status)
			assert.True(t, c.closed())
			assert.Zero(t, s.queue.count())
		})
	}
}

func TestLimits(t *testing.T) {
	s := newSite(t)
	got := s.ask(t, head+"Content-Length: 1001\r\n\r\n")
	assert.Equal(t, http.StatusRequestEntityTooLarge, got.status)
	got = s.ask(t, head+"Transfer-Encoding: chunked\r\n\r\n3e9\r\n"+strings.Repeat("x", 1001)+"\r\n0\r\n\r\n")
	assert.Equal(t, http.StatusRequestEntityTooLarge, got.status)
	got = s.ask(t, head+"Content-Length: 1000\r\n\r\n"+strings.Repeat("x", 1000))
	assert.Equal(t, http.StatusAccepted, got.status)
	got = s.ask(t, head+"X: "+strings.Repeat("x", 7900)+"\r\nContent-Length: 0\r\n\r\n")
	assert.Equal(t, http.StatusAccepted, got.status)
	got = s.ask(t, head+"X: "+strings.Repeat("x", 8300)+"\r\nContent-Length: 0\r\n\r\n")
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, got.status)
	assert.Equal(t, 2, s.queue.count())
}

func TestNewBodyLimitAppliesToOpenConnections(t *testing.T) {
	s := newSite(t)
	c := s.dial(t).send(head + "Content-Length: 0\r\n\r\n")
	require.Equal(t, http.StatusAccepted, c.read().status)
	s.server.SetLimits(catalog.Limits{MaxBodyBytes: 10})
	c.send(head + "Content-Length: 11\r\n\r\nhello world")
	assert.Equal(t, http.StatusRequestEntityTooLarge, c.read().status)
}

func TestSlowHeaderTimesOut(t *testing.T) {
	s := newSite(t)
	began := time.Now()
	c := s.dial(t).send("POST /p/x HTTP/1.1\r\nHost: a.exa")
	assert.Equal(t, http.StatusRequestTimeout, c.read().status)
	assert.True(t, c.closed())
	assert.InDelta(t, 300, time.Since(began).Milliseconds(), 200)
}

func TestIdleConnectionIsClosedWithoutResponse(t *testing.T) {
	s := newSite(t)
	c := s.dial(t).send(head + "Content-Length: 0\r\n\r\n")
	require.Equal(t, http.StatusAccepted, c.read().status)
	assert.True(t, c.closed())
	c = s.dial(t)
	assert.True(t, c.closed())
}

func TestPipelinedRequests(t *testing.T) {
	s := newSite(t)
	c := s.dial(t)
	for i := range 5 {
		c.send(fmt.Sprintf("POST /p/%d HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r%d\r\nContent-Length: 2\r\n\r\n%02d", i, i, i))
	}
	for range 5 {
		assert.Equal(t, http.StatusAccepted, c.read().status)
	}
	for i, m := range s.queue.messages {
		assert.Equal(t, fmt.Sprintf("r%d", i), m.RequestID)
		assert.Equal(t, fmt.Sprintf("%02d", i), string(m.Body))
	}
}

func TestRejectedPutIsUnavailable(t *testing.T) {
	s := newSite(t)
	s.queue.result = queueclient.Rejected
	c := s.dial(t).send(head + "Content-Length: 0\r\n\r\n")
	got := c.read()
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, "1", got.header.Get("Retry-After"))
	assert.Empty(t, got.header.Get("Msg-Id"))
}

func TestUnknownPutClosesConnection(t *testing.T) {
	s := newSite(t)
	s.queue.result = queueclient.Unknown
	c := s.dial(t).send(head + "Content-Length: 0\r\n\r\n")
	assert.True(t, c.closed())
}

func TestNotReady(t *testing.T) {
	s := newSite(t)
	s.ready = false
	assert.Equal(t, http.StatusServiceUnavailable, s.ask(t, head+"Content-Length: 0\r\n\r\n").status)
	s.ready, s.index = true, nil
	got := s.ask(t, head+"Content-Length: 0\r\n\r\n")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, "1", got.header.Get("Retry-After"))
	assert.Zero(t, s.queue.count())
}

func TestMessageNotAcceptedByThisEdgeIsNotDispatched(t *testing.T) {
	s := newSite(t)
	s.accepts = false
	assert.Equal(t, http.StatusAccepted, s.ask(t, head+"Content-Length: 2\r\n\r\nok").status)
	assert.False(t, s.queue.dispatch[0])
	assert.Equal(t, "ok", string(s.queue.messages[0].Body))
}

func TestPutLimits(t *testing.T) {
	s := newSite(t)
	for _, deadline := range []string{"", "Deadline-Ms: 1000\r\n", "Deadline-Ms: 60000\r\n", "Deadline-Ms: x\r\n"} {
		require.Equal(t, http.StatusAccepted, s.ask(t, head+deadline+"Content-Length: 0\r\n\r\n").status)
	}
	assert.Equal(t, []time.Duration{400 * time.Millisecond, 420 * time.Millisecond, maxDeadlinePutTime, 400 * time.Millisecond}, s.queue.limits)
	assert.Equal(t, queueclient.Limits{Attempt: 420 * time.Millisecond, Answer: 50 * time.Millisecond, LateAnswer: 480 * time.Millisecond}, s.queue.answers[1])
}

func TestStates(t *testing.T) {
	s := newSite(t)
	answers := map[string]wire.FindReply{
		"0.pending": {Found: true, State: wire.StatePending},
		"0.done":    {Found: true, State: wire.StateDone, Signature: "3e1b.07"},
		"0.dead":    {Found: true, State: wire.StateDead},
		"0.dropped": {Found: true, State: wire.StateDropped},
	}
	s.queue.find = func(id string, body bool) (*wire.FindReply, error) {
		if id == "0.lost" {
			return nil, queueclient.ErrNoAnswer
		}
		answer, known := answers[id]
		if !known {
			return nil, queueclient.ErrNotFound
		}
		if body {
			answer.Body = []byte("bytes of " + id)
		}
		return &answer, nil
	}
	ask := func(path string) reply { return s.ask(t, "GET "+path+" HTTP/1.1\r\nHost: a.example\r\n\r\n") }
	got := ask("/v1/message/0.done")
	assert.Equal(t, "application/json", got.header.Get("Content-Type"))
	assert.JSONEq(t, `{"state":"done","signature":"3e1b.07"}`, got.body)
	assert.JSONEq(t, `{"state":"pending"}`, ask("/v1/message/0.pending").body)
	assert.JSONEq(t, `{"state":"dead_letter"}`, ask("/v1/message/0.dead").body)
	assert.JSONEq(t, `{"state":"dead_letter"}`, ask("/v1/message/0.dropped").body)
	assert.Equal(t, http.StatusNotFound, ask("/v1/message/0.none").status)
	assert.Equal(t, http.StatusServiceUnavailable, ask("/v1/message/0.lost").status)
	assert.Equal(t, "bytes of 0.pending", ask("/v1/message-body/0.pending").body)
	assert.Equal(t, "bytes of 0.dead", ask("/v1/message-body/0.dead").body)
	assert.Equal(t, http.StatusNotFound, ask("/v1/message-body/0.done").status)
	assert.Equal(t, http.StatusNotFound, ask("/v1/message-body/0.none").status)
	assert.Equal(t, http.StatusServiceUnavailable, ask("/v1/message-body/0.lost").status)
}

func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	s := newSite(t)
	s.queue.blocked = make(chan struct{})
	idle, busy := s.dial(t), s.dial(t)
	busy.send(head + "Content-Length: 0\r\n\r\n")
	time.Sleep(30 * time.Millisecond)
	closed := make(chan struct{})
	go func() {
		s.server.Shutdown(context.Background())
		close(closed)
	}()
	assert.True(t, idle.closed())
	close(s.queue.blocked)
	got := busy.read()
	assert.Equal(t, http.StatusAccepted, got.status)
	assert.True(t, got.closing)
	assert.True(t, busy.closed())
	<-closed
	_, err := net.Dial("tcp4", s.server.Address())
	assert.Error(t, err)
}

func TestDrainStillAccepts(t *testing.T) {
	s := newSite(t)
	s.server.Drain()
	got := s.ask(t, head+"Content-Length: 0\r\n\r\n")
	assert.Equal(t, http.StatusAccepted, got.status)
	assert.True(t, got.closing)
}

func TestShutdownReturnsWhenContextIsDone(t *testing.T) {
	s := newSite(t)
	s.queue.blocked = make(chan struct{})
	defer close(s.queue.blocked)
	s.dial(t).send(head + "Content-Length: 0\r\n\r\n")
	time.Sleep(30 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.server.Shutdown(ctx)
}

func TestReadiness(t *testing.T) {
	ready := true
	r, err := ListenReady("127.0.0.1:0", func() bool { return ready })
	require.NoError(t, err)
	defer r.Close()
	get := func(path string) int {
		response, err := http.Get("http://" + r.Address() + path)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	assert.Equal(t, http.StatusOK, get("/v1/readyz"))
	assert.Equal(t, http.StatusNotFound, get("/other"))
	ready = false
	assert.Equal(t, http.StatusServiceUnavailable, get("/v1/readyz"))
}
