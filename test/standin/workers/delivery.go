package workers

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"ravendale/test/standin/history"
	"ravendale/test/standin/protocol"
)

// answer is the answer to a request.
type answer struct {
	status    int
	signature string
	body      []byte
	notRun    bool
}

// answerMessage handles a message. If given is false there is no answer and the connection is to be closed.
func (w *Worker) answerMessage(ctx context.Context, request *http.Request, arrival *history.Arrival) (reply answer, given bool) {
	id := arrival.RequestID
	if id == "" {
		return answer{status: http.StatusBadRequest, notRun: true}, true
	}
	if expected := request.Header.Get(protocol.HeaderExpectInstance); expected != "" && expected != w.id {
		return answer{status: http.StatusMisdirectedRequest, notRun: true}, true
	}
	if w.service.limiter != nil && !w.service.limiter.Allow() {
		return answer{status: http.StatusTooManyRequests, notRun: true}, true
	}
	ctx, cancel := withDeadline(ctx, request.Header.Get(protocol.HeaderDeadline))
	defer cancel()
	if w.service.Idempotent {
		return w.answerIdempotent(ctx, arrival)
	}
	return w.run(ctx, arrival)
}

// withDeadline returns a context that ends at the deadline in the Deadline-Ms header, if there is one.
func withDeadline(ctx context.Context, header string) (context.Context, context.CancelFunc) {
	millis, err := strconv.ParseFloat(header, 64)
	if err != nil || millis <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(millis*float64(time.Millisecond)))
}

func (w *Worker) answerIdempotent(ctx context.Context, arrival *history.Arrival) (answer, bool) {
	id := arrival.RequestID
	known, running, began := w.service.table.begin(id)
	if running {
		return answer{status: http.StatusConflict, notRun: true}, true
	}
	if !began {
		return answer{status: http.StatusOK, signature: known.signature, body: known.body}, true
	}
	reply, given := w.run(ctx, arrival)
	w.service.table.end(id, success{signature: reply.signature, body: reply.body})
	return reply, given
}

// run waits for a slot and runs a message in it.
func (w *Worker) run(ctx context.Context, arrival *history.Arrival) (answer, bool) {
	if err := w.acquireSlot(ctx, true); err != nil {
		return answer{status: http.StatusServiceUnavailable, notRun: true}, !errors.Is(err, context.Canceled)
	}
	defer w.releaseSlot()
	record := w.fleet.record
	record.Change(arrival, func(a *history.Arrival) {
		a.Start = record.Now()
		a.Outcome = history.OutcomeRunning
	})
	reply, outcome := w.work(ctx, arrival.RequestID)
	record.Change(arrival, func(a *history.Arrival) {
		a.End = record.Now()
		a.Outcome = outcome
		a.Signature = reply.signature
	})
	return reply, outcome != history.OutcomeDropped
}

// work sleeps for the duration of a run, and draws its outcome.
func (w *Worker) work(ctx context.Context, id string) (answer, history.Outcome) {
	faults := w.faults.Load()
	took := w.service.drawRunTime()
	if faults.Slow > 0 {
		took = time.Duration(float64(took) * faults.Slow)
	}
	if err := w.sleep(ctx, took); errors.Is(err, context.DeadlineExceeded) {
		return answer{status: http.StatusGatewayTimeout}, history.OutcomeTimedOut
	} else if err != nil {
		return answer{}, history.OutcomeDropped
	}
	switch {
	case w.service.Refuses(id):
		return answer{status: http.StatusUnprocessableEntity}, history.OutcomeRefused
	case faults.Failing || w.service.Poison(id) || rand.Float64() < w.service.FailShare:
		return answer{status: http.StatusInternalServerError}, history.OutcomeFailed
	}
	signature := w.fleet.signature()
	return answer{status: http.StatusOK, signature: signature, body: []byte("done " + id)}, history.OutcomeDone
}

// sleep waits for the duration of a run. With KeepsWorking only the end of the worker ends it early.
func (w *Worker) sleep(ctx context.Context, took time.Duration) error {
	timer := time.NewTimer(took)
	defer timer.Stop()
	if !w.service.KeepsWorking {
		select {
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case <-timer.C:
		return nil
	case <-w.lifetime.Done():
		return w.lifetime.Err()
	}
}

// sentAnswer is an answer and the message that it belongs to, kept for AnswerForeign.
type sentAnswer struct {
	id    string
	reply answer
}

// swapLastSuccess stores a success, and returns the previous one.
func (w *Worker) swapLastSuccess(id string, reply answer) sentAnswer {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	before := w.lastSuccess
	w.lastSuccess = sentAnswer{id: id, reply: reply}
	return before
}
