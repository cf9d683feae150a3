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
	left, err := os.ReadDir(folder)
	require.NoError(t, err)
	require.Empty(t, left)
}

// TestADamagedFolderStaysDamagedUntilAllIsSetAside loses power, or has the disk fail, at every step of setting aside: an older state is never
// taken for the newest.
func TestADamagedFolderStaysDamagedUntilAllIsSetAside(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 2))
		folder := slotstest.New()
		store, _, _, err := slots.OpenFolder(folder)
		require.NoError(t, err)
		for generation := range 2 + seed%2 {
			require.NoError(t, store.Snapshot(fmt.Append(nil, generation)))
			require.NoError(t, store.Append([]byte("a")))
		}
		newest, _ := slots.Names(int(seed % 2))
		folder.Corrupt(newest, func(data []byte) []byte { data[len(data)-1] ^= 1; return data })
		for {
			_, snapshot, _, err := slots.OpenFolder(folder)
			if err == nil {
				require.Nil(t, snapshot, "seed %d: an older state counts", seed)
				break
			}
			require.ErrorIs(t, err, slots.ErrDamaged)
			folder.Break(random.IntN(12))
			_ = slots.SetAside(folder)
			folder.Break(-1)
			if random.IntN(2) == 0 {
				folder.PowerLoss(random)
			}
		}
		kept, err := folder.Read(slots.DamagedName(newest))
		require.NoError(t, err)
		require.NotEmpty(t, kept)
	}
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

func TestAnUnreadableSlotIsReported(t *testing.T) {
	folder := slotstest.New()
	store, _, _, err := slots.OpenFolder(folder)
	require.NoError(t, err)
	require.NoError(t, store.Snapshot([]byte("one")))
	require.NoError(t, store.Snapshot([]byte("two")))
	folder.Corrupt("slot-0", func(data []byte) []byte { data[len(data)-1] ^= 1; return data })
	_, _, _, err = slots.OpenFolder(folder)
	require.ErrorIs(t, err, slots.ErrDamaged)
}

func TestAfterAFailedWriteOnlyASnapshotIsAccepted(t *testing.T) {
	for operations := range 6 { // of the snapshot that fail too: none, its slot's, its log's
		folder := slotstest.New()
		store, _, _, err := slots.OpenFolder(folder)
		require.NoError(t, err)
		require.NoError(t, store.Snapshot([]byte("one")))
		require.NoError(t, store.Append([]byte("a")))
		folder.Break(1) // the write works, the sync does not
		require.ErrorIs(t, store.Append([]byte("b")), slots.ErrFailed)
		folder.Break(operations)
		require.ErrorIs(t, store.Snapshot([]byte("two")), slots.ErrFailed)
		folder.Break(-1)
		require.ErrorIs(t, store.Append([]byte("c")), slots.ErrFailed, "nothing follows what may be torn")
		require.ErrorIs(t, store.Err(), slots.ErrFailed)
		_, snapshot, records, err := slots.OpenFolder(folder)
		require.NoError(t, err)
		require.Contains(t, []string{"[one a]", "[one a b]", "[two]"}, fmt.Sprint(state(snapshot, records)))

		require.NoError(t, store.Snapshot([]byte("three")))
		require.NoError(t, store.Err())
		require.NoError(t, store.Append([]byte("d")))
		require.NoError(t, store.Close())
		require.ErrorIs(t, store.Append([]byte("e")), slots.ErrFailed, "it is closed")
		require.ErrorIs(t, store.Snapshot([]byte("e")), slots.ErrFailed, "it is closed")
		_, snapshot, records, err = slots.OpenFolder(folder)
		require.NoError(t, err)
		require.Equal(t, []string{"three", "d"}, state(snapshot, records))
	}
}

// TestAFullFolderIsStillRead opens a store that was killed before its log began, or in the middle of a record, while nothing can
// be written.
func TestAFullFolderIsStillRead(t *testing.T) {
	folder := slotstest.New()
	store, _, _, err := slots.OpenFolder(folder)
	require.NoError(t, err)
	require.NoError(t, store.Snapshot([]byte("one")))
	require.NoError(t, store.Append([]byte("a")))
	folder.Break(0)
	require.Error(t, store.Append([]byte("torn")))
	store, snapshot, records, err := slots.OpenFolder(folder)
	require.NoError(t, err)
	require.Equal(t, []string{"one", "a"}, state(snapshot, records))
	require.ErrorIs(t, store.Err(), slots.ErrFailed, "what was read may not be lasting")
	require.ErrorIs(t, store.Append([]byte("b")), slots.ErrFailed)
	require.ErrorIs(t, store.Snapshot([]byte("two")), slots.ErrFailed)
	folder.Break(-1)
	require.NoError(t, store.Snapshot([]byte("two")))
	require.NoError(t, store.Append([]byte("b")))
	_, snapshot, records, err = slots.OpenFolder(folder)
	require.NoError(t, err)
	require.Equal(t, []string{"two", "b"}, state(snapshot, records))
}

// TestWhatWasAcknowledgedSurvives loses power at every step of random histories, with disks that fill and get room again: what is read back is
// all that was acknowledged, and at most one of the things that were under way beyond it.
func TestWhatWasAcknowledgedSurvives(t *testing.T) {
	healed := 0
	for seed := range *seeds {
		broken, times := survive(seed)
		require.Empty(t, broken, "seed %d", seed)
		healed += times
	}
	require.Greater(t, healed, 1000)
}

var seeds = flag.Uint64("seeds", 3000, "random histories")

func TestATornSlotTakenAsCompleteIsCaught(t *testing.T) {
	requireCaught(t, &slots.Mutations.TrustTorn, 0)
}

func TestASlotInDoubtTakenAsLastingIsCaught(t *testing.T) {
	requireCaught(t, &slots.Mutations.ForgetDoubt, 0)
}

func TestASlotThatPowerBringsBackIsCaught(t *testing.T) {
	requireCaught(t, &slots.Mutations.KeepGhosts, 17000)
}

// requireCaught makes a mistake in histories from a seed on, until one breaks.
func requireCaught(t *testing.T, mistake *bool, first uint64) {
	const most = 5000
	*mistake = true
	defer func() { *mistake = false }()
	for seed := first; seed < first+most; seed++ {
		if broken, _ := survive(seed); broken != "" {
			t.Logf("seed %d: %s", seed, broken)
			return
		}
	}
	require.Fail(t, "not caught", "in %d histories", most)
}

// survive plays one history, and returns what was broken, and how often a store went on after a failure.
func survive(seed uint64) (broken string, healed int) {
	random := rand.New(rand.NewPCG(seed, 1))
	folder := slotstest.New()
	var acknowledged []string // snapshot, records
	var attempts [][]string   // that failed since, or may have
	for range 6 {
		store, snapshot, records, err := slots.OpenFolder(folder)
		if err != nil {
			return err.Error(), healed
		}
		found := state(snapshot, records)
		explained := slices.ContainsFunc(attempts, func(attempted []string) bool { return prefixBetween(found, acknowledged, attempted) })
		if !equal(found, acknowledged) && !explained {
			return fmt.Sprintf("%v of %v, %v", found, acknowledged, attempts), healed
		}
		if store.Err() == nil {
			acknowledged, attempts = found, nil
		} else {
			attempts = append(attempts, found) // it may yet be lost
		}
		if random.IntN(4) > 0 || store.Err() == nil {
			folder.Break(random.IntN(25))
		}
		for {
			failed := store.Err() != nil
			attempted, err := attempt(random, store, acknowledged)
			if err == nil {
				if failed {
					healed++
				}
				acknowledged, attempts = attempted, nil
				continue
			}
			attempts = append(attempts, attempted)
			if random.IntN(2) == 0 {
				break
			}
			folder.Break(random.IntN(8)) // there is a little room
		}
		if random.IntN(3) > 0 {
			folder.PowerLoss(random)
		} else if random.IntN(2) == 0 {
			folder.Break(-1) // killed only
		} // or killed while the disk is full
	}
	return "", healed
}

// attempt writes something, and returns what is kept if it works.
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
	complete, older := []string{"two", "a", "b", "c"}, []string{"one", "1", "2"}
	ok := len(found) == 0 || len(found) <= len(complete) && equal(found, complete[:len(found)]) || equal(found, older)
	require.True(t, ok, "%v", found)
}
