package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// versioned is the ID of a message that was accepted under version 4 of the configuration.
var versioned = wire.VersionedMessageID(0, "m", 4)

// announce attaches an edge that announces its configuration, and claims nothing. Version 0: an edge of an earlier
// version of the program, which announces nothing.
func (r *driver) announce(id string, version uint64) *fakeRemote {
	e := &fakeRemote{}
	r.attach(id, e)
	if version > 0 {
		r.configure(e, version)
	}
	r.claim(e)
	return e
}

func (r *driver) configure(e *fakeRemote, version uint64) {
	r.core.ConfigureEdge(r.now, e, &wire.EdgeConfig{Version: version})
}

// putUnowned puts a message that the edge leaves to another one to deliver.
func (r *driver) putUnowned(member, from *fakeRemote, id string) {
	r.putDispatch(plainMsg(id), from, false)
	r.syncAndAckAll(member)
}

func isGranted(e *fakeRemote, id string) bool {
	full, _ := e.countGrants(id)
	return full > 0
}

// Guards against review/1 (LOST): an edge whose configuration is older than the one under which a message was accepted
// must not be assigned it, however idle the edge is and however long no other edge can be.
func TestOutdatedEdgeIsAssignedNoNewerMessage(t *testing.T) {
	r, b, _ := newReadyPrimary(t)
	r.core.RemoteDown(r.now, r.core.edges.byID["e"].remote)
	outdated := r.announce("outdated", 3)
	r.putUnowned(b, outdated, versioned)
	for range 16 { // for most of the message's retention
		r.advance(5 * time.Second)
		r.syncAndAckAll(b)
	}
	assert.False(t, isGranted(outdated, versioned))
	assert.Equal(t, wire.StatePending, r.find(versioned, false).State)

	r.configure(outdated, 4)
	r.syncAndAckAll(b)
	assert.True(t, isGranted(outdated, versioned))
}

func TestUpToDateEdgeIsAssignedInsteadOfOutdatedOne(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.core.RemoteDown(r.now, e)
	outdated := r.announce("outdated", 3)
	r.putUnowned(b, outdated, versioned)
	current := r.announce("current", 5)
	r.syncAndAckAll(b)
	assert.True(t, isGranted(current, versioned))
	assert.False(t, isGranted(outdated, versioned))
}

// A message that waits for an edge with a newer configuration must not hold up others.
func TestWaitingForConfigBlocksNoOtherMessage(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.core.RemoteDown(r.now, e)
	outdated := r.announce("outdated", 3)
	older := wire.VersionedMessageID(0, "older", 3)
	r.putUnowned(b, outdated, versioned)
	r.putUnowned(b, outdated, older)
	r.putUnowned(b, outdated, "0.unversioned")
	assert.False(t, isGranted(outdated, versioned))
	assert.True(t, isGranted(outdated, older))
	assert.True(t, isGranted(outdated, "0.unversioned"))
}

// Retention: a message that no edge may run expires nevertheless.
func TestMessageExpiresWhileItWaitsForConfig(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.core.RemoteDown(r.now, e)
	r.putUnowned(b, r.announce("outdated", 3), versioned)
	r.advance(80 * time.Second)
	assert.Equal(t, wire.StatePending, r.find(versioned, false).State)
	for range 4 {
		r.advance(5 * time.Second)
	}
	assert.Equal(t, wire.StateDead, r.find(versioned, false).State)
}

// Old and new processes side by side: an edge of an earlier version of the program announces nothing. It gets such
// messages only where no newer edge is connected, as after a downgrade.
func TestEdgeOfEarlierVersionIsAssignedLast(t *testing.T) {
	r, b, earlier := newReadyPrimary(t)
	outdated := r.announce("outdated", 3)
	r.putUnowned(b, outdated, versioned)
	assert.False(t, isGranted(earlier, versioned))
	assert.False(t, isGranted(outdated, versioned))
	r.core.RemoteDown(r.now, outdated)
	for range 3 {
		r.advance(5 * time.Second)
		r.syncAndAckAll(b)
	}
	assert.True(t, isGranted(earlier, versioned))
}

// The configuration that an edge has announced is known under a new placement too, and after the store's restart once
// the edge has announced it again.
func TestAnnouncedConfigSurvivesNewPlacementAndRestart(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.core.RemoteDown(r.now, e)
	outdated := r.announce("outdated", 3)
	r.putUnowned(b, outdated, versioned)
	r.view(2, []uint16{0, 1}, nil)
	r.claim(outdated)
	r.advance(5 * time.Second)
	r.syncAndAckAll(b)
	assert.False(t, isGranted(outdated, versioned))

	restarted := r.restart(time.Second)
	b, e = restarted.becomePrimary(3)
	restarted.configure(e, 3)
	restarted.advance(5 * time.Second)
	restarted.syncAndAckAll(b)
	assert.False(t, isGranted(e, versioned))
	restarted.configure(e, 4)
	restarted.configure(e, 2) // a notification that was overtaken
	restarted.advance(5 * time.Second)
	restarted.syncAndAckAll(b)
	assert.True(t, isGranted(e, versioned))
}

// reportDrop makes an edge that was assigned a message report it as dropped, and returns the message's state.
func reportDrop(t *testing.T, id string, reason wire.DropReason, mutated mutations) (state wire.State, released bool) {
	r, b, e := newReadyPrimary(t)
	r.core.mutations = mutated
	r.putUnowned(b, e, id)
	require.True(t, isGranted(e, id))
	answer := r.report(wire.Report{ID: id, Kind: wire.ReportDropped, Signature: string(reason)}, e)
	r.syncAndAckAll(b)
	assert.Equal(t, wire.PutAccepted, replyCode(t, answer), "the edge must not repeat its report for ever")
	entry, _ := r.core.partition(0).find(id)
	return r.find(id, false).State, entry.pending() && entry.delivery.lastLeaseholder == "e"
}

// A drop ends a message for good. It counts only if the edge's configuration wasn't older than the one under which the
// message was accepted. Otherwise the message stays, and is assigned again.
func TestDropByOutdatedConfigLeavesMessagePending(t *testing.T) {
	for _, test := range []struct {
		id     string
		reason wire.DropReason
		want   wire.State
	}{
		{versioned, wire.DropRemovedRoute(3), wire.StatePending},
		{versioned, wire.DropRemovedRoute(4), wire.StateDropped},
		{versioned, wire.DropRemovedRoute(5), wire.StateDropped},
		{versioned, wire.DropAbandonedPut, wire.StateDropped},
		{versioned, wire.DropUnexplained, wire.StatePending}, // from an edge of an earlier version, which hasn't put it
		{"0.unversioned", wire.DropRemovedRoute(1), wire.StateDropped},
		{"0.unversioned", wire.DropAbandonedPut, wire.StateDropped},
		{"0.unversioned", wire.DropUnexplained, wire.StateDropped}, // it may have abandoned its put
	} {
		state, pending := reportDrop(t, test.id, test.reason, mutations{})
		assert.Equal(t, test.want, state, "%s: %q", test.id, test.reason)
		assert.Equal(t, test.want == wire.StatePending, pending)
	}
}

// An edge of an earlier version repeats its drop for each grant of the message. If it is the only edge, that must not
// become a loop.
func TestRefusedDropIsNotRepeatedAtOnce(t *testing.T) {
	r, b, e := newReadyPrimary(t)
	r.putUnowned(b, e, versioned)
	for range 3 {
		full, _ := e.countGrants(versioned)
		r.report(wire.Report{ID: versioned, Kind: wire.ReportDropped}, e)
		r.advance(refusedDropPause - 100*ms)
		r.syncAndAckAll(b)
		again, _ := e.countGrants(versioned)
		assert.Equal(t, full, again)
		r.advance(200 * ms)
		r.syncAndAckAll(b)
		again, _ = e.countGrants(versioned)
		assert.Equal(t, full+1, again)
	}
}

// Each mutation brings one of the faults back. The tests above must detect it.
func TestMutationsOfOutdatedEdgesAreDetected(t *testing.T) {
	state, _ := reportDrop(t, versioned, wire.DropRemovedRoute(3), mutations{dropsForAnyReport: true})
	assert.Equal(t, wire.StateDropped, state)

	r, b, e := newReadyPrimary(t)
	r.core.mutations.assignsToOutdatedEdges = true
	r.core.RemoteDown(r.now, e)
	outdated := r.announce("outdated", 3)
	r.putUnowned(b, outdated, versioned)
	assert.True(t, isGranted(outdated, versioned))
}

// A record that an earlier version of the program wrote has no version of the configuration. Its message is assigned to
// any edge, which decides nothing about it before it has had its configuration confirmed (see package dispatch), and a
// drop by such an edge counts.
func TestRecordOfEarlierVersionIsAssignedToAnyEdge(t *testing.T) {
	r := newDriver(t)
	r.records = [][]byte{readCompat(t, "record-whole-pending")}
	r.now.UnixMs = compatMessage().SentUnixMs
	r = r.restart(0)
	id := compatRecords()["record-whole-pending"].ID
	require.Zero(t, wire.ConfigVersionOf(id))
	b := &fakeRemote{}
	r.core.SetView(r.now, &wire.StoreView{
		Epoch: 1, Copies: 2, Stores: []wire.Store{{Disk: "a"}, {Disk: "b"}}, Partitions: []wire.Placement{{}, {Replicas: []uint16{0, 1}}},
	})
	r.core.PeerUp(r.now, "b", b)
	r.core.Differ(r.now, b, &Differ{Partition: 1, ComparisonID: lastSent[Compare](b).ComparisonID, Bucket: bucketCount, Last: true})
	e := r.announce("e", 3)
	for range 3 { // the first assignment waits for a barrier
		r.advance(5 * time.Second)
		r.syncAndAckAll(b)
	}
	require.True(t, isGranted(e, id))
	dropped := wire.Report{Partition: 1, ID: id, Kind: wire.ReportDropped, Signature: string(wire.DropRemovedRoute(3))}
	r.report(dropped, e)
	r.syncAndAckAll(b)
	assert.Equal(t, wire.StateDropped, r.find(id, false).State)
}
