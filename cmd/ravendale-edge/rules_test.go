package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// UNASKED: the key that a worker sees is the sender's, from whichever edge, and after a restart of all stores.
func TestOrderKeyReachesTheWorkerByteByByte(t *testing.T) {
	const key = "K \xe9\xff,\t\"=;:%20/ k"
	r := newRig(t, 3, 2)
	one, two := r.edges[0], r.edges[1]
	r.awaitReady(one)
	r.awaitReady(two)
	r.awaitState(two, r.put(one, "/p/x", "plain", key, 0), "done")
	ordered := r.put(one, "/f/x", "ordered", key, 1500)
	delayed := r.put(one, "/p/x", "delayed", key, 1500)
	one.dispatcher.Close()
	one.queue.Close()
	r.edges = r.edges[1:]
	r.restartStores()
	r.setPlacement(2, []uint16{0, 1}, []uint16{1, 2}, []uint16{2, 0}, []uint16{0, 2})
	r.distribute()
	r.awaitState(two, ordered, "done")
	r.awaitState(two, delayed, "done")
	for _, id := range []string{"plain", "ordered", "delayed"} {
		assert.Equal(t, key, r.worker.key(id), id)
	}
}

// LOST: stores that have just started, and have no state yet, do not say that there is no such message.
func TestStateIsNotDeniedWhileStoresStart(t *testing.T) {
	r := newRig(t, 3, 2)
	one, two := r.edges[0], r.edges[1]
	r.awaitReady(one)
	r.awaitReady(two)
	done, pending := r.put(one, "/p/x", "m1", "", 0), r.put(one, "/p/x", "m2", "", 60000)
	require.Equal(t, "sig-m1", r.awaitState(two, done, "done"))
	r.restartStores()
	r.awaitReady(one) // connected again
	r.awaitReady(two)
	for _, e := range r.edges {
		for _, path := range []string{"/v1/message/" + done, "/v1/message/" + pending, "/v1/message-body/" + pending} {
			status, _ := r.ask(e, path)
			assert.Equal(t, http.StatusServiceUnavailable, status)
		}
	}
	r.setPlacement(2, []uint16{0, 1}, []uint16{1, 2}, []uint16{2, 0}, []uint16{0, 2})
	r.distribute()
	assert.Equal(t, "sig-m1", r.awaitState(one, done, "done"))
	assert.Equal(t, "sig-m1", r.awaitState(two, done, "done"))
	r.awaitState(two, pending, "pending")
}

// DRAIN: an edge that is being stopped is not ready from then on, however long it still works.
func TestStoppingEdgeIsNotReady(t *testing.T) {
	r := newRig(t, 3, 2)
	one, two := r.edges[0], r.edges[1]
	r.awaitReady(one)
	r.awaitReady(two)
	name, letEnd := r.startRunning(one)
	one.stop()
	ask := func() int {
		response, err := http.Get("http://" + one.env.Settings.ListenReady + "/v1/readyz")
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	require.Eventually(t, func() bool { return ask() == http.StatusServiceUnavailable }, patience, time.Millisecond)
	assert.Len(t, r.worker.list(), 1, "it still runs")
	letEnd()
	for stopped := false; !stopped; {
		select {
		case err := <-one.done:
			require.NoError(t, err)
			stopped = true
		default:
			require.NotEqual(t, http.StatusOK, ask())
		}
	}
	r.awaitState(two, name, "done")
}
