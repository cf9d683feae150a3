package workers_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/test/standin/history"
	"ravendale/test/standin/protocol"
	"ravendale/test/standin/workers"
)

type fixture struct {
	fleet  *workers.Fleet
	record *history.Recorder
	worker *workers.Worker
}

func start(t *testing.T, service workers.Service) fixture {
	t.Helper()
	service.Name = "work"
	record := history.NewRecorder()
	fleet := workers.NewFleet(record)
	fleet.AddService(service)
	worker, err := fleet.Start(workers.Listen{Service: "work", Zone: "east"})
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	return fixture{fleet: fleet, record: record, worker: worker}
}

// caller is a raw connection to a worker.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, worker *workers.Worker) *caller {
	t.Helper()
	conn, err := net.Dial("tcp4", worker.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *caller) send(id string, headers ...string) error {
	lines := append([]string{"POST /x?y=1 HTTP/1.1", "Host: a.example", "Request-Id: " + id, "Content-Length: 2"}, headers...)
	_, err := io.WriteString(c, strings.Join(lines, "\r\n")+"\r\n\r\nhi")
	return err
}

func (c *caller) receive() (*http.Response, error) {
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

func (c *caller) ask(t *testing.T, id string, headers ...string) *http.Response {
	t.Helper()
	require.NoError(t, c.send(id, headers...))
	response, err := c.receive()
	require.NoError(t, err)
	return response
}

// arrivals waits until the arrivals meet a condition.
func (f fixture) arrivals(t *testing.T, condition func([]history.Arrival) bool) []history.Arrival {
	t.Helper()
	require.Eventually(t, func() bool { return condition(f.record.History().Arrivals) }, 3*time.Second, 2*time.Millisecond)
	return f.record.History().Arrivals
}

func TestSuccess(t *testing.T) {
	f := start(t, workers.Service{})
	response := dial(t, f.worker).ask(t, "r1", "Order-Key: k", "Expect-Instance: "+f.worker.ID())
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "r1", response.Header.Get(protocol.HeaderRequestID))
	assert.Equal(t, "timeout=4", response.Header.Get("Keep-Alive"))

	arrivals := f.arrivals(t, func(a []history.Arrival) bool { return len(a) == 1 && a[0].Answered })
	run := arrivals[0]
	assert.Equal(t, response.Header.Get(protocol.HeaderSignature), run.Signature)
	assert.Equal(t, history.OutcomeDone, run.Outcome)
	assert.Equal(t, []string{"r1", "POST", "a.example", "/x?y=1", "k"}, []string{run.RequestID, run.Method, run.Host, run.Target, run.Key})
}

func TestRejectionsAreMarkedNotExecuted(t *testing.T) {
	f := start(t, workers.Service{RatePerS: 1})
	c := dial(t, f.worker)
	other := c.ask(t, "r1", "Expect-Instance: i-other")
	assert.Equal(t, http.StatusMisdirectedRequest, other.StatusCode)
	nameless := c.ask(t, "")
	assert.Equal(t, http.StatusBadRequest, nameless.StatusCode)
	var limited *http.Response
	for i := 0; limited == nil || limited.StatusCode == http.StatusOK; i++ {
		limited = c.ask(t, fmt.Sprintf("r%d", i+2))
	}
	assert.Equal(t, http.StatusTooManyRequests, limited.StatusCode)
	for _, response := range []*http.Response{other, nameless, limited} {
		assert.NotEmpty(t, response.Header.Get(protocol.HeaderNotExecuted))
	}
}

// useExcessConnection opens a connection and reads from it. The reset may arrive while the connection is still being
// opened.
func useExcessConnection(worker *workers.Worker) error {
	conn, err := net.Dial("tcp4", worker.Address())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = conn.Read(make([]byte, 1))
	return err
}

func TestLimits(t *testing.T) {
	f := start(t, workers.Service{Capacity: 1, Queue: 1, MaxConns: 3, WorkMin: 200 * time.Millisecond})
	callers := []*caller{dial(t, f.worker), dial(t, f.worker), dial(t, f.worker)}
	for i, c := range callers {
		require.NoError(t, c.send(fmt.Sprintf("r%d", i)))
	}
	statuses := make(map[int]int)
	for _, c := range callers {
		response, err := c.receive()
		require.NoError(t, err)
		statuses[response.StatusCode]++
	}
	assert.Equal(t, map[int]int{http.StatusOK: 2, http.StatusServiceUnavailable: 1}, statuses)

	assert.ErrorIs(t, useExcessConnection(f.worker), syscall.ECONNRESET, "connections beyond the limit are reset")
}

func TestRunIsAborted(t *testing.T) {
	f := start(t, workers.Service{Capacity: 2, WorkMin: 30 * time.Second})
	response := dial(t, f.worker).ask(t, "r1", "Deadline-Ms: 20")
	assert.Equal(t, http.StatusGatewayTimeout, response.StatusCode)

	c := dial(t, f.worker)
	require.NoError(t, c.send("r2"))
	f.arrivals(t, func(a []history.Arrival) bool { return len(a) == 2 && a[1].Started() })
	_ = c.Close()
	arrivals := f.arrivals(t, func(a []history.Arrival) bool { return a[1].Outcome == history.OutcomeDropped })
	assert.Equal(t, history.OutcomeTimedOut, arrivals[0].Outcome)
	assert.Less(t, arrivals[1].End-arrivals[1].Start, 3*time.Second)
}

func TestIdempotentService(t *testing.T) {
	f := start(t, workers.Service{Capacity: 4, Idempotent: true, WorkMin: 100 * time.Millisecond})
	second, err := f.fleet.Start(workers.Listen{Service: "work", Zone: "west"})
	require.NoError(t, err)

	first := dial(t, f.worker)
	require.NoError(t, first.send("r1"))
	f.arrivals(t, func(a []history.Arrival) bool { return len(a) == 1 && a[0].Started() })
	c := dial(t, second)
	assert.Equal(t, http.StatusConflict, c.ask(t, "r1").StatusCode)
	done, err := first.receive()
	require.NoError(t, err)
	again := c.ask(t, "r1")
	assert.Equal(t, done.Header.Get(protocol.HeaderSignature), again.Header.Get(protocol.HeaderSignature))

	runs := 0
	for _, arrival := range f.record.History().Arrivals {
		if arrival.Started() {
			runs++
		}
	}
	assert.Equal(t, 1, runs)
}

func TestPoisonAndRefusalsDependOnID(t *testing.T) {
	service := workers.Service{PoisonShare: 0.5, RefuseShare: 0.25}
	f := start(t, service)
	c := dial(t, f.worker)
	for i := range 20 {
		id := fmt.Sprintf("r%d", i)
		expected := http.StatusOK
		switch {
		case service.Refuses(id):
			expected = http.StatusUnprocessableEntity
		case service.Poison(id):
			expected = http.StatusInternalServerError
		}
		assert.Equal(t, expected, c.ask(t, id).StatusCode)
		assert.Equal(t, expected, c.ask(t, id).StatusCode)
	}
}

func TestHealth(t *testing.T) {
	f := start(t, workers.Service{HealthPath: "/well"})
	c := dial(t, f.worker)
	check := func() *http.Response {
		_, err := io.WriteString(c, "GET /well HTTP/1.1\r\nHost: w\r\n\r\n")
		require.NoError(t, err)
		response, err := c.receive()
		require.NoError(t, err)
		return response
	}
	response := check()
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, f.worker.ID(), response.Header.Get(protocol.HeaderInstance))
	f.worker.Drain()
	assert.Equal(t, http.StatusServiceUnavailable, check().StatusCode)
	assert.Empty(t, f.record.History().Arrivals, "health checks are not recorded as arrivals")
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	f := start(t, workers.Service{KeepAlive: 50 * time.Millisecond})
	c := dial(t, f.worker)
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	_, err := c.reader.ReadByte() // http.ReadResponse would return another error for a closed connection
	assert.ErrorIs(t, err, io.EOF)
}

func TestFaults(t *testing.T) {
	isTimeout := func(err error) bool {
		var timeout net.Error
		return errors.As(err, &timeout) && timeout.Timeout()
	}
	silent := func(t *testing.T, c *caller) {
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := c.reader.Peek(1)
		assert.True(t, isTimeout(err), "%v", err)
	}
	t.Run("dark", func(t *testing.T) {
		f := start(t, workers.Service{})
		f.worker.SetFaults(workers.Faults{Unresponsive: true})
		c := dial(t, f.worker)
		require.NoError(t, c.send("r1"))
		silent(t, c)
		assert.Empty(t, f.record.History().Arrivals)
	})
	t.Run("answers that are never sent", func(t *testing.T) {
		f := start(t, workers.Service{})
		f.worker.SetFaults(workers.Faults{AnswerFaults: workers.AnswerFaults{NeverSentShare: 1}})
		c := dial(t, f.worker)
		require.NoError(t, c.send("r1"))
		f.arrivals(t, func(a []history.Arrival) bool { return len(a) == 1 && a[0].Outcome == history.OutcomeDone })
		silent(t, c)
		assert.False(t, f.record.History().Arrivals[0].Answered)
	})
	t.Run("truncated answers", func(t *testing.T) {
		f := start(t, workers.Service{})
		f.worker.SetFaults(workers.Faults{AnswerFaults: workers.AnswerFaults{TruncatedShare: 1}})
		c := dial(t, f.worker)
		require.NoError(t, c.send("r1"))
		_, err := c.receive()
		assert.Error(t, err)
		assert.False(t, f.record.History().Arrivals[0].Answered)
	})
	t.Run("duplicated answers", func(t *testing.T) {
		f := start(t, workers.Service{})
		f.worker.SetFaults(workers.Faults{AnswerFaults: workers.AnswerFaults{DuplicatedShare: 1}})
		c := dial(t, f.worker)
		first := c.ask(t, "r1")
		second, err := c.receive()
		require.NoError(t, err)
		assert.Equal(t, first.Header, second.Header)
	})
	t.Run("reset instead of an answer", func(t *testing.T) {
		f := start(t, workers.Service{})
		f.worker.SetFaults(workers.Faults{AnswerFaults: workers.AnswerFaults{ResetShare: 1}})
		c := dial(t, f.worker)
		require.NoError(t, c.send("r1"))
		_, err := c.receive()
		assert.Error(t, err)
		run := f.record.History().Arrivals[0]
		assert.Equal(t, history.OutcomeDone, run.Outcome)
		assert.False(t, run.Answered)
		assert.Equal(t, workers.AnswerReset, run.AnswerFault)
	})
	t.Run("foreign answers", func(t *testing.T) {
		f := start(t, workers.Service{})
		c := dial(t, f.worker)
		first := c.ask(t, "r1")
		f.worker.SetFaults(workers.Faults{AnswerFaults: workers.AnswerFaults{ForeignShare: 1}})
		second := c.ask(t, "r2")
		assert.Equal(t, first.Header, second.Header)
		runs := f.record.History().Arrivals
		assert.False(t, runs[1].Answered)
		assert.Equal(t, []bool{false, true}, []bool{runs[0].Reused, runs[1].Reused})
	})
	t.Run("late answers", func(t *testing.T) {
		f := start(t, workers.Service{})
		f.worker.SetFaults(workers.Faults{AnswerFaults: workers.AnswerFaults{LateShare: 1}})
		response := dial(t, f.worker).ask(t, "r1", "Deadline-Ms: 200")
		assert.Equal(t, http.StatusOK, response.StatusCode)
		run := f.arrivals(t, func(a []history.Arrival) bool { return a[0].Answered })[0]
		assert.GreaterOrEqual(t, run.Written-run.Arrived, 150*time.Millisecond)
	})
	t.Run("failing", func(t *testing.T) {
		f := start(t, workers.Service{})
		f.worker.SetFaults(workers.Faults{Failing: true})
		assert.Equal(t, http.StatusInternalServerError, dial(t, f.worker).ask(t, "r1").StatusCode)
	})
	t.Run("slow", func(t *testing.T) {
		f := start(t, workers.Service{WorkMin: 20 * time.Millisecond})
		f.worker.SetFaults(workers.Faults{Slow: 5})
		dial(t, f.worker).ask(t, "r1")
		run := f.record.History().Arrivals[0]
		assert.GreaterOrEqual(t, run.End-run.Start, 100*time.Millisecond)
	})
	t.Run("crash", func(t *testing.T) {
		f := start(t, workers.Service{WorkMin: 30 * time.Second})
		c := dial(t, f.worker)
		require.NoError(t, c.send("r1"))
		f.arrivals(t, func(a []history.Arrival) bool { return len(a) == 1 && a[0].Started() })
		f.worker.Crash()
		_, err := c.receive()
		assert.Error(t, err)
		f.arrivals(t, func(a []history.Arrival) bool { return a[0].Outcome == history.OutcomeDropped })
		_, err = net.Dial("tcp4", f.worker.Address())
		assert.Error(t, err)
		assert.Empty(t, f.fleet.Workers("work"))
	})
}

func TestConcurrentCallers(t *testing.T) {
	f := start(t, workers.Service{Capacity: 8, Queue: 100, WorkMin: time.Millisecond, FailShare: 0.2})
	var group sync.WaitGroup
	for i := range 16 {
		c := dial(t, f.worker)
		group.Go(func() {
			for j := range 10 {
				if assert.NoError(t, c.send(fmt.Sprintf("r%d-%d", i, j))) {
					_, err := c.receive()
					assert.NoError(t, err)
				}
			}
		})
	}
	group.Wait()
	assert.Len(t, f.record.History().Arrivals, 160)
}
