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

// Bounds of the rule that around planned work no request is cut off: soon after it was read it may be, and late, too.
const (
	requestDeadline = 800 * time.Millisecond
	earlyCut        = 200 * time.Millisecond
	lateCutFraction = 0.7
	patchInterval   = 300 * time.Millisecond
)

// Stores that hold the core are stopped in order, one after the other, each at another moment of a series of changes: the leader is on one of
// them. No client loses its connection for it.
func TestARollOverStoresThatHoldTheCoreCutsNoRequest(t *testing.T) {
	r := startWith(t, diskless)
	wait := r.loadWithDeadlines(14 * time.Second)
	stopPatches := r.patchRepeatedly()
	for i, store := range r.system.Stores {
		r.roll(store)
		time.Sleep(1500*time.Millisecond + time.Duration(i)*patchInterval/4)
	}
	stopPatches()
	wait()
	r.none(r.world.Record.History(), cutOff(r.world.Record.History()))
	assert.GreaterOrEqual(t, r.acceptedSince(0), served)
	r.verify()
}

// The same where control processes have disks, and one of them stops while a store does: whoever leads then has to learn of the store.
func TestARollOverStoresAndControlTogetherCutsNoRequest(t *testing.T) {
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
	r.none(r.world.Record.History(), cutOff(r.world.Record.History()))
	r.verify()
}

// loadWithDeadlines is load by clients that say how long they wait.
func (r *rig) loadWithDeadlines(duration time.Duration) (wait func()) {
	routes := traffic()
	for i := range routes {
		routes[i].Deadline = requestDeadline
	}
	return r.loadOf(duration, routes)
}

// patchRepeatedly changes the configuration again and again until it is stopped.
func (r *rig) patchRepeatedly() (stop func()) {
	ctx, cancel := context.WithCancel(r.t.Context())
	var group sync.WaitGroup
	group.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			r.patchInTheEnd(protocol.Patch{Upsert: protocol.Upsert{Routes: []protocol.Route{extraRoute(600 + i)}}})
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

// patchInTheEnd changes the configuration. A change that gets no clear answer is sent again as it is.
func (r *rig) patchInTheEnd(patch protocol.Patch) {
	patch.Version = r.config.Version + 2
	taken := func() bool {
		answer, err := r.staff.Patch(r.within(ackBound), r.config, patch)
		return err == nil && answer.Status == http.StatusOK
	}
	if assert.Eventually(r.t, taken, 2*ackBound, 20*time.Millisecond, "version %d", patch.Version) {
		r.config = r.config.Apply(patch)
	}
}

// cutOff finds requests whose connection ended without an answer when it should not.
func cutOff(h *history.History) []check.Finding {
	var found []check.Finding
	for i := range h.Sends {
		send := &h.Sends[i]
		after := send.Answered - send.Sent
		if send.Status != 0 || after <= earlyCut || float64(after) >= lateCutFraction*float64(send.Deadline) {
			continue
		}
		found = append(found, check.Finding{Rule: check.RuleLost, Subject: send.RequestID, Reason: fmt.Sprintf("cut off after %v by %s: %s", after, send.Edge, send.Problem)})
	}
	return found
}
