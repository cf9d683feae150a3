package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/test/standin/check"
	"ravendale/test/standin/history"
	"ravendale/test/standin/protocol"
)

// Bounds of the rule that no connection closes under a request during planned work. A close soon after the request was
// sent is allowed, and so is one close to the request's deadline.
const (
	requestDeadline     = 800 * time.Millisecond
	allowedEarlyClose   = 200 * time.Millisecond
	allowedLateFraction = 0.7
	patchInterval       = 300 * time.Millisecond
)

// Stores that host the core, one of them the leader, are stopped gracefully one after the other, each at a different
// point in a series of configuration changes. No client request may be truncated by that.
func TestRollOverCoreStoresTruncatesNoRequest(t *testing.T) {
	r := startWith(t, diskless)
	wait := r.loadWithDeadlines(14 * time.Second)
	stopPatches := r.patchRepeatedly()
	for i, store := range r.system.Stores {
		r.roll(store)
		time.Sleep(1500*time.Millisecond + time.Duration(i)*patchInterval/4)
	}
	stopPatches()
	wait()
	r.reportFindings(r.world.Record.History(), truncatedRequests(r.world.Record.History()))
	assert.GreaterOrEqual(t, r.acceptedSince(0), minAccepted)
	r.verify()
}

// Like the test above with control processes that have disks. One of them stops together with a store: a new leader
// then has to learn that the store is stopping.
func TestRollOverStoresAndControlTruncatesNoRequest(t *testing.T) {
	r := start(t)
	wait := r.loadWithDeadlines(12 * time.Second)
	stopPatches := r.patchRepeatedly()
	for i, store := range r.system.Stores {
		var group sync.WaitGroup
		group.Go(func() { r.roll(store) })
		group.Go(func() { r.roll(r.system.Controls[i%len(r.system.Controls)]) })
		group.Wait()
		time.Sleep(1500 * time.Millisecond)
	}
	stopPatches()
	wait()
	r.reportFindings(r.world.Record.History(), truncatedRequests(r.world.Record.History()))
	r.verify()
}

// loadWithDeadlines is like load, with clients that announce their deadline.
func (r *rig) loadWithDeadlines(duration time.Duration) (wait func()) {
	routes := traffic()
	for i := range routes {
		routes[i].Deadline = requestDeadline
	}
	return r.loadTraffic(duration, routes)
}

// patchRepeatedly changes the configuration every patchInterval until stop is called.
func (r *rig) patchRepeatedly() (stop func()) {
	ctx, cancel := context.WithCancel(r.t.Context())
	var group sync.WaitGroup
	group.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			r.patchUntilAccepted(protocol.Patch{Upsert: protocol.Upsert{Routes: []protocol.Route{extraRoute(600 + i)}}})
			select {
			case <-ctx.Done():
			case <-time.After(patchInterval):
			}
		}
	})
	return func() {
		cancel()
		group.Wait()
	}
}

// patchUntilAccepted changes the configuration, and repeats the same change until it is accepted.
func (r *rig) patchUntilAccepted(patch protocol.Patch) {
	patch.Version = r.config.Version + 2
	taken := func() bool {
		answer, err := r.operator.Patch(r.within(ackBound), r.config, patch)
		return err == nil && answer.Status == http.StatusOK
	}
	if assert.Eventually(r.t, taken, 2*ackBound, 20*time.Millisecond, "version %d", patch.Version) {
		r.config = r.config.Apply(patch)
	}
}

// truncatedRequests finds requests whose connection closed without an answer outside the allowed times.
func truncatedRequests(h *history.History) []check.Finding {
	var found []check.Finding
	for i := range h.Sends {
		send := &h.Sends[i]
		after := send.Answered - send.Sent
		if send.Status != 0 || after <= allowedEarlyClose || float64(after) >= allowedLateFraction*float64(send.Deadline) {
			continue
		}
		found = append(found, check.Finding{Rule: check.RuleLost, Subject: send.RequestID, Reason: fmt.Sprintf("connection closed without an answer after %v by %s: %s", after, send.Edge, send.Problem)})
	}
	return found
}
