package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ravendale/test/standin/history"
	"ravendale/test/standin/protocol"
)

// Timeouts and limits of calls and their repetitions.
const (
	callTimeout      = time.Second
	firstPause       = 50 * time.Millisecond
	maxPause         = time.Second
	maxRedirects     = 2
	maxOtherAttempts = 3 // number of 4xx answers that are neither clear nor retryable after which a call ends
)

// Operator calls the control plane.
type Operator struct {
	addresses []string
	record    *history.Recorder
	client    *http.Client

	mutex sync.Mutex
	next  int
}

// New returns an operator that calls the control processes at the given host:port addresses, beginning with the first.
func New(addresses []string, record *history.Recorder) *Operator {
	client := &http.Client{
		Timeout:       callTimeout,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Operator{addresses: addresses, record: record, client: client}
}

// Answer is the answer to a call. With Status 0 the context ended without a clear answer.
type Answer struct {
	Status int
	Body   []byte
}

// Set orders a whole configuration, based on version base.
func (o *Operator) Set(ctx context.Context, base uint64, config protocol.Config) (Answer, error) {
	body, err := json.Marshal(config)
	if err != nil {
		return Answer{}, fmt.Errorf("operator: %w", err)
	}
	return o.order(ctx, "/v1/config/set", base, body, config), nil
}

// Patch orders a change of the current configuration.
func (o *Operator) Patch(ctx context.Context, current protocol.Config, patch protocol.Patch) (Answer, error) {
	body, err := json.Marshal(patch)
	if err != nil {
		return Answer{}, fmt.Errorf("operator: %w", err)
	}
	return o.order(ctx, "/v1/config/patch", current.Version, body, current.Apply(patch)), nil
}

func (o *Operator) order(ctx context.Context, path string, base uint64, body []byte, config protocol.Config) Answer {
	order := history.Order{Base: base, Config: config, Sent: o.record.Now()}
	header := http.Header{}
	header.Set(protocol.HeaderBaseVersion, strconv.FormatUint(base, 10))
	answer := o.Call(ctx, http.MethodPost, path, header, body)
	order.Status = answer.Status
	order.Answered = o.record.Now()
	o.record.Order(order)
	return answer
}

// Show reads the newest configuration.
func (o *Operator) Show(ctx context.Context) (protocol.Config, error) {
	answer := o.Call(ctx, http.MethodGet, "/v1/config/show", nil, nil)
	if answer.Status != http.StatusOK {
		return protocol.Config{}, fmt.Errorf("operator: show was answered with status %d", answer.Status)
	}
	var config protocol.Config
	if err := json.Unmarshal(answer.Body, &config); err != nil {
		return protocol.Config{}, fmt.Errorf("operator: show: %w", err)
	}
	return config, nil
}

// StartRetire orders that a storage machine be emptied by a deadline.
func (o *Operator) StartRetire(ctx context.Context, node string, deadline time.Duration) Answer {
	body := fmt.Appendf(nil, `{"deadlineS":%g}`, deadline.Seconds())
	return o.Call(ctx, http.MethodPost, "/v1/retire/"+node+"/start", nil, body)
}

// RetireState returns the state of the emptying of a storage machine.
func (o *Operator) RetireState(ctx context.Context, node string) (string, error) {
	answer := o.Call(ctx, http.MethodGet, "/v1/retire/"+node+"/show", nil, nil)
	if answer.Status != http.StatusOK {
		return "", fmt.Errorf("operator: retire state of %s was answered with status %d", node, answer.Status)
	}
	var state struct {
		State string `json:"state"`
	}
	err := json.Unmarshal(answer.Body, &state)
	return state.State, err
}

// Call makes a call, and repeats it at the other control processes in turn until the answer is clear or the context
// ends.
func (o *Operator) Call(ctx context.Context, method, path string, header http.Header, body []byte) Answer {
	pause := firstPause
	for others := 0; ctx.Err() == nil; {
		answer := o.callOnce(ctx, method, "http://"+o.address()+path, header, body)
		if isOther(answer.Status) {
			others++
		}
		if isClear(answer.Status) || others >= maxOtherAttempts {
			return answer
		}
		o.nextAddress()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxPause)
	}
	return Answer{}
}

func isClear(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed,
		http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return status >= 200 && status < 300
}

// isOther reports whether a status is a 4xx that is neither clear nor retryable. It ends a call only after
// maxOtherAttempts.
func isOther(status int) bool {
	return status >= 400 && status < 500 && !isClear(status) &&
		status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

func (o *Operator) address() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.addresses[o.next%len(o.addresses)]
}

func (o *Operator) nextAddress() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.next++
}

// callOnce makes a call once and follows its redirects.
func (o *Operator) callOnce(ctx context.Context, method, url string, header http.Header, body []byte) Answer {
	for range maxRedirects + 1 {
		answer, location := o.roundTrip(ctx, method, url, header, body)
		if answer.Status != http.StatusTemporaryRedirect || location == "" {
			return answer
		}
		url = location
	}
	return Answer{}
}

func (o *Operator) roundTrip(ctx context.Context, method, url string, header http.Header, body []byte) (answer Answer, location string) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Answer{}, ""
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return Answer{}, ""
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}, ""
	}
	return Answer{Status: response.StatusCode, Body: content}, response.Header.Get("Location")
}
