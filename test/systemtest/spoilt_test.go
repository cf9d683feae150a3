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

// spoiltRoute is the name of the route, and of the service, whose endpoint sends spoilt answers. One failed run ends a message
// on it, so that a single answer that counts wrongly shows.
const spoiltRoute = "spoilt"

// spoiltClaims are the statuses of the spoilt answers, with the field that says that a message did not run where they have
// one.
var spoiltClaims = map[int]string{
	http.StatusOK: "", http.StatusInternalServerError: "", http.StatusUnprocessableEntity: "",
	http.StatusMisdirectedRequest: protocol.HeaderNotExecuted + ": true\r\n",
	http.StatusServiceUnavailable: protocol.HeaderNotExecuted + ": true\r\n",
}

// spoiltMessage is a message whose first delivery gets a spoilt answer.
type spoiltMessage struct {
	id     string // its Request-Id
	form   answers.Form
	status int
	name   string // given by the system
}

// spoiltEndpoint is an endpoint that answers the first delivery of each message in the message's form, and the others soundly.
type spoiltEndpoint struct {
	listener net.Listener

	mu        sync.Mutex
	messages  map[string]*spoiltMessage // those whose first delivery has not come, by Request-Id
	reused    []string                  // Request-Ids of deliveries on a connection that carried a spoilt answer
	delivered int
}

func startSpoiltEndpoint(t *testing.T, messages []*spoiltMessage) *spoiltEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &spoiltEndpoint{listener: listener, messages: make(map[string]*spoiltMessage)}
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

// serve answers the requests on a connection. After a spoilt answer it only waits for the end of the connection.
func (e *spoiltEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for isSpoilt := false; ; {
		request, err := http.ReadRequest(reader)
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err != nil {
			return
		}
		id := request.Header.Get(protocol.HeaderRequestID)
		message := e.take(id, isSpoilt)
		if message == nil {
			_, _ = io.WriteString(conn, answers.Plain(endpointAnswer(id, "sound", http.StatusOK, "")))
			continue
		}
		isSpoilt = true
		_, _ = io.WriteString(conn, message.form.Encode(endpointAnswer(id, "spoilt", message.status, spoiltClaims[message.status])))
	}
}

// take returns the message with an ID if this is its first delivery, and records whether the connection is used again after a
// spoilt answer.
func (e *spoiltEndpoint) take(id string, isSpoilt bool) *spoiltMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	if isSpoilt {
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
func (m *spoiltMessage) send(t *testing.T, edge string) int {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+edge+"/"+spoiltRoute+"/a", strings.NewReader("body"))
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
func (m *spoiltMessage) state(t *testing.T, edge string) (state messageState) {
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

// redeliveryBound is how long the messages may take until the sound answers. It is below the retention of the route; how soon a
// message is delivered again is not what the test is about.
const redeliveryBound = time.Minute

// statePause is the pause between two questions for a message's state.
const statePause = 20 * time.Millisecond

// finalState asks an edge for the message's state until the message has ended, or until the deadline.
func (m *spoiltMessage) finalState(t *testing.T, edge string, deadline time.Time) messageState {
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

// spoiltMessages returns a message for each form and status.
func spoiltMessages() []*spoiltMessage {
	var messages []*spoiltMessage
	for status := range spoiltClaims {
		for i, form := range answers.Spoilt() {
			messages = append(messages, &spoiltMessage{id: fmt.Sprintf("spoilt-%d-%d", status, i), form: form, status: status})
		}
	}
	return messages
}

// MIXED, REFUSED: what a spoilt answer says never reaches a client. The first delivery of each message gets an answer that HTTP
// forbids, with another signature than the run's; then the message must be delivered again, and be done with the signature of
// the sound answer. No connection may be used after a spoilt answer.
func TestSpoiltAnswersReachNoClient(t *testing.T) {
	r := start(t)
	messages := spoiltMessages()
	endpoint := startSpoiltEndpoint(t, messages)
	address := endpoint.listener.Addr().String()
	added := route(spoiltRoute, false)
	added.Type, added.Service, added.Retries, added.RetentionS = protocol.TypeDeferred, spoiltRoute, 1, 120
	r.patch(protocol.Patch{Upsert: protocol.Upsert{
		Routes:   []protocol.Route{added},
		Services: []protocol.Service{{Name: spoiltRoute, HealthPath: "/healthz", MaxConns: 200, Protocol: "h1", Endpoint: &address}},
	}})
	edges := r.system.EdgeAddresses()
	for i, edge := range edges {
		probe := &spoiltMessage{id: fmt.Sprintf("probe-%d", i)} // answered soundly
		require.Eventually(t, func() bool { return probe.send(t, edge.HTTP) == http.StatusAccepted }, startBound, statePause)
	}
	for i, message := range messages {
		require.Equal(t, http.StatusAccepted, message.send(t, edges[i%len(edges)].HTTP))
	}
	deadline := time.Now().Add(redeliveryBound)
	for i, message := range messages {
		want := messageState{State: protocol.StateDone, Signature: signatureOf("sound", message.id)}
		got := message.finalState(t, edges[i%len(edges)].HTTP, deadline)
		assert.Equal(t, want, got, "after a spoilt answer: %d, %s", message.status, message.form.Name)
	}
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	assert.Empty(t, endpoint.messages, "messages without a delivery")
	assert.Empty(t, endpoint.reused, "deliveries on a connection that carried a spoilt answer")
	t.Logf("%d messages, %d deliveries", len(messages), endpoint.delivered)
	assert.Empty(t, r.system.UnexpectedExits())
}

// spoiltListShare is the fraction of the platform's answers that are spoilt.
const spoiltListShare = 0.6

// ROUTE: a list in a spoilt answer of the platform is not used. It names a worker that the platform never listed, and none of
// those that it lists.
func TestSpoiltListsReachNoWorker(t *testing.T) {
	r := start(t)
	unlisted, err := r.world.Fleet.Start(workers.Listen{Service: "plain", Zone: zones[0], Unlisted: true})
	require.NoError(t, err)
	require.NoError(t, r.world.Platform.SetSpoilt(spoiltListShare, unlisted.Instance()))
	r.load(8 * time.Second)()
	require.NoError(t, r.world.Platform.SetSpoilt(0))
	assert.GreaterOrEqual(t, r.acceptedSince(0), minAccepted)
	r.verify()
	t.Logf("%d spoilt answers", r.world.Platform.Spoilt())
	assert.NotZero(t, r.world.Platform.Spoilt())
	var misrouted []string
	for _, arrival := range r.world.Record.History().Arrivals {
		if arrival.Worker == unlisted.ID() {
			misrouted = append(misrouted, arrival.RequestID)
		}
	}
	assert.Empty(t, misrouted, "messages at a worker that was never listed")
}
