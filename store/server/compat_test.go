package server

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/store/journal"
	"ravendale/store/queue"
)

// compatFolder is the data folder of a store of the first version: its identity and its journal.
var compatFolder = filepath.Join("testdata", "compat", "data")

const compatIdentity = "SSYVLRL3HZBXSWZ644F2IVVS6S"

func compatMessage(id, key string, sentUnixMs int64) wire.Message {
	return wire.Message{
		RequestID: "request-" + id, Route: "route-1", Method: "POST", Host: "host.example", Target: "/t?x=" + id, ContentType: "text/plain",
		Key: key, Body: []byte("body of " + id), SentUnixMs: sentUnixMs, DelayMs: 10, RetentionMs: 1 << 31, Retries: 3, Ordered: key != "",
	}
}

// compatRecords are the records of the journal, in order.
func compatRecords() []queue.Record {
	const first, second = 1 << 32, 2 << 32 // sequences of the epochs
	const sent = 1_796_229_691_088
	return []queue.Record{
		{Kind: queue.RecordEpoch, Sequence: 1},
		{ID: "0.done", Sequence: first, Leaseholder: "edge-1", Message: compatMessage("0.done", "key-1", sent-1)},
		{ID: "0.pending", Sequence: first + 1, Leaseholder: "edge-1", Message: compatMessage("0.pending", "key-1", sent)},
		{ID: "0.dead", Sequence: first + 2, Leaseholder: "edge-1", Message: compatMessage("0.dead", "", sent)},
		{ID: "0.dropped", Sequence: first + 3, Leaseholder: "edge-1", Message: compatMessage("0.dropped", "", sent)},
		{ID: "0.failed", Sequence: first + 4, Message: compatMessage("0.failed", "", sent)},
		{Partition: 1, ID: "1.wiped", Sequence: first + 5, Leaseholder: "edge-1", Message: compatMessage("1.wiped", "", sent)},
		{Kind: queue.RecordLeaseholder, ID: "0.failed", Leaseholder: "edge-1"},
		{Kind: queue.RecordFinish, ID: "0.done", Sequence: first + 6, State: wire.StateDone, Signature: "signature-1"},
		{Kind: queue.RecordFinish, ID: "0.dead", Sequence: first + 7, State: wire.StateDead},
		{Kind: queue.RecordFinish, ID: "0.dropped", Sequence: first + 8, State: wire.StateDropped},
		{Kind: queue.RecordFailed, ID: "0.failed", Failed: 2},
		{Kind: queue.RecordEpoch, Sequence: 2},
		{Partition: 2, ID: "2.dropped", Sequence: second + 1, Leaseholder: "edge-2", Message: wire.Message{Body: []byte("b"), RetentionMs: 1 << 31}},
		{Kind: queue.RecordDrop, Partition: 2, ID: "2.dropped"},
		{Kind: queue.RecordWipe, Partition: 1},
	}
}

// TestDataFolderFormat reads the data folder of a store of the first version, and verifies that writing its records
// produces the same bytes.
func TestDataFolderFormat(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(compatFolder)))
	identity, err := Identity(dir)
	require.NoError(t, err)
	assert.Equal(t, compatIdentity, identity)
	content, err := os.ReadFile(filepath.Join(dir, identityFile))
	require.NoError(t, err)
	assert.Equal(t, compatIdentity+"\n", string(content))

	var records []queue.Record
	var payloads [][]byte
	j, err := journal.Open(filepath.Join(dir, journalFolder), journal.Options{}, func(_ journal.Location, payload []byte) error {
		var r queue.Record
		rest, err := r.UnmarshalMsg(payload)
		assert.Empty(t, rest)
		records, payloads = append(records, r), append(payloads, append([]byte(nil), payload...))
		return err
	})
	require.NoError(t, err)
	require.NoError(t, j.Close())
	assert.Equal(t, compatRecords(), records)

	rewritten := t.TempDir()
	j, err = journal.Open(rewritten, journal.Options{}, func(journal.Location, []byte) error { return nil })
	require.NoError(t, err)
	for i := range records {
		payload, err := records[i].MarshalMsg(nil)
		require.NoError(t, err)
		assert.Equal(t, payloads[i], payload)
		j.Append(payload)
	}
	require.NoError(t, j.Close())
	const segment = "0000000001.journal"
	want, err := os.ReadFile(filepath.Join(compatFolder, journalFolder, segment))
	require.NoError(t, err)
	got, err := os.ReadFile(filepath.Join(rewritten, segment))
	require.NoError(t, err)
	assert.Equal(t, want, got)
}

// TestStoreOpensDiskOfFirstVersion opens a store on the same data folder and looks up its messages.
func TestStoreOpensDiskOfFirstVersion(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(compatFolder)))
	config := &settings.Settings{DataDir: dir, DiskMb: 64, MemoryMb: 64, ToleratedNodes: 1, Zone: "z"}
	config.Bounds.StatusS = 600 // finished messages must not be removed while the test runs
	n := startNodeWith(t, "127.0.0.1:0", config)
	defer n.stop(t)
	assert.Equal(t, compatIdentity, n.disk)
	n.store.SetView(&wire.StoreView{
		Epoch: 9, Stores: []wire.Store{{Disk: n.disk, Address: n.server.Address()}},
		Partitions: []wire.Placement{{Replicas: []uint16{0}}, {Replicas: []uint16{0}}},
	})
	status := n.store.Status()
	assert.EqualValues(t, 5, status.Messages)
	assert.EqualValues(t, 2, status.Pending)
	c, err := rpc.Dial(t.Context(), n.server.Address(), rpc.Options{})
	require.NoError(t, err)
	defer c.Close()
	for id, want := range map[string]wire.FindReply{
		"0.pending": {Found: true, State: wire.StatePending, Body: []byte("body of 0.pending")},
		"0.failed":  {Found: true, State: wire.StatePending, Body: []byte("body of 0.failed")},
		"0.done":    {Found: true, State: wire.StateDone, Signature: "signature-1"},
		"0.dead":    {Found: true, State: wire.StateDead, Body: []byte("body of 0.dead")},
		"0.dropped": {},
		"1.wiped":   {},
		"2.dropped": {},
	} {
		found := wire.FindReply{}
		require.NoError(t, c.Call(t.Context(), wire.MethodFind, &wire.Find{Epoch: 9, ID: id, Body: true}, &found))
		if len(found.Body) == 0 {
			found.Body = nil
		}
		assert.Equal(t, want, found, id)
	}
}
