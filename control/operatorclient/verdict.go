package operatorclient

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// verdict is what one attempt means for a call.
type verdict uint8

const (
	verdictDone verdict = iota
	verdictFinal
	verdictLater   // a promise that nothing was done: try another address
	verdictUnclear // it may have been done: try another address
)

// maxClientErrors is at which of its repeats a client error that is not final by itself becomes so.
const maxClientErrors = 3

// judge decides by the status of an answer. Refusals counts the client errors so far, this one included.
func judge(status, refusals int) verdict {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed,
		http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return verdictFinal
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusServiceUnavailable:
		return verdictLater
	}
	switch {
	case status >= 200 && status < 300:
		return verdictDone
	case status >= 300 && status < 400: // one redirection too many
		return verdictLater
	case status >= 400 && status < 500:
		if refusals >= maxClientErrors {
			return verdictFinal
		}
		return verdictLater
	}
	return verdictUnclear
}

// judgeError decides by the failure of an attempt that had no answer: only what was never connected was certainly not received.
func judgeError(err error) verdict {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return verdictLater
	}
	return verdictUnclear
}

// kindOf is what a final answer means.
func kindOf(status int) Kind {
	switch status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		return KindInvalid
	case http.StatusConflict, http.StatusPreconditionFailed:
		return KindConflict
	case http.StatusNotFound:
		return KindUnknown
	}
	return KindRefused
}

// Pauses between attempts.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
)

// pauseAfter is how long to wait after so many attempts, or as long as the answer asks for within reason.
func pauseAfter(attempts int, requested time.Duration) time.Duration {
	pause := maxPause
	if doublings := attempts - 1; doublings < 6 {
		pause = min(firstPause<<doublings, maxPause)
	}
	return max(pause, min(requested, maxPause))
}

// Times of one attempt.
const (
	answerWithin   = time.Second
	perMiB         = time.Second // more for each MiB of the body
	maxAttemptTime = 16 * time.Second
)

func timeFor(body int) time.Duration {
	const mega = 1 << 20
	extra := time.Duration(float64(body) / mega * float64(perMiB))
	return min(answerWithin+extra, maxAttemptTime)
}
