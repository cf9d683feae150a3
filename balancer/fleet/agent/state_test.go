package agent

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ravendale/balancer/fleet"
)

func TestDamagedStateIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.state")
	if s, err := loadState(path); err != nil || s.Incarnation != 0 {
		t.Errorf("no file: %+v, %v", s, err)
	}
	want := fleet.State{Incarnation: 7, Promised: 3, Peers: map[string]fleet.PeerMemory{"b": {Inc: 2, Vote: 1}}}
	for range 2 { // the second write replaces the file of the first
		if err := saveState(path, &want); err != nil {
			t.Fatal(err)
		}
	}
	got, err := loadState(path)
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range text {
		flipped := append([]byte(nil), text...)
		flipped[i] ^= 1
		if _, err := parseState(flipped); !errors.Is(err, errInvalidState) {
			t.Errorf("byte %d flipped: %v", i, err)
		}
		if _, err := parseState(text[:i]); !errors.Is(err, errInvalidState) {
			t.Errorf("cut at %d: %v", i, err)
		}
	}
	if err := saveState(filepath.Join(path, "below a file"), &want); err == nil {
		t.Error("written below a file")
	}
}

func FuzzState(f *testing.F) {
	f.Add([]byte(stateMagic + " \n{}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := parseState(b); err == nil && s.Incarnation != 0 {
			t.Logf("%+v", s)
		}
	})
}
