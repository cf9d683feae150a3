package snapshot

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ravendale/balancer/knowledge"
)

const at = 1_700_000_000 * time.Second

var known = []knowledge.Item{{Subject: knowledge.Subject{Kind: knowledge.StartLatency, Name: "zona-4"}, Value: 0.006, Count: 9, Age: time.Second}}

func TestLoadAddsFileAge(t *testing.T) {
	path := filepath.Join(t.TempDir(), "known")
	if _, err := Load(path, at); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	if err := Save(path, at-time.Minute, nil); err != nil {
		t.Fatal(err)
	}
	if err := Save(path, at, known); err != nil {
		t.Fatal(err)
	}
	want := known[0]
	want.Age = 11 * time.Second
	got, err := Load(path, at+10*time.Second)
	if diff := cmp.Diff([]knowledge.Item{want}, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if left, err := os.ReadDir(filepath.Dir(path)); err != nil || len(left) != 1 {
		t.Errorf("%d files in the directory, %v", len(left), err)
	}
	if err := Save(filepath.Join(path, "none"), at, known); err == nil {
		t.Error("saved below a file")
	}
}

func TestInvalidSnapshots(t *testing.T) {
	good := Append(nil, at, known)
	for name, tc := range map[string]struct {
		b    []byte
		now  time.Duration
		want error
	}{
		"valid":            {good, at, nil},
		"a clock set back": {good, at - Ahead, nil},
		"foreign":          {[]byte("PK\x03\x04 something else of some length that is no snapshot at all"), at, ErrForeign},
		"empty":            {nil, at, ErrForeign},
		"cut off":          {good[:len(good)-1], at, ErrTorn},
		"only its head":    {good[:headSize], at, ErrTorn},
		"trailing byte":    {append(bytes.Clone(good), 0), at, ErrTorn},
		"a newer version":  {append([]byte(magic+"\x02"), good[len(magic)+1:]...), at, ErrVersion},
		"too old":          {good, at + Oldest + 1, ErrTime},
		"in the future":    {good, at - Ahead - 1, ErrTime},
		"too large":        {make([]byte, MaxSize+1), at, ErrSize},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Parse(tc.b, tc.now)
			if !errors.Is(err, tc.want) || tc.want != nil && got != nil {
				t.Errorf("%v, %v", got, err)
			}
		})
	}
	for bit := range 8 * len(good) {
		b := bytes.Clone(good)
		b[bit/8] ^= 1 << (bit % 8)
		if got, err := Parse(b, at); err == nil || got != nil {
			t.Fatalf("accepted with bit %d flipped", bit)
		}
	}
}
