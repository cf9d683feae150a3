package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestUnpackNamesInvalidField(t *testing.T) {
	good := `{"number":3,"floor":2,"within_ms":100}`
	e, err := Unpack([]byte(good))
	if err != nil || e.Number != 3 || e.Within != 100*time.Millisecond || len(e.ID.Digest) != 64 {
		t.Fatalf("%+v, %v", e, err)
	}
	for text, want := range map[string]string{
		`{"number":0,"floor":0,"within_ms":0}`:               "number: 0 is none",
		`{"number":1,"floor":2,"within_ms":0}`:               "floor: 2 is above number 1",
		`{"number":1,"floor":1,"within_ms":-1}`:              "within: not between 0 and 24 hours",
		`{"number":1,"floor":1,"within_ms":1,"build":-1}`:    "build: -1 is below 0",
		`{"number":1,"floor":1,"within_ms":1,"settings":[]}`: "settings: no object",
		`{"number":1,"floor":1,"within_ms":1,"next":1}`:      `unknown field "next"`, // written by a newer program: this one can't run under it
		good + "x": "something follows the value",
		`{"number":` + strings.Repeat("1", MaxContent) + `}`: "more than 262144 bytes",
	} {
		if _, err := Unpack([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60s: %v, want %s", text, err, want)
		}
	}
}

func TestMergePatches(t *testing.T) {
	got, err := Merge([]byte(`{"a":{"b":1,"c":9007199254740993},"d":[1],"e":1}`), []byte(`{"a":{"b":2},"d":[2,3],"e":null,"f":{"g":1}}`))
	if diff := cmp.Diff(`{"a":{"b":2,"c":9007199254740993},"d":[2,3],"f":{"g":1}}`, string(got)); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

func FuzzEpoch(f *testing.F) {
	f.Add([]byte(`{"number":3,"floor":2,"within_ms":100,"settings":{"a":null}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if e, err := Unpack(text); err == nil && (e.Number == 0 || e.Floor > e.Number) {
			t.Errorf("%+v", e)
		}
	})
}
