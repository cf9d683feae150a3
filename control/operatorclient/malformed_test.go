package operatorclient

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/test/standin/answers"
)

// malformedControl is a control process that answers all calls with a text.
type malformedControl struct {
	address string
	calls   atomic.Int32
	ended   chan struct{} // receives a value when a connection has ended
}

func startMalformedControl(t *testing.T, text string) *malformedControl {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	c := &malformedControl{address: listener.Addr().String(), ended: make(chan struct{}, 100)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn, text)
		}
	}()
	return c
}

// serve answers one call. Only the caller closes the connection.
func (c *malformedControl) serve(conn net.Conn, text string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err == nil {
		_, err = io.Copy(io.Discard, request.Body)
	}
	if err != nil {
		return
	}
	c.calls.Add(1)
	_, _ = io.WriteString(conn, text)
	_, _ = io.Copy(io.Discard, reader)
	c.ended <- struct{}{}
}

// controlAnswer is an answer of a control process to an order.
func controlAnswer(status int, fields string) answers.Answer {
	return answers.Answer{Status: status, Fields: "Content-Type: application/json\r\n" + fields, Body: `{"version":5,"error":"e"}`}
}

// orderAnswers are answers from which the client would conclude something if they were valid.
var orderAnswers = map[string]answers.Answer{
	"acknowledged": controlAnswer(http.StatusOK, ""),
	"invalid":      controlAnswer(http.StatusBadRequest, ""),
	"conflict":     controlAnswer(http.StatusPreconditionFailed, ""),
	"too large":    controlAnswer(http.StatusRequestEntityTooLarge, ""),
	"unavailable":  controlAnswer(http.StatusServiceUnavailable, "Retry-After: 1\r\n"),
	"limited":      controlAnswer(http.StatusTooManyRequests, "Retry-After: 1\r\n"),
}

// After a malformed answer it is not known whether an order was carried out, whatever its status. The order is sent to the next
// address, unchanged.
func TestMalformedAnswerDecidesNothing(t *testing.T) {
	for name, answer := range orderAnswers {
		for _, form := range answers.Malformed() {
			t.Run(name+"/"+form.Name, func(t *testing.T) {
				t.Parallel()
				s := newSystem(t)
				malformed := startMalformedControl(t, form.Encode(answer))
				client, _ := s.client(1, malformed.address)
				version, err := client.Set(t.Context(), 0, document(5))
				require.Equal(t, KindUndecided, failureOf(t, err).Kind, err)
				require.Zero(t, failureOf(t, err).Status)
				require.Zero(t, version)
				<-malformed.ended

				control := s.start()
				client, pauses := s.client(10, malformed.address, control.address)
				version, err = client.Set(t.Context(), 0, document(5))
				require.NoError(t, err)
				require.EqualValues(t, 5, version)
				require.Len(t, *pauses, 1)
				require.Equal(t, firstPause, (*pauses)[0], "a malformed answer sets no pause")
			})
		}
	}
}

// A redirection in a malformed answer is not followed.
func TestMalformedRedirectionIsNotFollowed(t *testing.T) {
	for _, form := range answers.Malformed() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			target := startMalformedControl(t, answers.Plain(controlAnswer(http.StatusOK, "")))
			location := fmt.Sprintf("Location: http://%s/v1/retire/n/start\r\n", target.address)
			malformed := startMalformedControl(t, form.Encode(controlAnswer(http.StatusTemporaryRedirect, location)))
			client, _ := s.client(1, malformed.address)
			require.Equal(t, KindUndecided, failureOf(t, client.StartRetire(t.Context(), "n", retireTimeout)).Kind)
			require.Zero(t, target.calls.Load())
		})
	}
}

// A message's state in a malformed answer is not shown.
func TestMalformedMessageStateIsNotShown(t *testing.T) {
	for _, form := range answers.Malformed() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			malformed := startMalformedControl(t, form.Encode(answers.Answer{Status: http.StatusOK, Body: `{"state":"done","signature":"s"}`}))
			client, _ := newSystem(t).client(1, malformed.address)
			message, err := client.Message(t.Context(), "h", "1.a")
			require.Equal(t, KindUndecided, failureOf(t, err).Kind)
			require.Empty(t, message.State)
			_, err = client.MessageBody(t.Context(), "h", "1.a")
			require.Equal(t, KindUndecided, failureOf(t, err).Kind)
		})
	}
}

func TestValidAnswerIsTaken(t *testing.T) {
	for _, form := range answers.Valid() {
		if form.Closes {
			continue // the stand-in leaves the connection open; httpclient's tests have this form
		}
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			valid := startMalformedControl(t, form.Encode(controlAnswer(http.StatusOK, "")))
			client, _ := newSystem(t).client(1, valid.address)
			version, err := client.Set(t.Context(), 0, document(5))
			require.NoError(t, err)
			require.EqualValues(t, 5, version)
		})
	}
}

// Location and Retry-After are no lists: an answer that repeats one is malformed.
func TestRepeatedFieldDecidesNothing(t *testing.T) {
	s := newSystem(t)
	target := startMalformedControl(t, answers.Plain(controlAnswer(http.StatusOK, "")))
	location := fmt.Sprintf("Location: http://%s/v1/retire/n/start\r\n", target.address)
	malformed := startMalformedControl(t, answers.Plain(controlAnswer(http.StatusTemporaryRedirect, location+location)))
	client, _ := s.client(1, malformed.address)
	require.Equal(t, KindUndecided, failureOf(t, client.StartRetire(t.Context(), "n", retireTimeout)).Kind)
	require.Zero(t, target.calls.Load())
	malformed = startMalformedControl(t, answers.Plain(controlAnswer(http.StatusServiceUnavailable, "Retry-After: 1\r\nRetry-After: 2\r\n")))
	client, _ = s.client(1, malformed.address)
	_, err := client.Set(t.Context(), 0, document(5))
	require.Equal(t, KindUndecided, failureOf(t, err).Kind)
}
