package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ravendale/test/standin/history"
	"ravendale/test/standin/protocol"
)

// Polling of states and bodies.
const (
	pollers     = 16
	pollTimeout = 2 * time.Second
	pollPause   = 200 * time.Millisecond
	statePath   = "/v1/message/"
	bodyPath    = "/v1/message-body/"
)

// ReadBack reads the state of each message, and the body of those reported as pending or dead letters. After a failure
// it repeats that on a new connection until the context ends. It records the complete reading of each message, or else
// the last one that was not interrupted by the end of the context.
func (c *Clients) ReadBack(ctx context.Context, sends []history.Send) {
	work := make(chan history.Send)
	var group sync.WaitGroup
	for range pollers {
		group.Go(func() {
			transport := c.transport()
			defer transport.CloseIdleConnections()
			for send := range work {
				c.readBack(ctx, transport, send)
			}
		})
	}
	for _, send := range sends {
		work <- send
	}
	close(work)
	group.Wait()
}

func (c *Clients) readBack(ctx context.Context, transport *http.Transport, send history.Send) {
	var before *history.Reading
	for {
		reading := c.Read(ctx, transport, send)
		finished := reading.StateStatus == http.StatusOK && (reading.State == protocol.StateDone || reading.BodyStatus == http.StatusOK)
		if finished {
			c.record.Read(reading)
			return
		}
		if ctx.Err() != nil {
			unanswered := reading.StateStatus == 0 || reading.StateStatus == http.StatusOK && reading.BodyStatus == 0
			if unanswered && before != nil { // the end of the context interrupted the call
				reading = *before
			}
			c.record.Read(reading)
			return
		}
		before = &reading
		transport.CloseIdleConnections()
		pause(ctx, pollPause)
	}
}

// ReadOne reads a message's state and, unless it is done, its body on a new connection.
func (c *Clients) ReadOne(ctx context.Context, send history.Send) history.Reading {
	transport := c.transport()
	defer transport.CloseIdleConnections()
	return c.Read(ctx, transport, send)
}

// Read reads a message's state and, unless it is done, its body.
func (c *Clients) Read(ctx context.Context, transport *http.Transport, send history.Send) history.Reading {
	reading := history.Reading{RequestID: send.RequestID, MessageID: send.MessageID, At: c.record.Now()}
	var state struct {
		State     string `json:"state"`
		Signature string `json:"signature"`
	}
	status, bytes := get(ctx, transport, send.Host, statePath+send.MessageID)
	reading.StateStatus = status
	if status != http.StatusOK {
		return reading
	}
	if err := json.Unmarshal(bytes, &state); err != nil {
		reading.StateStatus = 0
		return reading
	}
	reading.State, reading.Signature = state.State, state.Signature
	if state.State != protocol.StateDone {
		status, bytes = get(ctx, transport, send.Host, bodyPath+send.MessageID)
		reading.BodyStatus, reading.Body = status, xxhash.Sum64(bytes)
	}
	return reading
}

func get(ctx context.Context, transport *http.Transport, host, path string) (status int, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://platform"+path, nil)
	if err != nil {
		return 0, nil
	}
	request.Host = host
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}
