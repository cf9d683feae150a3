package disks

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReportsOfEarlierVersionUnchanged reads disks written by version a08c060: a core disk with two states, a record with each kind of
// command and a torn end; a core disk whose newest slot is corrupt, next to the files of a disk that was set aside; and a store disk with
// one truncated segment. The reports must be identical to those of that version.
func TestReportsOfEarlierVersionUnchanged(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "compat", "reports.json"))
	require.NoError(t, err)
	require.Equal(t, strings.Split(string(golden), "\n"), strings.Split(string(compatReports(t)), "\n"))

	documents, err := os.ReadFile(filepath.Join("testdata", "compat", "document.json"))
	require.NoError(t, err)
	reports, err := Inspect(filepath.Join("testdata", "compat", "core"))
	require.NoError(t, err)
	require.Equal(t, string(documents), string(reports[0].Core.Document))
}

// compatReports returns the reports of the golden disks, one per line.
func compatReports(t *testing.T) []byte {
	t.Helper()
	var text bytes.Buffer
	for _, name := range []string{"core", "rotten", "store"} {
		reports, err := Inspect(filepath.Join("testdata", "compat", name))
		require.NoError(t, err)
		for _, report := range reports {
			require.NoError(t, json.NewEncoder(&text).Encode(report))
		}
	}
	return text.Bytes()
}
