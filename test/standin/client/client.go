package client

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"ravendale/test/standin/history"
	"ravendale/test/standin/protocol"
)

// Traffic describes the messages that clients send on one route.
type Traffic struct {
	Route      string
	Host       string
	Target     string        // path and query, below the route's prefix
	Weight     int           // share of all messages, relative to the other weights
	Keys       int           // number of order keys; 0: no keys
	DelayShare float64       // fraction of messages with a delay
	DelayMax   time.Duration // longest delay
	BodyBytes  int           // largest body
	Deadline   time.Duration // announced by the clients; 0: none
}

// Load is traffic at a rate for a time.
type Load struct {
	RatePerS float64
	Duration time.Duration
	Traffic  []Traffic
	Clients  int           // each with its own connection; 0: defaultClients
	Attempts int           // per message, as long as the answers promise that it never runs; 0: defaultAttempts
	Timeout  time.Duration // time for all attempts of a message; 0: defaultAnswerTimeout
}

const (
	defaultClients       = 24
	defaultAttempts      = 4
	defaultAnswerTimeout = 3 * time.Second
	maxRetryAfter        = time.Second
)

func (l Load) withDefaults() Load {
	if l.Clients == 0 {
		l.Clients = defaultClients
	}
	if l.Attempts == 0 {
		l.Attempts = defaultAttempts
	}
	if l.Timeout == 0 {
		l.Timeout = defaultAnswerTimeout
	}
	return l
}

// Clients send messages through a balancer.
type Clients struct {
	balancer *Balancer
	record   *history.Recorder
	prefix   string
	serial   atomic.Uint64
}

// New returns clients that send nothing yet.
func New(balancer *Balancer, record *history.Recorder) *Clients {
	return &Clients{balancer: balancer, record: record, prefix: fmt.Sprintf("%012x", rand.Uint64()>>16)}
}

// Run sends a load, and returns when all messages are answered or abandoned.
func (c *Clients) Run(ctx context.Context, load Load) {
	load = load.withDefaults()
	transports := make([]*http.Transport, load.Clients)
	for i := range transports {
		transports[i] = c.transport()
		defer transports[i].CloseIdleConnections()
	}
	var group sync.WaitGroup
	defer group.Wait()
	end := time.Now().Add(load.Duration)
	next := time.Now()
	for next.Before(end) && ctx.Err() == nil {
		time.Sleep(time.Until(next))
		transport := transports[rand.IntN(len(transports))]
		traffic := pickTraffic(load.Traffic)
		group.Go(func() { c.submit(ctx, transport, traffic, load) })
		next = next.Add(time.Duration(rand.ExpFloat64() / load.RatePerS * float64(time.Second)))
	}
}

// pickTraffic chooses a route by weight.
func pickTraffic(traffic []Traffic) Traffic {
	total := 0
	for _, t := range traffic {
		total += max(t.Weight, 1)
	}
	drawn := rand.IntN(total)
	for _, t := range traffic {
		drawn -= max(t.Weight, 1)
		if drawn < 0 {
			return t
		}
	}
	return traffic[0]
}

// transport returns a transport that lets the balancer choose the edge of each new connection.
func (c *Clients) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", c.balancer.Pick().HTTP)
		},
		DisableCompression: true,
		IdleConnTimeout:    10 * time.Second,
	}
}

// submit sends one message, and repeats it while the answer promises that it never runs.
func (c *Clients) submit(ctx context.Context, transport *http.Transport, traffic Traffic, load Load) {
	body := make([]byte, rand.IntN(traffic.BodyBytes+1))
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	send := history.Send{
		Route:  traffic.Route,
		Method: http.MethodPost,
		Host:   traffic.Host,
		Target: traffic.Target,
		Body:   xxhash.Sum64(body),
	}
	send.Deadline = traffic.Deadline
	if traffic.Keys > 0 {
		send.Key = "key-" + strconv.Itoa(rand.IntN(traffic.Keys))
	}
	if rand.Float64() < traffic.DelayShare {
		send.Delay = time.Duration(rand.Float64() * float64(traffic.DelayMax)).Truncate(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, load.Timeout)
	defer cancel()
	for attempt := 0; attempt < load.Attempts && ctx.Err() == nil; attempt++ {
		sent, retryAfter := c.Send(ctx, transport, send, body)
		if !sent.Promised() {
			return
		}
		transport.CloseIdleConnections()
		pause(ctx, retryAfter)
	}
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

// SendOne makes one attempt to submit a message, on a new connection.
func (c *Clients) SendOne(ctx context.Context, send history.Send, body []byte) history.Send {
	transport := c.transport()
	defer transport.CloseIdleConnections()
	send.Body = xxhash.Sum64(body)
	sent, _ := c.Send(ctx, transport, send, body)
	return sent
}

// Send makes one attempt under a new Request-Id and records it.
func (c *Clients) Send(ctx context.Context, transport *http.Transport, send history.Send, body []byte) (history.Send, time.Duration) {
	send.RequestID = fmt.Sprintf("%s%06x", c.prefix, c.serial.Add(1))
	send.MessageID = send.RequestID
	send.Sent = c.record.Now()
	retryAfter := c.attempt(ctx, transport, &send, body)
	send.Answered = c.record.Now()
	c.record.Send(send)
	return send, retryAfter
}

func (c *Clients) attempt(ctx context.Context, transport *http.Transport, send *history.Send, body []byte) time.Duration {
	request, err := newRequest(ctx, send, body)
	if err != nil {
		send.Problem = err.Error()
		return 0
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		send.Problem = err.Error()
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		send.Problem = err.Error()
		return 0
	}
	send.Status = response.StatusCode
	if name := response.Header.Get(protocol.HeaderMessageID); name != "" {
		send.MessageID = name
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}

func newRequest(ctx context.Context, send *history.Send, body []byte) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		send.Edge = got.Conn.RemoteAddr().String()
	}}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, send.Method, "http://platform"+send.Target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = send.Host
	request.Header.Set("User-Agent", "")
	request.Header.Set(protocol.HeaderRequestID, send.RequestID)
	if send.Key != "" {
		request.Header.Set(protocol.HeaderOrderKey, send.Key)
	}
	if send.Delay > 0 {
		request.Header.Set(protocol.HeaderDelay, strconv.FormatInt(send.Delay.Milliseconds(), 10))
	}
	if send.Deadline > 0 {
		request.Header.Set(protocol.HeaderDeadline, strconv.FormatInt(send.Deadline.Milliseconds(), 10))
	}
	return request, nil
}
