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

// TestDisksOfAnEarlierVersionAreReportedAlike reads disks that version a08c060 wrote: a core's with two states, a record with each kind of
// command and a torn end; one whose newest slot rotted, beside the files of one that was set aside; and a store's of which one segment is cut
// short. The reports are those of that version, letter for letter.
func TestDisksOfAnEarlierVersionAreReportedAlike(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "compat", "reports.json"))
	require.NoError(t, err)
	require.Equal(t, strings.Split(string(golden), "\n"), strings.Split(string(compatReports(t)), "\n"))

	documents, err := os.ReadFile(filepath.Join("testdata", "compat", "document.json"))
	require.NoError(t, err)
	reports, err := Inspect(filepath.Join("testdata", "compat", "core"))
	require.NoError(t, err)
	require.Equal(t, string(documents), string(reports[0].Core.Document))
}

// compatReports are the reports of the golden disks, a line each.
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
