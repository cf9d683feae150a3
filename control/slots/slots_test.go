package slots_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravendale/control/slots"
	"ravendale/control/slots/slotstest"
)

func TestNewFolderIsEmpty(t *testing.T) {
	store, snapshot, records, err := slots.Open(filepath.Join(t.TempDir(), "new"))
	require.NoError(t, err)
	require.Nil(t, snapshot)
	require.Empty(t, records)
	require.Error(t, store.Append([]byte("x")), "records must follow a snapshot")
}

func TestStoreInOSFolder(t *testing.T) {
	folder := t.TempDir()
	store, _, _, err := slots.Open(folder)
	require.NoError(t, err)
	require.NoError(t, store.Snapshot([]byte("one")))
	require.NoError(t, store.Append([]byte("a"), []byte("b")))
	require.NoError(t, store.Snapshot([]byte("two")))
	require.NoError(t, store.Append([]byte("c")))
	require.NoError(t, store.Append([]byte{}))
	require.Positive(t, store.LogSize())
	require.NoError(t, store.Close())
	for range 2 {
		store, snapshot, records, err := slots.Open(folder)
		require.NoError(t, err)
		require.Equal(t, "two", string(snapshot))
		require.Len(t, records, 2)
		require.Equal(t, "c", string(records[0]))
		require.NoError(t, store.Close())
	}
	before, err := os.ReadFile(filepath.Join(folder, "slot-0"))
	require.NoError(t, err)
	require.NoError(t, slots.SetAside(slots.OSFolder(folder)))
	_, snapshot, records, err := slots.Open(folder)
	require.NoError(t, err)
	require.Empty(t, state(snapshot, records))
	after, err := os.ReadFile(filepath.Join(folder, slots.DamagedName("slot-0")))
	require.NoError(t, err)
	require.Equal(t, before, after)
	require.NoError(t, slots.RemoveDamaged(slots.OSFolder(folder)))
	remaining, err := os.ReadDir(folder)
	require.NoError(t, err)
	require.Empty(t, remaining)
}

// TestInterruptedSetAsideLeavesFolderDamaged injects power losses and disk failures at random steps of SetAside: an
// older state must never be read as the newest.
func TestInterruptedSetAsideLeavesFolderDamaged(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 2))
		folder := slotstest.New()
		store, _, _, err := slots.OpenFolder(folder)
		require.NoError(t, err)
		for generation := range 2 + seed%2 {
			require.NoError(t, store.Snapshot(fmt.Append(nil, generation)))
			require.NoError(t, store.Append([]byte("a")))
		}
		newest, _ := slots.FileNames(int(seed % 2))
		folder.Corrupt(newest, func(data []byte) []byte { data[len(data)-1] ^= 1; return data })
		for {
			_, snapshot, _, err := slots.OpenFolder(folder)
			if err == nil {
				require.Nil(t, snapshot, "seed %d: an older state was read", seed)
				break
			}
			require.ErrorIs(t, err, slots.ErrDamaged)
			folder.FailAfter(random.IntN(12))
			_ = slots.SetAside(folder)
			folder.FailAfter(-1)
			if random.IntN(2) == 0 {
				folder.PowerLoss(random)
			}
		}
		damaged, err := folder.Read(slots.DamagedName(newest))
		require.NoError(t, err)
		require.NotEmpty(t, damaged)
	}
}

func TestLogOfOtherGenerationIsIgnored(t *testing.T) {
	folder := slotstest.New()
	store, _, _, err := slots.OpenFolder(folder)
	require.NoError(t, err)
	require.NoError(t, store.Snapshot([]byte("one")))
	require.NoError(t, store.Append([]byte("old")))
	old, err := folder.Read("log-1")
	require.NoError(t, err)
	require.NoError(t, store.Snapshot([]byte("two")))
	require.NoError(t, store.Snapshot([]byte("three")))
	folder.Corrupt("log-1", func([]byte) []byte { return old })
	_, snapshot, records, err := slots.OpenFolder(folder)
	require.NoError(t, err)
	require.Equal(t, "three", string(snapshot))
	require.Empty(t, records)
}

func TestUnreadableNewestSlotIsDamage(t *testing.T) {
	folder := slotstest.New()
	store, _, _, err := slots.OpenFolder(folder)
	require.NoError(t, err)
	require.NoError(t, store.Snapshot([]byte("one")))
	require.NoError(t, store.Snapshot([]byte("two")))
	folder.Corrupt("slot-0", func(data []byte) []byte { data[len(data)-1] ^= 1; return data })
	_, _, _, err = slots.OpenFolder(folder)
	require.ErrorIs(t, err, slots.ErrDamaged)
}

func TestFailedStoreAcceptsOnlySnapshot(t *testing.T) {
	for operations := range 6 { // number of the snapshot's operations that succeed before those on its slot or its log fail
		folder := slotstest.New()
		store, _, _, err := slots.OpenFolder(folder)
		require.NoError(t, err)
		require.NoError(t, store.Snapshot([]byte("one")))
		require.NoError(t, store.Append([]byte("a")))
		folder.FailAfter(1) // the write succeeds, the sync fails
		require.ErrorIs(t, store.Append([]byte("b")), slots.ErrFailed)
		folder.FailAfter(operations)
		require.ErrorIs(t, store.Snapshot([]byte("two")), slots.ErrFailed)
		folder.FailAfter(-1)
		require.ErrorIs(t, store.Append([]byte("c")), slots.ErrFailed, "no record may follow one that may be torn")
		require.ErrorIs(t, store.Err(), slots.ErrFailed)
		_, snapshot, records, err := slots.OpenFolder(folder)
		require.NoError(t, err)
		require.Contains(t, []string{"[one a]", "[one a b]", "[two]"}, fmt.Sprint(state(snapshot, records)))

		require.NoError(t, store.Snapshot([]byte("three")))
		require.NoError(t, store.Err())
		require.NoError(t, store.Append([]byte("d")))
		require.NoError(t, store.Close())
		require.ErrorIs(t, store.Append([]byte("e")), slots.ErrFailed, "the store is closed")
		require.ErrorIs(t, store.Snapshot([]byte("e")), slots.ErrFailed, "the store is closed")
		_, snapshot, records, err = slots.OpenFolder(folder)
		require.NoError(t, err)
		require.Equal(t, []string{"three", "d"}, state(snapshot, records))
	}
}

// TestOpenOnFullDisk opens a store whose process was killed before its log began, or while it wrote a record, on a
// disk that takes no writes.
func TestOpenOnFullDisk(t *testing.T) {
	folder := slotstest.New()
	store, _, _, err := slots.OpenFolder(folder)
	require.NoError(t, err)
	require.NoError(t, store.Snapshot([]byte("one")))
	require.NoError(t, store.Append([]byte("a")))
	folder.FailAfter(0)
	require.Error(t, store.Append([]byte("torn")))
	store, snapshot, records, err := slots.OpenFolder(folder)
	require.NoError(t, err)
	require.Equal(t, []string{"one", "a"}, state(snapshot, records))
	require.ErrorIs(t, store.Err(), slots.ErrFailed, "the records that were read may not be durable")
	require.ErrorIs(t, store.Append([]byte("b")), slots.ErrFailed)
	require.ErrorIs(t, store.Snapshot([]byte("two")), slots.ErrFailed)
	folder.FailAfter(-1)
	require.NoError(t, store.Snapshot([]byte("two")))
	require.NoError(t, store.Append([]byte("b")))
	_, snapshot, records, err = slots.OpenFolder(folder)
	require.NoError(t, err)
	require.Equal(t, []string{"two", "b"}, state(snapshot, records))
}

// TestAcknowledgedWritesSurvivePowerLoss runs random histories with power losses, on disks that become full and have
// space again later. A store must read back everything that was acknowledged, and beyond that at most one of the writes
// that were in progress.
func TestAcknowledgedWritesSurvivePowerLoss(t *testing.T) {
	recovered := 0
	for seed := range *seeds {
		violation, recoveries := runHistory(seed)
		require.Empty(t, violation, "seed %d", seed)
		recovered += recoveries
	}
	require.Greater(t, recovered, 1000)
}

var seeds = flag.Uint64("seeds", 3000, "number of random histories")

func TestDetectsAcceptedTornSlot(t *testing.T) {
	requireDetected(t, &slots.Mutations.AcceptTornSlot, 0)
}

func TestDetectsUnsyncedSlotTreatedAsDurable(t *testing.T) {
	requireDetected(t, &slots.Mutations.AssumeNewestDurable, 0)
}

func TestDetectsUnreadableSlotNotTruncated(t *testing.T) {
	requireDetected(t, &slots.Mutations.KeepUnreadableSlot, 17000)
}

// requireDetected injects a fault into random histories, starting with the seed first, until one fails.
func requireDetected(t *testing.T, fault *bool, first uint64) {
	const maxHistories = 5000
	*fault = true
	defer func() { *fault = false }()
	for seed := first; seed < first+maxHistories; seed++ {
		if violation, _ := runHistory(seed); violation != "" {
			t.Logf("seed %d: %s", seed, violation)
			return
		}
	}
	require.Fail(t, "fault not detected", "in %d histories", maxHistories)
}

// runHistory runs one random history. It returns a description of the first wrong state that was read, empty if there
// was none, and how often a store accepted a write again after a failure.
func runHistory(seed uint64) (violation string, recovered int) {
	random := rand.New(rand.NewPCG(seed, 1))
	folder := slotstest.New()
	var acknowledged []string // the snapshot, then the records
	var attempts [][]string   // states of writes since then that failed or may have failed
	for range 6 {
		store, snapshot, records, err := slots.OpenFolder(folder)
		if err != nil {
			return err.Error(), recovered
		}
		found := state(snapshot, records)
		explained := slices.ContainsFunc(attempts, func(attempted []string) bool { return prefixBetween(found, acknowledged, attempted) })
		if !equal(found, acknowledged) && !explained {
			return fmt.Sprintf("%v of %v, %v", found, acknowledged, attempts), recovered
		}
		if store.Err() == nil {
			acknowledged, attempts = found, nil
		} else {
			attempts = append(attempts, found) // it may still be lost
		}
		if random.IntN(4) > 0 || store.Err() == nil {
			folder.FailAfter(random.IntN(25))
		}
		for {
			failed := store.Err() != nil
			attempted, err := attempt(random, store, acknowledged)
			if err == nil {
				if failed {
					recovered++
				}
				acknowledged, attempts = attempted, nil
				continue
			}
			attempts = append(attempts, attempted)
			if random.IntN(2) == 0 {
				break
			}
			folder.FailAfter(random.IntN(8)) // the disk has a little space
		}
		if random.IntN(3) > 0 {
			folder.PowerLoss(random)
		} else if random.IntN(2) == 0 {
			folder.FailAfter(-1) // the process was killed, and the disk works again
		} // otherwise the process was killed while the disk is full
	}
	return "", recovered
}

// attempt writes a snapshot or records, and returns the state that the store has if the write succeeds.
func attempt(random *rand.Rand, store *slots.Store, acknowledged []string) ([]string, error) {
	text := fmt.Sprint(random.Uint32())
	if len(acknowledged) == 0 || store.Err() != nil || random.IntN(4) == 0 {
		return []string{text}, store.Snapshot([]byte(text))
	}
	return append(append([]string(nil), acknowledged...), text, text+"-"), store.Append([]byte(text), []byte(text+"-"))
}

func state(snapshot []byte, records [][]byte) []string {
	if snapshot == nil {
		return nil
	}
	all := []string{string(snapshot)}
	for _, record := range records {
		all = append(all, string(record))
	}
	return all
}

func equal(a, b []string) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

func prefixBetween(found, acknowledged, attempted []string) bool {
	if len(found) > len(attempted) || !equal(found, attempted[:len(found)]) {
		return false
	}
	return len(found) >= len(acknowledged) || len(attempted) == 1 && len(found) == 1
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte("slot"), uint8(0), uint16(3))
	f.Add([]byte{}, uint8(1), uint16(30))
	f.Fuzz(func(t *testing.T, junk []byte, which uint8, at uint16) { corrupt(t, junk, int(which), int(at)) })
}

func TestCorruptedFilesYieldOnlyWrittenState(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		corrupt(r, rapid.SliceOf(rapid.Byte()).Draw(r, "junk"), rapid.IntRange(0, 3).Draw(r, "file"), rapid.IntRange(0, 200).Draw(r, "at"))
	})
}

func corrupt(t require.TestingT, junk []byte, which, at int) {
	folder := slotstest.New()
	store, _, _, err := slots.OpenFolder(folder)
	require.NoError(t, err)
	require.NoError(t, store.Snapshot([]byte("one")))
	require.NoError(t, store.Append([]byte("1"), []byte("2")))
	require.NoError(t, store.Snapshot([]byte("two")))
	require.NoError(t, store.Append([]byte("a"), []byte("b")))
	require.NoError(t, store.Append([]byte("c")))
	name := []string{"slot-0", "slot-1", "log-0", "log-1"}[which%4]
	folder.Corrupt(name, func(data []byte) []byte {
		at := at % (len(data) + 1)
		return append(data[:at:at], junk...)
	})
	_, snapshot, records, err := slots.OpenFolder(folder)
	if err != nil {
		require.ErrorIs(t, err, slots.ErrDamaged)
		return
	}
	found := state(snapshot, records)
	complete, older := []string{"two", "a", "b", "c"}, []string{"one", "1", "2"}
	ok := len(found) == 0 || len(found) <= len(complete) && equal(found, complete[:len(found)]) || equal(found, older)
	require.True(t, ok, "%v", found)
}
