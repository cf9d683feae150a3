package ingress

import (
	"math"
	"time"

	"github.com/valyala/fasthttp"

	"ravendale/cluster/catalog"
	"ravendale/edge/queueclient"
)

// How long a put may take.
const (
	putTargets         = 5 // times the route's latency target
	minPutTime         = 250 * time.Millisecond
	maxPutTime         = 600 * time.Millisecond
	maxDeadlinePutTime = 2 * time.Second // for clients that say that they wait longer
	putFraction        = 0.42            // of what a client waits: rejected by then, it may go elsewhere
	answerFraction     = 0.47            // ... and closed by then, if no answer is likely to come
	lateAnswerFraction = 0.9             // ... or by then: the answer has to reach the client, too
	maxAnswerTime      = 2500 * time.Millisecond
	minAttemptShare    = 4 // one in so many of the time for attempts is left after a wait for the configuration
	defaultTarget      = 100 * time.Millisecond
)

// deadlineOf returns how long the client waits, in milliseconds, 0 if it does not say so: it is only a hint.
func deadlineOf(header *fasthttp.RequestHeader) float64 {
	deadline, fine := parseNumber(header, "Deadline-Ms")
	if !fine {
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
