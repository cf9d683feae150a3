package snapshot

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ravendale/balancer/knowledge"
	"ravendale/balancer/knowledge/codec"
)

const compatAt = 1_764_000_000*time.Second + 123456789

var compatKnown = []knowledge.Item{
	{Subject: knowledge.Subject{Kind: knowledge.Run, Name: "view"}, Value: 0.0125, Count: 30, Age: 1500 * time.Millisecond},
	{Subject: knowledge.Subject{Kind: knowledge.Spread, Name: "view"}, Value: 0.003, Count: 29.5, Age: time.Second},
	{Subject: knowledge.Subject{Kind: knowledge.StartLatency, Name: "zona-4"}, Value: 0.006, Count: 9, Age: time.Second},
	{Subject: knowledge.Subject{Kind: knowledge.Busy, Name: "zona-4"}, Value: 0.25, Count: 8, Age: 2},
	{Subject: knowledge.Subject{Kind: knowledge.Queue, Name: "zona-4"}, Value: 1.75, Count: 7, Age: 3},
	{Subject: knowledge.Subject{Kind: knowledge.Faults, Name: "worker-1", Born: 77 * time.Second}, Value: 0.125, Count: 6, Age: 4},
	{Subject: knowledge.Subject{Kind: knowledge.Unhealthy, Name: "worker-1", Born: -1}, Value: 1, Count: 1, Age: 0},
}

// The file was written by version a08c060: a process reads the file of its predecessor, which may run another version.
func TestGoldenSnapshotReadsAndWritesTheSame(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "compat", "snapshot.bin"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := Parse(golden, compatAt)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(compatKnown, got); diff != "" {
		t.Errorf("the file reads as another value (-want +got):\n%s", diff)
	}
	if b := Append(nil, compatAt, got); !bytes.Equal(b, golden) {
		t.Errorf("it is written as\n%x\nnot as\n%x", b, golden)
	}
	content := golden[headSize : len(golden)-32]
	if all, err := codec.Read(content); err != nil || !bytes.Equal(codec.Append(nil, all), content) {
		t.Errorf("the content of a frame is not written as it was read: %v", err)
	}
}
