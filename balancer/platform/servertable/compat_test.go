package servertable

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ravendale"
)

// The file was written by version a08c060. It holds the list that one process passes to the next in an upgrade.
func TestGoldenList(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "compat", "list.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden = bytes.TrimSuffix(golden, []byte("\n"))
	var entries []ravendale.Entry
	table := New(Options{Log: slog.New(slog.DiscardHandler), Zones: []string{"x", "y"}, Kinds: []string{"big", "small"},
		Listed: func(_ ravendale.ListKind, all []ravendale.Entry) { entries = all }})
	if err := table.Recall(golden); err != nil {
		t.Fatal(err)
	}
	want := []ravendale.Entry{
		{Worker: "a", Zone: 0, Kind: 1, Cell: 3, State: ravendale.Ready, Weight: 2.5, StartedAt: 7 * time.Millisecond},
		{Worker: "b", Zone: 1, Kind: -1, Cell: -1, State: ravendale.Draining, Weight: 1},
	}
	if diff := cmp.Diff(want, entries); diff != "" {
		t.Errorf("entries of the golden list differ (-want +got):\n%s", diff)
	}
	if a := table.Address("a"); a != "10.1.0.1:9000" {
		t.Errorf("address of a is %q", a)
	}
	if text, err := table.List(); err != nil || !bytes.Equal(text, golden) {
		t.Errorf("the list is written as\n%s\nwant\n%s (%v)", text, golden, err)
	}
}
