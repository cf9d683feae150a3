package slots_test

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/control/slots"
)

// compatFolder writes a folder with every kind of file that a store leaves: two generations with their logs, of which
// the newer has records.
func compatFolder(t *testing.T, folder slots.Folder) {
	t.Helper()
	store, snapshot, records, err := slots.OpenFolder(folder)
	require.NoError(t, err)
	require.Nil(t, snapshot)
	require.Empty(t, records)
	require.NoError(t, store.Snapshot([]byte("first state")))
	require.NoError(t, store.Append([]byte("replaced")))
	require.NoError(t, store.Snapshot([]byte("second state")))
	require.NoError(t, store.Append([]byte("one")))
	require.NoError(t, store.Append([]byte("two"), nil, []byte{0, 0xff}))
	require.NoError(t, store.Close())
}

var compatFiles = []string{"slot-0", "slot-1", "log-0", "log-1"}

// compatCopy copies golden files to a folder that the test may change.
func compatCopy(t *testing.T, golden string) string {
	t.Helper()
	folder := t.TempDir()
	entries, err := os.ReadDir(filepath.Join("testdata", "compat", golden))
	require.NoError(t, err)
	for _, entry := range entries {
		data, err := os.ReadFile(filepath.Join("testdata", "compat", golden, entry.Name()))
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(folder, entry.Name()), data, 0o600))
	}
	return folder
}

func compatRequireSame(t *testing.T, golden, folder string, names ...string) {
	t.Helper()
	for _, name := range names {
		want, err := os.ReadFile(filepath.Join("testdata", "compat", golden, name))
		require.NoError(t, err)
		got, err := os.ReadFile(filepath.Join(folder, name))
		require.NoError(t, err)
		require.Equal(t, want, got, name)
	}
}

// TestFolderOfEarlierVersionIsReadAndWrittenIdentically reads what version a08c060 wrote, and writes it again.
func TestFolderOfEarlierVersionIsReadAndWrittenIdentically(t *testing.T) {
	folder := compatCopy(t, "folder")
	store, snapshot, records, err := slots.Open(folder)
	require.NoError(t, err)
	require.NoError(t, store.Err())
	require.Equal(t, "second state", string(snapshot))
	require.Equal(t, [][]byte{[]byte("one"), []byte("two"), {}, {0, 0xff}}, records)
	require.NoError(t, store.Close())
	compatRequireSame(t, "folder", folder, compatFiles...)

	rewritten := t.TempDir()
	compatFolder(t, slots.OSFolder(rewritten))
	compatRequireSame(t, "folder", rewritten, compatFiles...)
}

// TestRecordHeaderFormat decodes a golden slot without the package: length, generation and checksum, little-endian,
// then the content.
func TestRecordHeaderFormat(t *testing.T) {
	for generation, name := range map[uint64]string{1: "slot-1", 2: "slot-0"} {
		data, err := os.ReadFile(filepath.Join("testdata", "compat", "folder", name))
		require.NoError(t, err)
		content := map[uint64]string{1: "first state", 2: "second state"}[generation]
		require.Len(t, data, 4+8+8+len(content))
		require.EqualValues(t, len(content), binary.LittleEndian.Uint32(data))
		require.Equal(t, generation, binary.LittleEndian.Uint64(data[4:]))
		require.Equal(t, content, string(data[20:]))
	}
}

// TestTornLogOfEarlierVersionIsReadUpToTornRecord reads the folder of a version a08c060 that lost power while it
// wrote a record.
func TestTornLogOfEarlierVersionIsReadUpToTornRecord(t *testing.T) {
	folder := compatCopy(t, "torn")
	store, snapshot, records, err := slots.Open(folder)
	require.NoError(t, err)
	require.Equal(t, "second state", string(snapshot))
	require.Equal(t, [][]byte{[]byte("one"), []byte("two"), {}}, records)
	require.NoError(t, store.Append([]byte{0, 0xff}))
	require.NoError(t, store.Close())
	compatRequireSame(t, "folder", folder, compatFiles...)
}

// TestDamagedFolderOfEarlierVersionIsDetected reads a folder whose newest slot is corrupted, and sets it aside under
// the same names.
func TestDamagedFolderOfEarlierVersionIsDetected(t *testing.T) {
	folder := compatCopy(t, "rotten")
	_, _, _, err := slots.Open(folder)
	require.ErrorIs(t, err, slots.ErrDamaged)
	require.NoError(t, slots.SetAside(slots.OSFolder(folder)))
	for _, name := range compatFiles {
		want, err := os.ReadFile(filepath.Join("testdata", "compat", "rotten", name))
		require.NoError(t, err)
		got, err := os.ReadFile(filepath.Join(folder, "damaged-"+name))
		require.NoError(t, err)
		require.Equal(t, want, got)
		_, err = os.Stat(filepath.Join(folder, name))
		require.True(t, errors.Is(err, os.ErrNotExist))
	}
}
