package slots_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravendale/storage/slots"
	"ravendale/storage/slots/slotstest"
)

func TestAFreshFolderHasNothing(t *testing.T) {
	store, snapshot, records, err := slots.Open(filepath.Join(t.TempDir(), "new"))
	require.NoError(t, err)
	require.Nil(t, snapshot)
	require.Empty(t, records)
	require.Error(t, store.Append([]byte("x")), "records must follow a snapshot")
}

func TestRecordsFollowTheNewestSnapshotOnARealDisk(t *testing.T) {
	folder := t.TempDir()
	store, _, _, err := slots.Open(folder)
	require.NoError(t, err)
	require.NoError(t, store.Snapshot([]byte("one")))
	require.NoError(t, store.Append([]byte("a"), []byte("b")))
	require.NoError(t, store.Snapshot([]byte("two")))
	require.NoError(t, store.Append([]byte("c")))
	require.NoError(t, store.Append([]byte{}))
	require.Positive(t, store.Size())
	require.NoError(t, store.Close())
	for range 2 {
		store, snapshot, records, err := slots.Open(folder)
		require.NoError(t, err)
		require.Equal(t, "two", string(snapshot))
		require.Len(t, records, 2)
		require.Equal(t, "c", string(records[0]))
		require.NoError(t, store.Close())
	}
	require.NoError(t, slots.Erase(slots.OSFolder(folder)))
	left, err := os.ReadDir(folder)
	require.NoError(t, err)
	require.Empty(t, left)
}

func TestALogOfAnotherGenerationIsNotRead(t *testing.T) {
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

func TestALostSlotIsToldNotPapered(t *testing.T) {
	folder := slotstest.New()
	store, _, _, err := slots.OpenFolder(folder)
	require.NoError(t, err)
	require.NoError(t, store.Snapshot([]byte("one")))
	require.NoError(t, store.Snapshot([]byte("two")))
	folder.Corrupt("slot-0", func(data []byte) []byte { data[len(data)-1] ^= 1; return data })
	_, _, _, err = slots.OpenFolder(folder)
	require.ErrorIs(t, err, slots.ErrDamaged)
}

func TestAFailedWriteFailsTheStoreForGood(t *testing.T) {
	folder := slotstest.New()
	store, _, _, err := slots.OpenFolder(folder)
	require.NoError(t, err)
	require.NoError(t, store.Snapshot([]byte("one")))
	folder.Break(1) // the write works, the sync does not
	require.ErrorIs(t, store.Append([]byte("a")), slots.ErrFailed)
	folder.Break(-1)
	require.ErrorIs(t, store.Append([]byte("b")), slots.ErrFailed)
	require.ErrorIs(t, store.Snapshot([]byte("c")), slots.ErrFailed)
}

// TestWhatWasAcknowledgedSurvives loses power at every step of random histories: what is read back is all that was acknowledged,
// and at most the one thing that was under way beyond it.
func TestWhatWasAcknowledgedSurvives(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 1))
		folder := slotstest.New()
		var acknowledged, attempted []string // snapshot, records
		for life := 0; life < 6; life++ {
			store, snapshot, records, err := slots.OpenFolder(folder)
			if err != nil {
				require.ErrorIs(t, err, slotstest.ErrBroken, "seed %d", seed)
				folder.PowerLoss(random)
				continue
			}
			found := state(snapshot, records)
			if !equal(found, acknowledged) {
				require.True(t, prefixBetween(found, acknowledged, attempted), "seed %d: %v of %v, %v", seed, found, acknowledged, attempted)
			}
			acknowledged, attempted = found, found
			folder.Break(random.IntN(25))
			for {
				text := fmt.Sprint(random.Uint32())
				if len(acknowledged) == 0 || random.IntN(4) == 0 {
					attempted = []string{text}
					if store.Snapshot([]byte(text)) != nil {
						break
					}
				} else {
					attempted = append(append([]string(nil), acknowledged...), text, text+"-")
					if store.Append([]byte(text), []byte(text+"-")) != nil {
						break
					}
				}
				acknowledged = attempted
			}
			if random.IntN(3) > 0 {
				folder.PowerLoss(random)
			} else {
				folder.Break(-1) // killed only
			}
		}
	}
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

func TestCorruptedFilesNeverInventRecords(t *testing.T) {
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
	whole, older := []string{"two", "a", "b", "c"}, []string{"one", "1", "2"}
	ok := len(found) == 0 || len(found) <= len(whole) && equal(found, whole[:len(found)]) || equal(found, older)
	require.True(t, ok, "%v", found)
}
