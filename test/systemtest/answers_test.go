package systemtest

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/test/standin/history"
	"ravendale/test/standin/workers"
)

// faultShare is the fraction of the answers to successful runs that get each fault.
const faultShare = 0.06

// About two fifths of the workers' answers to successes are faulty. No message may be reported as done with another
// message's signature, none may run again after an answer that arrived complete, and the order by key must hold.
func TestFaultyAnswers(t *testing.T) {
	r := start(t)
	wait := r.load(8 * time.Second)
	var faultyWorkers []*workers.Worker
	for _, service := range services() {
		faultyWorkers = append(faultyWorkers, r.world.Fleet.Workers(service.Name)...)
	}
	for _, worker := range faultyWorkers {
		worker.SetFaults(workers.Faults{AnswerFaults: workers.AnswerFaults{
			NeverSentShare: faultShare, TruncatedShare: faultShare, ResetShare: faultShare,
			ForeignShare: faultShare, LateShare: faultShare, DuplicatedShare: faultShare, MalformedShare: faultShare,
		}})
	}
	wait()
	for _, worker := range faultyWorkers {
		worker.SetFaults(workers.Faults{})
	}
	r.verify()

	h := r.world.Record.History()
	faulty, reused := faultyAnswers(h)
	t.Logf("faulty answers %v, of these on reused connections %v", faulty, reused)
	for _, fault := range []string{
		workers.AnswerNeverSent, workers.AnswerTruncated, workers.AnswerReset, workers.AnswerForeign, workers.AnswerLate, workers.AnswerDuplicated,
		workers.AnswerMalformed,
	} {
		assert.NotZero(t, faulty[fault], "no answer had the fault %s", fault)
		assert.NotZero(t, reused[fault], "no answer on a reused connection had the fault %s", fault)
	}
	for _, reading := range h.Readings {
		assert.Equal(t, http.StatusOK, reading.StateStatus)
	}
}

// faultyAnswers counts the faulty answers by fault, and among these the ones on reused connections.
func faultyAnswers(h *history.History) (faulty, reused map[string]int) {
	faulty, reused = make(map[string]int), make(map[string]int)
	for _, arrival := range h.Arrivals {
		if arrival.AnswerFault == "" {
			continue
		}
		faulty[arrival.AnswerFault]++
		if arrival.Reused {
			reused[arrival.AnswerFault]++
		}
	}
	return faulty, reused
}
