package ingress

import (
	"math"
	"time"

	"github.com/valyala/fasthttp"

	"ravendale/cluster/catalog"
	"ravendale/edge/queueclient"
)

// Limits on the duration of a put.
const (
	putTargets         = 5 // multiple of the route's latency target
	minPutTime         = 250 * time.Millisecond
	maxPutTime         = 600 * time.Millisecond
	maxDeadlinePutTime = 2 * time.Second // for clients with a longer Deadline-Ms
	putFraction        = 0.42            // of the client's deadline: a client rejected by then has time to try elsewhere
	answerFraction     = 0.47            // ... after which the connection is closed if no answer is likely to come
	lateAnswerFraction = 0.9             // ... after which it is closed in any case: the response needs time to reach the client
	maxAnswerTime      = 2500 * time.Millisecond
	minAttemptShare    = 4 // at least 1/minAttemptShare of the time for attempts remains after the wait for the configuration
	defaultTarget      = 100 * time.Millisecond
)

// deadlineOf returns how long the client waits (Deadline-Ms), in milliseconds. The field is only a hint: if it is
// absent or invalid, deadlineOf returns 0.
func deadlineOf(header *fasthttp.RequestHeader) float64 {
	deadline, valid := parseNumber(header, "Deadline-Ms")
	if !valid {
		return 0
	}
	return deadline
}

func putLimits(route *catalog.Route, deadlineMs float64) queueclient.Limits {
	if deadlineMs > 0 {
		putTime := deadlineFraction(deadlineMs, putFraction)
		return queueclient.Limits{
			Attempt:    min(putTime, maxDeadlinePutTime),
			Answer:     min(deadlineFraction(deadlineMs, answerFraction)-putTime, maxAnswerTime),
			LateAnswer: min(deadlineFraction(deadlineMs, lateAnswerFraction)-putTime, maxAnswerTime),
		}
	}
	target := orDefault(milliseconds(route.TargetMs), defaultTarget)
	putTime := min(max(putTargets*target, minPutTime), maxPutTime)
	return queueclient.Limits{Attempt: putTime, Answer: maxAnswerTime, LateAnswer: maxAnswerTime}
}

func deadlineFraction(deadlineMs, fraction float64) time.Duration {
	return milliseconds(min(deadlineMs, math.MaxInt32) * fraction)
}
