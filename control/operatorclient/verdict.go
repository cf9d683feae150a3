package operatorclient

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// verdict is the outcome of one attempt of a call.
type verdict uint8

const (
	verdictDone      verdict = iota
	verdictFinal             // the call was refused: do not retry
	verdictRetry             // certainly nothing was done: try another address
	verdictUndecided         // the call may have been carried out: try another address
)

// maxClientErrors is the number of client errors (status 4xx) at which a client error is final even if its status alone
// would allow a retry.
const maxClientErrors = 3

// judgeStatus returns the verdict for an answer's status. Refusals is the number of client errors so far, this one
// included.
func judgeStatus(status, refusals int) verdict {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed,
		http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return verdictFinal
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusServiceUnavailable:
		return verdictRetry
	}
	switch {
	case status >= 200 && status < 300:
		return verdictDone
	case status >= 300 && status < 400: // more redirections than maxRedirects
		return verdictRetry
	case status >= 400 && status < 500:
		if refusals >= maxClientErrors {
			return verdictFinal
		}
		return verdictRetry
	}
	return verdictUndecided
}

// judgeError returns the verdict for an attempt without an answer. Only if the connection failed was the request
// certainly not received.
func judgeError(err error) verdict {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return verdictRetry
	}
	return verdictUndecided
}

// kindOf returns the kind of failure for the status of a final answer.
func kindOf(status int) Kind {
	switch status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		return KindInvalid
	case http.StatusConflict, http.StatusPreconditionFailed:
		return KindConflict
	case http.StatusNotFound:
		return KindNotFound
	}
	return KindRefused
}

// Limits of the pause between attempts.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
)

// pauseAfter returns how long to wait after the given number of attempts. It grows exponentially, and is at least the
// pause that the answer requested, but never more than maxPause.
func pauseAfter(attempts int, requested time.Duration) time.Duration {
	pause := maxPause
	if doublings := attempts - 1; doublings < 6 {
		pause = min(firstPause<<doublings, maxPause)
	}
	return max(pause, min(requested, maxPause))
}

// Timeouts of one attempt.
const (
	baseAttemptTimeout = time.Second
	extraPerMiB        = time.Second // added for each MiB of the request body
	maxAttemptTimeout  = 16 * time.Second
)

// attemptTimeout returns the timeout of an attempt whose request body has the given number of bytes.
func attemptTimeout(bodyBytes int) time.Duration {
	const mebibyte = 1 << 20
	extra := time.Duration(float64(bodyBytes) / mebibyte * float64(extraPerMiB))
	return min(baseAttemptTimeout+extra, maxAttemptTimeout)
}
