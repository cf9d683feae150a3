package journal

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// open opens a journal and returns the records in it and a channel that receives the synced positions.
func open(t *testing.T, dir string, segmentBytes int) (*Journal, []string, chan uint64) {
	t.Helper()
	synced := make(chan uint64, 10_000)
	var found []string
	j, err := Open(dir, Options{
		SegmentBytes: segmentBytes,
		OnSync:       func(position uint64) { synced <- position },
		OnError:      func(err error) { t.Error(err) },
	}, func(at Location, payload []byte) error {
		require.NotZero(t, at.Segment)
		found = append(found, string(payload))
		return nil
	})
	require.NoError(t, err)
	return j, found, synced
}

func await(t *testing.T, synced chan uint64, position uint64) {
	t.Helper()
	for p := range synced {
		if p >= position {
			return
		}
	}
}

func TestRecordsAreReadInOrder(t *testing.T) {
	dir := t.TempDir()
	j, found, _ := open(t, dir, 200)
	assert.Empty(t, found)
	var want []string
	var locations []Location
	for i := range 50 {
		record := fmt.Sprintf("record %d %s", i, strings.Repeat("x", i))
		want = append(want, record)
		at, _ := j.Append([]byte(record))
		locations = append(locations, at)
	}
	for i, at := range locations { // whether or not they are written yet
		payload, err := j.Read(at)
		require.NoError(t, err)
		assert.Equal(t, want[i], string(payload))
	}
	require.NoError(t, j.Close())

	j, found, _ = open(t, dir, 200)
	assert.Equal(t, want, found)
	for i, at := range locations {
		payload, err := j.Read(at)
		require.NoError(t, err)
		assert.Equal(t, want[i], string(payload))
	}
	used := j.Used()
	require.NoError(t, j.Close())
	assert.Equal(t, sizeOf(t, dir), used)
}

func sizeOf(t *testing.T, dir string) int64 {
	t.Helper()
	var size int64
	names, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, name := range names {
		info, err := name.Info()
		require.NoError(t, err)
		size += info.Size()
	}
	return size
}

// TestPowerLoss simulates power failures: after each, all synced records are in the journal, and no record that was
// never written.
func TestPowerLoss(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	dir := t.TempDir()
	durable := 0 // number of records that must be in the journal
	for round := range 60 {
		j, found, synced := open(t, dir, 500)
		require.GreaterOrEqual(t, len(found), durable, "round %d", round)
		for i, record := range found {
			require.True(t, strings.HasPrefix(record, fmt.Sprintf("%d:", i)), "round %d: %q", round, record)
		}
		durable = len(found)
		var position uint64
		for range random.IntN(20) {
			_, position = j.Append(fmt.Appendf(nil, "%d:%s", durable, strings.Repeat("y", random.IntN(100))))
			durable++
		}
		if position > 0 {
			await(t, synced, position)
		}
		require.NoError(t, j.Close())
		tear(t, dir, j.newest, random, durable)
	}
}

// tear appends to the newest segment what an unsynced write may leave there: part of a record, zeros, or a valid record
// after a hole. Or it adds a further segment with an incomplete header.
func tear(t *testing.T, dir string, newest uint32, random *rand.Rand, next int) {
	path := filepath.Join(dir, fmt.Sprintf("%010d%s", newest, suffix))
	file, err := os.OpenFile(path, os.O_RDWR|os.O_APPEND, 0)
	require.NoError(t, err)
	defer func() { require.NoError(t, file.Close()) }()
	var garbage []byte
	switch random.IntN(5) {
	case 0:
		garbage = make([]byte, random.IntN(50))
	case 1:
		garbage = []byte{0, 0, 0, 9, 1, 2, 3, 4, 'a', 'b'}
	case 2:
		garbage = []byte{0xff, 0xff, 0xff, 0xff, 1}
	case 3: // the next segment was created, but its header is incomplete
		require.NoError(t, os.WriteFile(filepath.Join(dir, fmt.Sprintf("%010d%s", newest+1, suffix)), []byte("rvn"), 0o644))
	case 4:
		garbage = append(make([]byte, 20), fmt.Sprintf("%d:no", next)...)
	}
	_, err = file.Write(garbage)
	require.NoError(t, err)
}

func TestDamageInOldSegmentIsAnError(t *testing.T) {
	dir := t.TempDir()
	j, _, _ := open(t, dir, 50)
	for range 5 {
		j.Append([]byte(strings.Repeat("z", 60)))
	}
	require.NoError(t, j.Close())
	path := filepath.Join(dir, fmt.Sprintf("%010d%s", 2, suffix))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	data[len(data)-1] ^= 1
	require.NoError(t, os.WriteFile(path, data, 0o644))
	_, err = Open(dir, Options{}, func(Location, []byte) error { return nil })
	assert.ErrorIs(t, err, ErrDamaged)
	assert.ErrorContains(t, err, "segment 2")
}

func TestRemoveOldestSegments(t *testing.T) {
	dir := t.TempDir()
	j, _, _ := open(t, dir, 50)
	var locations []Location
	for i := range 5 {
		at, _ := j.Append(fmt.Appendf(nil, "%d%s", i, strings.Repeat("z", 60)))
		locations = append(locations, at)
	}
	oldest, newest := j.Segments()
	assert.EqualValues(t, 1, oldest)
	assert.EqualValues(t, 5, newest)
	j.Remove(2) // no effect: not the oldest
	j.Remove(1)
	j.Remove(2)
	at, _ := j.Append([]byte("after"))
	locations = append(locations, at)
	require.NoError(t, j.Close())

	j, found, _ := open(t, dir, 50)
	assert.Len(t, found, 4)
	assert.Equal(t, "after", found[3])
	oldest, _ = j.Segments()
	assert.EqualValues(t, 3, oldest)
	_, err := j.Read(locations[0])
	assert.ErrorIs(t, err, ErrNotFound)
	used := j.Used()
	require.NoError(t, j.Close())
	assert.Equal(t, sizeOf(t, dir), used)
}

func TestDiskErrorStopsJournal(t *testing.T) {
	failed := make(chan error, 1)
	j, err := Open(t.TempDir(), Options{
		OnError: func(err error) { failed <- err },
		OnSync:  func(uint64) { t.Error("synced") },
	}, nil)
	require.NoError(t, err)
	require.NoError(t, j.files[1].Close())
	j.Append([]byte("lost"))
	require.Error(t, <-failed)
	require.Error(t, j.Close())
}

func BenchmarkAppend(b *testing.B) {
	j, err := Open(b.TempDir(), Options{}, nil)
	require.NoError(b, err)
	payload := make([]byte, 1000)
	b.ReportAllocs()
	for range b.N {
		j.Append(payload)
	}
	require.NoError(b, j.Close())
}

// A full disk is not a failure: appended records wait, can be read, and are written once there is space.
func TestRecordsWaitForDiskSpace(t *testing.T) {
	dir := t.TempDir()
	var full atomic.Bool
	refused := make(chan struct{}, 100)
	synced := make(chan uint64, 100)
	reported := make(chan struct{}, 100)
	options := Options{
		SegmentBytes: 200,
		OnFull:       func() { reported <- struct{}{} },
		OnSync:       func(position uint64) { synced <- position },
		OnError:      func(err error) { t.Error(err) },
		write: func(file *os.File, data []byte, at int64) error {
			if !full.Load() {
				return writeAt(file, data, at)
			}
			_ = writeAt(file, data[:len(data)/2], at) // a partial write, up to the free space
			refused <- struct{}{}
			return &os.PathError{Op: "write", Path: file.Name(), Err: unix.ENOSPC}
		},
	}
	j, err := Open(dir, options, func(Location, []byte) error { return nil })
	require.NoError(t, err)
	full.Store(true)
	var want []string
	for i := range 20 {
		record := fmt.Sprintf("record %d", i)
		want = append(want, record)
		at, _ := j.Append([]byte(record))
		payload, err := j.Read(at)
		require.NoError(t, err)
		require.Equal(t, record, string(payload))
	}
	<-refused
	<-refused
	require.Empty(t, synced, "nothing must be reported as synced")
	require.Len(t, reported, 1)
	full.Store(false)
	await(t, synced, j.Position())
	require.NoError(t, j.Close())
	reopened, found, _ := open(t, dir, 200)
	require.Equal(t, want, found)
	require.NoError(t, reopened.Close())
}

func TestCloseOnFullDisk(t *testing.T) {
	refused := make(chan struct{}, 100)
	options := Options{OnError: func(error) {}, write: func(*os.File, []byte, int64) error {
		refused <- struct{}{}
		return unix.ENOSPC
	}}
	j, err := Open(t.TempDir(), options, func(Location, []byte) error { return nil })
	require.NoError(t, err)
	j.Append([]byte("record"))
	<-refused
	require.ErrorIs(t, j.Close(), unix.ENOSPC)
}

func TestCloseTwice(t *testing.T) {
	j, _, _ := open(t, t.TempDir(), 200)
	j.Append([]byte("record"))
	require.NoError(t, j.Close())
	require.NoError(t, j.Close())
}
