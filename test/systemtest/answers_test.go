package systemtest

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/test/standin/history"
	"ravendale/test/standin/workers"
)

// spoilShare of all successes are spoilt in each way.
const spoilShare = 0.06

// Workers spoil a third of their answers: no message is told to be done with another's signature, none runs again after a success
// that came whole, and the order by key holds.
func TestSpoiltAnswersOnRealProcesses(t *testing.T) {
	r := start(t)
	wait := r.load(8 * time.Second)
	var spoiling []*workers.Worker
	for _, service := range services() {
		spoiling = append(spoiling, r.world.Fleet.Workers(service.Name)...)
	}
	for _, worker := range spoiling {
		worker.SetTroubles(workers.Troubles{Spoilt: workers.Spoilt{
			LoseShare: spoilShare, CutShare: spoilShare, ResetShare: spoilShare,
			ForeignShare: spoilShare, LateShare: spoilShare, RepeatShare: spoilShare,
		}})
	}
	wait()
	for _, worker := range spoiling {
		worker.SetTroubles(workers.Troubles{})
	}
	r.verify()

	h := r.world.Record.History()
	spoilt, reused := spoiltRuns(h)
	t.Logf("spoilt %v, of these on connections used before %v", spoilt, reused)
	for _, way := range []string{
		workers.SpoiltLost, workers.SpoiltCut, workers.SpoiltReset, workers.SpoiltForeign, workers.SpoiltLate, workers.SpoiltRepeat,
	} {
		assert.NotZero(t, spoilt[way], "no answer was %s", way)
		assert.NotZero(t, reused[way], "no answer on a used connection was %s", way)
	}
	for _, reading := range h.Readings {
		assert.Equal(t, http.StatusOK, reading.StateStatus)
	}
}

// spoiltRuns counts the answers that were spoilt in each way, and of these those on connections that had been used before.
func spoiltRuns(h *history.History) (spoilt, reused map[string]int) {
	spoilt, reused = make(map[string]int), make(map[string]int)
	for _, arrival := range h.Arrivals {
		if arrival.Spoilt == "" {
			continue
		}
		spoilt[arrival.Spoilt]++
		if arrival.Reused {
			reused[arrival.Spoilt]++
		}
	}
	return spoilt, reused
}
