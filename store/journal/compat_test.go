package journal

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// compatFolder is a journal with segments of compatSegmentBytes that was reopened twice and whose oldest segment was
// removed.
var compatFolder = filepath.Join("testdata", "compat", "journal")

const compatSegmentBytes = 100

type compatRecord struct {
	at      Location
	payload []byte
}

// compatRecords are the records of segments 2 to 4; segment 1 had one.
func compatRecords() []compatRecord {
	return []compatRecord{
		{Location{2, 12}, []byte("second")},
		{Location{2, 26}, bytes.Repeat([]byte{0, 1, 0xfe, 0xff}, 50)},
		{Location{3, 12}, []byte("fourth")},
		{Location{3, 26}, []byte{0}},
		{Location{3, 35}, bytes.Repeat([]byte("f"), 70)},
		{Location{4, 12}, []byte("last")},
	}
}

func copyFolder(t *testing.T, from string) string {
	t.Helper()
	to := t.TempDir()
	require.NoError(t, os.CopyFS(to, os.DirFS(from)))
	return to
}

func contentOf(t *testing.T, dir string) map[string][]byte {
	t.Helper()
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	content := make(map[string][]byte)
	for _, entry := range entries {
		content[entry.Name()], err = os.ReadFile(filepath.Join(dir, entry.Name()))
		require.NoError(t, err)
	}
	return content
}

// TestJournalFormat reads a journal of the first version, and verifies that writing the same records produces the same
// bytes.
func TestJournalFormat(t *testing.T) {
	dir := copyFolder(t, compatFolder)
	before := contentOf(t, dir)
	require.Len(t, before, 3)
	var records []compatRecord
	j, err := Open(dir, Options{SegmentBytes: compatSegmentBytes}, func(at Location, payload []byte) error {
		records = append(records, compatRecord{at, bytes.Clone(payload)})
		return nil
	})
	require.NoError(t, err)
	assert.Equal(t, compatRecords(), records)
	oldest, newest := j.Segments()
	assert.EqualValues(t, 2, oldest)
	assert.EqualValues(t, 4, newest)
	for _, want := range compatRecords() {
		payload, err := j.Read(want.at)
		require.NoError(t, err)
		assert.Equal(t, want.payload, payload)
	}
	require.NoError(t, j.Close())
	assert.Equal(t, before, contentOf(t, dir), "reading must not change the files")

	rewritten := t.TempDir()
	j, err = Open(rewritten, Options{SegmentBytes: compatSegmentBytes}, func(Location, []byte) error { return nil })
	require.NoError(t, err)
	j.Append(bytes.Repeat([]byte("first"), 20))
	for _, want := range compatRecords() {
		at, _ := j.Append(want.payload)
		assert.Equal(t, want.at, at)
	}
	j.Remove(1)
	require.NoError(t, j.Close())
	assert.Equal(t, before, contentOf(t, rewritten))
}
