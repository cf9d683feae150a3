package operatorclient

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"ravendale/balancer/http1"
	"ravendale/cluster/catalog"
	"ravendale/cluster/httpclient"
)

// call is one request, which may be sent to several addresses.
type call struct {
	method  string
	path    string
	host    string // Host header; empty: the address that is called
	header  map[string]string
	body    []byte
	timeout time.Duration // for all attempts together
	// accept decodes the body of a successful answer. If it fails, the outcome of the attempt counts as undecided.
	accept func(body []byte) error
}

// answer is the HTTP response to one attempt.
type answer struct {
	status int
	body   []byte
	header http1.Header
}

// do sends a call to one address after another until an answer is conclusive, or until the call's timeout.
func (c *Client) do(ctx context.Context, call *call) error {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	failure := &Error{Kind: KindUnavailable, Reason: "no attempt was made"}
	refusals := 0
	for {
		address := c.options.Addresses[failure.Attempts%len(c.options.Addresses)]
		got, err := c.attempt(ctx, address, call)
		failure.Attempts++
		if err == nil && got.status >= 400 && got.status < 500 {
			refusals++
		}
		decided := decide(got, err, refusals, call)
		failure.record(address, got, err)
		switch decided {
		case verdictDone:
			return nil
		case verdictFinal:
			failure.Kind = kindOf(got.status)
			return failure
		case verdictUndecided:
			failure.Kind = KindUndecided
		}
		if c.options.Sleep(ctx, pauseAfter(failure.Attempts, got.retryAfter())) != nil {
			return failure
		}
	}
}

func decide(got *answer, err error, refusals int, call *call) verdict {
	if err != nil {
		return judgeError(err)
	}
	decided := judgeStatus(got.status, refusals)
	if decided == verdictDone && call.accept(got.body) != nil {
		return verdictUndecided
	}
	return decided
}

// record replaces the details of the error by those of the newest attempt.
func (e *Error) record(address string, got *answer, err error) {
	e.Status, e.Version, e.Findings = 0, 0, nil
	if err != nil {
		e.Reason = fmt.Sprintf("%s: %v", address, err)
		return
	}
	e.Status = got.status
	e.Reason = http.StatusText(got.status)
	var answered struct {
		Error    string           `json:"error"`
		Version  uint64           `json:"version"`
		Findings catalog.Findings `json:"findings"`
	}
	if json.Unmarshal(got.body, &answered) == nil && answered.Error != "" {
		e.Reason, e.Version, e.Findings = answered.Error, answered.Version, answered.Findings
	}
}

func (a *answer) retryAfter() time.Duration {
	if a == nil {
		return 0
	}
	seconds, err := strconv.Atoi(a.header.Get(retryAfterField))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, 60)) * time.Second
}

// attempt sends a call once, and follows up to maxRedirects redirections.
func (c *Client) attempt(ctx context.Context, address string, call *call) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout(len(call.body)))
	defer cancel()
	target := call.path
	for redirects := 0; ; redirects++ {
		got, err := c.send(ctx, address, target, call)
		if err != nil || got.status != http.StatusTemporaryRedirect || redirects == maxRedirects {
			return got, err
		}
		next, err := url.Parse(got.header.Get(locationField))
		if err != nil || next.Scheme != "http" || next.Hostname() == "" {
			return got, nil
		}
		address, target = net.JoinHostPort(next.Hostname(), cmp.Or(next.Port(), defaultPort)), next.RequestURI()
	}
}

// defaultPort is the port of an http URL that names none.
const defaultPort = "80"

// Fields of an answer that are read. Neither is a list.
const (
	locationField   = "Location"
	retryAfterField = "Retry-After"
)

// errRepeatedField is returned for an answer that repeats a field which is no list.
var errRepeatedField = errors.New("operatorclient: a field of the answer is repeated")

// send sends a call to one address. Each call has a connection of its own: the server may have closed an idle one without the
// client noticing.
func (c *Client) send(ctx context.Context, address, target string, call *call) (*answer, error) {
	client := httpclient.New(httpclient.Options{Address: address, ConnectTimeout: connectTimeout, MaxBody: maxAnswerBytes})
	response, err := client.Do(ctx, call.request(address, target))
	if err != nil {
		return nil, err
	}
	for _, name := range []string{locationField, retryAfterField} {
		if response.Header.Count(name) > 1 {
			return nil, errRepeatedField
		}
	}
	return &answer{status: response.Status, body: response.Body, header: response.Header}, nil
}

// request returns the request to send to an address.
func (c *call) request(address, target string) *httpclient.Request {
	request := &httpclient.Request{Method: c.method, Target: target, Host: cmp.Or(c.host, address), Body: c.body}
	if len(c.body) > 0 {
		request.Header = append(request.Header, http1.Field{Name: "Content-Type", Value: "application/json"})
	}
	for name, value := range c.header {
		request.Header = append(request.Header, http1.Field{Name: name, Value: value})
	}
	return request
}
