package systemtest

import (
	"bufio"
	"encoding/json"
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

	"ravendale/test/standin/answers"
	"ravendale/test/standin/protocol"
	"ravendale/test/standin/workers"
)

// malformedRoute is the name of the route, and of the service, whose endpoint sends malformed answers. One failed run ends a message
// on it, so that a single answer that counts wrongly shows.
const malformedRoute = "malformed"

// malformedClaims are the statuses of the malformed answers, with the field that says that a message did not run where they have
// one.
var malformedClaims = map[int]string{
	http.StatusOK: "", http.StatusInternalServerError: "", http.StatusUnprocessableEntity: "",
	http.StatusMisdirectedRequest: protocol.HeaderNotExecuted + ": true\r\n",
	http.StatusServiceUnavailable: protocol.HeaderNotExecuted + ": true\r\n",
}

// malformedMessage is a message whose first delivery gets a malformed answer.
type malformedMessage struct {
	id     string // its Request-Id
	form   answers.Form
	status int
	name   string // given by the system
}

// malformedEndpoint is an endpoint that answers the first delivery of each message in the message's form, and the others with valid answers.
type malformedEndpoint struct {
	listener net.Listener

	mu        sync.Mutex
	messages  map[string]*malformedMessage // those whose first delivery has not come, by Request-Id
	reused    []string                     // Request-Ids of deliveries on a connection that carried a malformed answer
	delivered int
}

func startMalformedEndpoint(t *testing.T, messages []*malformedMessage) *malformedEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &malformedEndpoint{listener: listener, messages: make(map[string]*malformedMessage)}
	for _, message := range messages {
		e.messages[message.id] = message
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

// serve answers the requests on a connection. After a malformed answer it only waits for the end of the connection.
func (e *malformedEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for isMalformed := false; ; {
		request, err := http.ReadRequest(reader)
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err != nil {
			return
		}
		id := request.Header.Get(protocol.HeaderRequestID)
		message := e.take(id, isMalformed)
		if message == nil {
			_, _ = io.WriteString(conn, answers.Plain(endpointAnswer(id, "valid", http.StatusOK, "")))
			continue
		}
		isMalformed = true
		_, _ = io.WriteString(conn, message.form.Encode(endpointAnswer(id, "malformed", message.status, malformedClaims[message.status])))
	}
}

// take returns the message with an ID if this is its first delivery, and records whether the connection is used again after a
// malformed answer.
func (e *malformedEndpoint) take(id string, isMalformed bool) *malformedMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	if isMalformed {
		e.reused = append(e.reused, id)
	}
	e.delivered++
	message := e.messages[id]
	delete(e.messages, id)
	return message
}

func endpointAnswer(id, kind string, status int, more string) answers.Answer {
	return answers.Answer{
		Status: status, Body: "content of " + id,
		Fields: fmt.Sprintf("%s: %s\r\n%s: %s\r\n%s", protocol.HeaderRequestID, id, protocol.HeaderSignature, signatureOf(kind, id), more),
	}
}

func signatureOf(kind, id string) string { return kind + "." + id }

// send hands a message to an edge, and returns the status of the answer.
func (m *malformedMessage) send(t *testing.T, edge string) int {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+edge+"/"+malformedRoute+"/a", strings.NewReader("body"))
	if !assert.NoError(t, err) {
		return 0
	}
	request.Host = host
	request.Header.Set(protocol.HeaderRequestID, m.id)
	answer, err := http.DefaultClient.Do(request)
	if !assert.NoError(t, err) {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	m.name = answer.Header.Get(protocol.HeaderMessageID)
	return answer.StatusCode
}

// messageState is the answer to a client that asks for a message's state.
type messageState struct {
	State     string `json:"state"`
	Signature string `json:"signature"`
}

// state asks an edge for the message's state.
func (m *malformedMessage) state(t *testing.T, edge string) (state messageState) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+edge+"/v1/message/"+m.name, http.NoBody)
	if !assert.NoError(t, err) {
		return messageState{}
	}
	request.Host = host
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return messageState{}
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode == http.StatusOK {
		assert.NoError(t, json.NewDecoder(answer.Body).Decode(&state))
	}
	return state
}

// redeliveryBound is how long the messages may take until the valid answers. It is below the retention of the route; how soon a
// message is delivered again is not what the test is about.
const redeliveryBound = time.Minute

// statePause is the pause between two questions for a message's state.
const statePause = 20 * time.Millisecond

// finalState asks an edge for the message's state until the message has ended, or until the deadline.
func (m *malformedMessage) finalState(t *testing.T, edge string, deadline time.Time) messageState {
	pause := time.NewTicker(statePause)
	defer pause.Stop()
	for {
		state := m.state(t, edge)
		if state.State == protocol.StateDone || state.State == protocol.StateDead || time.Now().After(deadline) {
			return state
		}
		<-pause.C
	}
}

// malformedMessages returns a message for each form and status.
func malformedMessages() []*malformedMessage {
	var messages []*malformedMessage
	for status := range malformedClaims {
		for i, form := range answers.Malformed() {
			messages = append(messages, &malformedMessage{id: fmt.Sprintf("malformed-%d-%d", status, i), form: form, status: status})
		}
	}
	return messages
}

// MIXED, REFUSED: what a malformed answer says never reaches a client. The first delivery of each message gets an answer that HTTP
// forbids, with another signature than the run's; then the message must be delivered again, and be done with the signature of
// the valid answer. No connection may be used after a malformed answer.
func TestMalformedAnswersReachNoClient(t *testing.T) {
	r := start(t)
	messages := malformedMessages()
	endpoint := startMalformedEndpoint(t, messages)
	address := endpoint.listener.Addr().String()
	added := route(malformedRoute, false)
	added.Type, added.Service, added.Retries, added.RetentionS = protocol.TypeDeferred, malformedRoute, 1, 120
	r.patch(protocol.Patch{Upsert: protocol.Upsert{
		Routes:   []protocol.Route{added},
		Services: []protocol.Service{{Name: malformedRoute, HealthPath: "/healthz", MaxConns: 200, Protocol: "h1", Endpoint: &address}},
	}})
	edges := r.system.EdgeAddresses()
	for i, edge := range edges {
		probe := &malformedMessage{id: fmt.Sprintf("probe-%d", i)} // answered with valid answers
		require.Eventually(t, func() bool { return probe.send(t, edge.HTTP) == http.StatusAccepted }, startBound, statePause)
	}
	for i, message := range messages {
		require.Equal(t, http.StatusAccepted, message.send(t, edges[i%len(edges)].HTTP))
	}
	deadline := time.Now().Add(redeliveryBound)
	for i, message := range messages {
		want := messageState{State: protocol.StateDone, Signature: signatureOf("valid", message.id)}
		got := message.finalState(t, edges[i%len(edges)].HTTP, deadline)
		assert.Equal(t, want, got, "after a malformed answer: %d, %s", message.status, message.form.Name)
	}
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	assert.Empty(t, endpoint.messages, "messages without a delivery")
	assert.Empty(t, endpoint.reused, "deliveries on a connection that carried a malformed answer")
	t.Logf("%d messages, %d deliveries", len(messages), endpoint.delivered)
	assert.Empty(t, r.system.UnexpectedExits())
}

// malformedListShare is the fraction of the platform's answers that are malformed.
const malformedListShare = 0.6

// ROUTE: a list in a malformed answer of the platform is not used. It names a worker that the platform never listed, and none of
// those that it lists.
func TestMalformedListsReachNoWorker(t *testing.T) {
	r := start(t)
	unlisted, err := r.world.Fleet.Start(workers.Listen{Service: "plain", Zone: zones[0], Unlisted: true})
	require.NoError(t, err)
	require.NoError(t, r.world.Platform.SetMalformed(malformedListShare, unlisted.Instance()))
	r.load(8 * time.Second)()
	require.NoError(t, r.world.Platform.SetMalformed(0))
	assert.GreaterOrEqual(t, r.acceptedSince(0), minAccepted)
	r.verify()
	t.Logf("%d malformed answers", r.world.Platform.Malformed())
	assert.NotZero(t, r.world.Platform.Malformed())
	var misrouted []string
	for _, arrival := range r.world.Record.History().Arrivals {
		if arrival.Worker == unlisted.ID() {
			misrouted = append(misrouted, arrival.RequestID)
		}
	}
	assert.Empty(t, misrouted, "messages at a worker that was never listed")
}
