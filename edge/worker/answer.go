package worker

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ravendale/balancer/http1"
	"ravendale/cluster/httpclient"
)

// errRepeatedField is returned for a response that repeats a field which is no list.
var errRepeatedField = errors.New("worker: a field of the response is repeated")

// response holds the relevant parts of a response that was received completely.
type response struct {
	status      int
	requestID   string
	signature   string
	notExecuted bool
	reusable    bool          // the connection may be used for another request
	idleTimeout time.Duration // how long the connection may stay idle, see keepAlive
}

// readResponse reads a complete response. Any error means that the response is truncated, or that HTTP forbids it, or that
// it came too late: then nothing that it says counts.
func readResponse(reader *httpclient.Reader, method string) (response, error) {
	head, err := reader.Head(method)
	if err != nil {
		return response{}, err
	}
	a := response{status: head.Status, reusable: !head.Close, idleTimeout: keepAlive(head.Header.Get("Keep-Alive"))}
	if err := a.readFields(head.Header); err != nil {
		return response{}, err
	}
	return a, reader.Discard()
}

// Fields that say what became of a message.
const (
	requestIDField   = "Request-Id"
	signatureField   = "Signature"
	notExecutedField = "Not-Executed"
)

// readFields reads the fields that say what became of the message. None of them is a list, so none may be repeated
// (RFC 9110, section 5.3).
func (a *response) readFields(header http1.Header) error {
	for _, name := range []string{requestIDField, signatureField, notExecutedField} {
		if header.Count(name) > 1 {
			return errRepeatedField
		}
	}
	a.requestID = header.Get(requestIDField)
	a.signature = header.Get(signatureField)
	a.notExecuted = header.Get(notExecutedField) != ""
	return nil
}

// isForeign reports whether the response contains the ID of another request.
func (a *response) isForeign(requestID string) bool {
	return a.requestID != "" && a.requestID != requestID
}

// keepAlive returns how long to keep an idle connection: the timeout in a Keep-Alive field, or defaultIdleTimeout if
// there is none, less idleMargin, which is limited to a quarter of it.
func keepAlive(field string) time.Duration {
	idle := defaultIdleTimeout
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if strings.EqualFold(strings.TrimSpace(name), "timeout") && err == nil && seconds >= 0 && seconds < 1e6 {
			idle = time.Duration(seconds * float64(time.Second))
		}
	}
	return idle - min(idleMargin, idle/4)
}

// classify returns the outcome that a response stands for, given the ID of the request that was sent. A response
// without a Request-Id is certain to belong to this request only if it is the first on its connection; even then it is
// trusted only if it says that the message did not run.
func classify(a response, requestID string, first bool) Outcome {
	if a.isForeign(requestID) || a.requestID == "" && !first {
		return Broken
	}
	if a.status == http.StatusMisdirectedRequest {
		return WrongWorker
	}
	if a.notExecuted && a.status >= http.StatusBadRequest {
		return classifyNotExecuted(a.status)
	}
	if a.requestID == "" {
		return Broken
	}
	switch {
	case a.status >= 200 && a.status < 300 && a.signature != "":
		return Done
	case a.status == http.StatusInternalServerError:
		return Failed
	case a.status == http.StatusUnprocessableEntity:
		return Rejected
	case a.status == http.StatusConflict:
		return Duplicate
	}
	return Broken
}

func classifyNotExecuted(status int) Outcome {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return AtCapacity
	case http.StatusConflict:
		return Duplicate
	}
	return NotRun
}
