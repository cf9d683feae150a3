package systemtest

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/test/standin/history"
	"ravendale/test/standin/workers"
)

// faultShare of all successes are faulty in each way.
const faultShare = 0.06

// A third of the answers of workers are faulty: no message is reported done with another's signature, none runs again after a success
// that came complete, and the order by key holds.
func TestFaultyAnswersOnRealProcesses(t *testing.T) {
	r := start(t)
	wait := r.load(8 * time.Second)
	var spoiling []*workers.Worker
	for _, service := range services() {
		spoiling = append(spoiling, r.world.Fleet.Workers(service.Name)...)
	}
	for _, worker := range spoiling {
		worker.SetFaults(workers.Faults{AnswerFaults: workers.AnswerFaults{
			NeverSentShare: faultShare, TruncatedShare: faultShare, ResetShare: faultShare,
			ForeignShare: faultShare, LateShare: faultShare, DuplicatedShare: faultShare,
		}})
	}
	wait()
	for _, worker := range spoiling {
		worker.SetFaults(workers.Faults{})
	}
	r.verify()

	h := r.world.Record.History()
	spoilt, reused := faultyAnswers(h)
	t.Logf("spoilt %v, of these on connections used before %v", spoilt, reused)
	for _, way := range []string{
		workers.AnswerNeverSent, workers.AnswerTruncated, workers.AnswerReset, workers.AnswerForeign, workers.AnswerLate, workers.AnswerDuplicated,
	} {
		assert.NotZero(t, spoilt[way], "no answer was %s", way)
		assert.NotZero(t, reused[way], "no answer on a used connection was %s", way)
	}
	for _, reading := range h.Readings {
		assert.Equal(t, http.StatusOK, reading.StateStatus)
	}
}

// faultyAnswers counts the faulty answers by fault, and of these those on connections that had been used before.
func faultyAnswers(h *history.History) (spoilt, reused map[string]int) {
	spoilt, reused = make(map[string]int), make(map[string]int)
	for _, arrival := range h.Arrivals {
		if arrival.AnswerFault == "" {
			continue
		}
		spoilt[arrival.AnswerFault]++
		if arrival.Reused {
			reused[arrival.AnswerFault]++
		}
	}
	return spoilt, reused
}
