package disks

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/rpc"
	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/control/core"
	"ravendale/control/slots"
	"ravendale/control/state"
	"ravendale/store/journal"
	"ravendale/store/queue"
	"ravendale/store/server"
)

// folderContent returns the contents of all files in a folder by path.
func folderContent(t *testing.T, dir string) map[string]string {
	t.Helper()
	files := make(map[string]string)
	require.NoError(t, filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		files[path] = string(data)
		return err
	}))
	return files
}

// inspect reads a disk and checks that this changed nothing on it.
func inspect(t *testing.T, dir string) *Report {
	t.Helper()
	before := folderContent(t, dir)
	reports, err := Inspect(dir)
	require.NoError(t, err)
	require.Equal(t, before, folderContent(t, dir), "reading changes nothing")
	require.Len(t, reports, 1)
	return reports[0]
}

func (r *Report) file(name string) File {
	for _, file := range r.Files {
		if file.Name == name {
			return file
		}
	}
	return File{}
}

func modifyFile(t *testing.T, path string, modify func(data []byte) []byte) {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, modify(data), 0o600))
}

// runCore runs a real core of one process, submits a command for each version, and returns its folder and identity.
func runCore(t *testing.T, versions int) (folder, disk string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	port := listener.Addr().(*net.TCPAddr).Port
	require.NoError(t, listener.Close())
	folder = filepath.Join(t.TempDir(), "core")
	s := &settings.Settings{
		Node: "n", IP: "127.0.0.1", Zone: "z", PortRange: []int{port, port + 2}, Seeds: []string{"127.0.0.1:1"}, Bootstrap: true,
		DataDir: folder, Bounds: settings.Bounds{CatchupS: 5},
	}
	mux := rpc.NewMux()
	coreNode, err := core.Open(core.Config{Settings: s, Machine: state.NewMachine(), Mux: mux})
	require.NoError(t, err)
	server, err := rpc.Listen(s.ControlAddress(s.IP), rpc.Options{Mux: mux}, nil)
	require.NoError(t, err)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	exited := make(chan error, 1)
	go func() { coreNode.Run(ctx); exited <- nil }()
	for version := 1; version <= versions; {
		command, err := state.Encode(&state.Set{Base: uint64(version - 1), Body: document(version)})
		require.NoError(t, err)
		answer, err := coreNode.Submit(t.Context(), command)
		if errors.Is(err, core.ErrUnavailable) {
			continue
		}
		require.NoError(t, err)
		result, err := state.DecodeResult(answer)
		require.NoError(t, err)
		require.Equal(t, state.OutcomeApplied, result.Outcome)
		version++
	}
	disk = coreNode.Status().ID.String()
	cancel()
	require.NoError(t, <-exited)
	return folder, disk
}

func document(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[],"backends":[],"limits":{}}`, version)
}

func TestInspectCore(t *testing.T) {
	folder, disk := runCore(t, 3)
	for _, dir := range []string{folder, filepath.Dir(folder)} {
		report := inspect(t, dir)
		require.Empty(t, report.Damage)
		require.Equal(t, disk, report.Core.Disk)
		require.Equal(t, []string{disk}, report.Core.Chain)
		require.Len(t, report.Core.Voters, 1)
		require.NotZero(t, report.Core.Epoch)
		require.EqualValues(t, 3, int(report.Core.Version)+len(report.Core.CommandsAfterBase), "%+v", report.Core)
		require.Equal(t, "set on 2", report.Core.CommandsAfterBase[len(report.Core.CommandsAfterBase)-1])
		require.GreaterOrEqual(t, report.Core.Last, report.Core.Base+3)
	}
}

// emptyChangeRecord is an encoded record without changes: each of its four fields is nil.
var emptyChangeRecord = []byte{0x94, 0xc0, 0xc0, 0xc0, 0xc0}

// writeSlots writes a core disk with a state, a newer state, and a record after it.
func writeSlots(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	slotStore, _, _, err := slots.Open(dir)
	require.NoError(t, err)
	machine := state.NewMachine()
	for version := 1; version <= 2; version++ {
		command, err := state.Encode(&state.Set{Base: uint64(version - 1), Body: document(version)})
		require.NoError(t, err)
		machine.Apply(command)
		image := core.Image{ID: 0x1f, Machine: machine.Snapshot()}
		encoded, err := image.MarshalMsg(nil)
		require.NoError(t, err)
		require.NoError(t, slotStore.Snapshot(encoded))
	}
	require.NoError(t, slotStore.Append(emptyChangeRecord))
	require.NoError(t, slotStore.Close())
	return dir
}

func TestInspectIntactCoreDisk(t *testing.T) {
	report := inspect(t, writeSlots(t))
	require.Empty(t, report.Damage)
	require.EqualValues(t, 2, report.Core.Version)
	require.Equal(t, document(2), report.Core.Document)
	require.Equal(t, FileIntact, report.file("slot-0").State)
	require.Equal(t, FileSuperseded, report.file("slot-1").State)
	require.Equal(t, FileSuperseded, report.file("log-1").State)
	log := report.file("log-0")
	require.Equal(t, File{Name: "log-0", Bytes: log.Bytes, ReadableBytes: log.Bytes, Records: 1, State: FileIntact}, log)
}

func TestTornLogIsNotDamage(t *testing.T) {
	dir := writeSlots(t)
	modifyFile(t, filepath.Join(dir, "log-0"), func(data []byte) []byte { return data[:len(data)-1] })
	report := inspect(t, dir)
	require.Empty(t, report.Damage)
	require.Equal(t, FileTorn, report.file("log-0").State)
	require.Zero(t, report.file("log-0").Records)
	require.Contains(t, report.Remarks[0], "torn")
}

func TestIncompleteSlotIsUnneeded(t *testing.T) {
	dir := writeSlots(t)
	modifyFile(t, filepath.Join(dir, "slot-1"), func(data []byte) []byte { return data[:5] })
	require.NoError(t, os.Remove(filepath.Join(dir, "log-1")))
	report := inspect(t, dir)
	require.Empty(t, report.Damage)
	require.Equal(t, FileUnneeded, report.file("slot-1").State)
	require.EqualValues(t, 2, report.Core.Version)
}

func TestUnreadableSlotIsDamage(t *testing.T) {
	dir := writeSlots(t)
	modifyFile(t, filepath.Join(dir, "slot-0"), func(data []byte) []byte { data[len(data)-1] ^= 1; return data })
	report := inspect(t, dir)
	require.True(t, report.Damaged())
	require.Contains(t, report.Damage[0], "generation 2")
	require.Equal(t, FileUnreadable, report.file("slot-0").State)
	require.True(t, report.Core.FromOlderState)
	require.EqualValues(t, 1, report.Core.Version)
}

// TestInspectSetAsideDisk sets a damaged disk aside and starts a new one in the same folder, as a control process does.
func TestInspectSetAsideDisk(t *testing.T) {
	dir := writeSlots(t)
	modifyFile(t, filepath.Join(dir, "slot-0"), func(data []byte) []byte { data[len(data)-1] ^= 1; return data })
	require.NoError(t, slots.SetAside(slots.OSFolder(dir)))
	slotStore, _, _, err := slots.Open(dir)
	require.NoError(t, err)
	image, err := (&core.Image{ID: 0x2f, Machine: state.NewMachine().Snapshot()}).MarshalMsg(nil)
	require.NoError(t, err)
	require.NoError(t, slotStore.Snapshot(image))
	before := folderContent(t, dir)
	reports, err := Inspect(dir)
	require.NoError(t, err)
	require.Equal(t, before, folderContent(t, dir), "reading changes nothing")
	require.Len(t, reports, 2)
	require.False(t, reports[0].SetAside)
	require.Empty(t, reports[0].Damage)
	require.Zero(t, reports[0].Core.Version)
	require.True(t, reports[1].SetAside)
	require.Contains(t, reports[1].Damage[0], "generation 2")
	require.Equal(t, FileUnreadable, reports[1].file("damaged-slot-0").State)
	require.True(t, reports[1].Core.FromOlderState)
	require.EqualValues(t, 1, reports[1].Core.Version)
}

func TestUnknownSlotContentIsDamage(t *testing.T) {
	dir := t.TempDir()
	slotStore, _, _, err := slots.Open(dir)
	require.NoError(t, err)
	require.NoError(t, slotStore.Snapshot([]byte("something else")))
	require.NoError(t, slotStore.Close())
	report := inspect(t, dir)
	require.Contains(t, report.Damage[0], "not known here")
	require.Nil(t, report.Core)
}

// writeStore writes a store disk with three segments.
func writeStore(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	_, err := server.Identity(dir)
	require.NoError(t, err)
	journalWriter, err := journal.Open(filepath.Join(dir, journalFolder), journal.Options{SegmentBytes: 240}, func(journal.Location, []byte) error { return nil })
	require.NoError(t, err)
	body := bytes.Repeat([]byte("x"), 200)
	for _, record := range []queue.Record{
		{Kind: queue.RecordEpoch, Sequence: 7},
		{Partition: 1, ID: "1.a", Message: wire.Message{Body: body}},
		{Partition: 1, ID: "1.b", Message: wire.Message{Body: body}},
		{Kind: queue.RecordFinish, Partition: 1, ID: "1.a", State: wire.StateDone},
		{Partition: 2, ID: "2.a"}, {Partition: 2, ID: "2.b", State: wire.StateDead}, {Partition: 3, ID: "3.a"},
		{Kind: queue.RecordDrop, Partition: 2, ID: "2.a"},
		{Kind: queue.RecordWipe, Partition: 3},
		{Partition: 4, ID: "4.a"},
	} {
		payload, err := record.MarshalMsg(nil)
		require.NoError(t, err)
		journalWriter.Append(payload)
	}
	require.NoError(t, journalWriter.Close())
	return dir
}

func segmentPath(dir string, number int) string {
	return filepath.Join(dir, journalFolder, fmt.Sprintf("%010d%s", number, segmentSuffix))
}

func TestInspectStore(t *testing.T) {
	dir := writeStore(t)
	report := inspect(t, dir)
	require.Empty(t, report.Damage)
	require.Len(t, report.Files, 3)
	disk, err := server.Identity(dir)
	require.NoError(t, err)
	require.Equal(t, &Store{
		Disk: disk, Epoch: 7, Pending: 2, Done: 1, Dead: 1,
		Partitions: []Partition{{Number: 1, Pending: 1, Finished: 1}, {Number: 2, Finished: 1}, {Number: 4, Pending: 1}},
	}, report.Store)
	for _, file := range report.Files {
		require.Equal(t, FileIntact, file.State)
		require.Equal(t, file.Bytes, file.ReadableBytes)
	}
}

func TestTornJournalEndIsNotDamage(t *testing.T) {
	dir := writeStore(t)
	modifyFile(t, segmentPath(dir, 3), func(data []byte) []byte { return data[:len(data)-1] })
	report := inspect(t, dir)
	require.Empty(t, report.Damage)
	torn := report.Files[2]
	require.Equal(t, FileTorn, torn.State)
	require.Less(t, torn.ReadableBytes, torn.Bytes)
	require.Equal(t, 1, report.Store.Pending, "the last message is truncated")

	modifyFile(t, segmentPath(dir, 3), func(data []byte) []byte { return append(make([]byte, 20), data[20:]...) })
	report = inspect(t, dir)
	require.Empty(t, report.Damage)
	require.Zero(t, report.Files[2].ReadableBytes, "the header is unreadable")
}

func TestCorruptOlderSegmentIsDamage(t *testing.T) {
	dir := writeStore(t)
	modifyFile(t, segmentPath(dir, 2), func(data []byte) []byte { data[len(data)-1] ^= 1; return data })
	report := inspect(t, dir)
	require.True(t, report.Damaged())
	require.Contains(t, report.Damage[0], "0000000002.journal: it can't be read from byte 12 on")
	require.Equal(t, FileUnreadable, report.Files[1].State)
	require.Equal(t, FileIntact, report.Files[2].State, "the following segment is still read")
}

func TestMissingSegmentIsDamage(t *testing.T) {
	dir := writeStore(t)
	require.NoError(t, os.Remove(segmentPath(dir, 2)))
	require.NoError(t, os.Remove(filepath.Join(dir, identityFile)))
	report := inspect(t, dir)
	require.Equal(t, []string{"segments 2 to 2 are lost"}, report.Damage)
	require.Contains(t, report.Remarks[0], "no identity")
}

func TestInspectFolderWithoutDisk(t *testing.T) {
	_, err := Inspect(t.TempDir())
	require.ErrorIs(t, err, ErrNoDisk)
	_, err = Inspect(filepath.Join(t.TempDir(), "none"))
	require.ErrorIs(t, err, os.ErrNotExist)
}
