package servertable

import (
	"bytes"
	"encoding/json"
	"flag"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// readPieces feeds the pieces to a stream, and returns its objects, each compacted, and the number of blank results.
func readPieces(pieces ...string) (objects []string, blanks int, err error) {
	s := &stream{}
	for _, piece := range pieces {
		s.feed([]byte(piece))
		for {
			object, blank, err := s.next()
			if err != nil {
				return objects, blanks, err
			}
			if blank {
				blanks++
			} else if object == nil {
				break
			} else {
				var flat bytes.Buffer
				if err := json.Compact(&flat, object); err != nil {
					return objects, blanks, err
				}
				objects = append(objects, flat.String())
			}
		}
	}
	return objects, blanks, nil
}

// The stream must return the same objects however they are formatted and wherever the network splits them.
func TestStreamReassemblesObjects(t *testing.T) {
	_, _ = flag.Set("rapid.seed", "20261202"), flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(rt *rapid.T) {
		var want []string
		var text bytes.Buffer
		for range rapid.IntRange(0, 5).Draw(rt, "objects") {
			flat, err := json.Marshal(map[string]any{"hosts": rapid.SliceOfN(rapid.StringOf(rapid.SampledFrom([]rune("{}[]\"\\\n é:,"))), 0, 4).Draw(rt, "hosts"),
				"seq": rapid.Int().Draw(rt, "seq"), "in": map[string]string{"}": "{"}})
			if err != nil {
				rt.Fatal(err)
			}
			want = append(want, string(flat))
			if rapid.Bool().Draw(rt, "indented") {
				_ = json.Indent(&text, flat, rapid.SampledFrom([]string{"", " ", "\t"}).Draw(rt, "prefix"), "  ")
			} else {
				text.Write(flat)
			}
			text.WriteString(rapid.SampledFrom([]string{"\n", "\r\n", "\n\n", "", " \n \n"}).Draw(rt, "between"))
		}
		var pieces []string
		for rest := text.String(); rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "piece")
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		got, blanks, err := readPieces(pieces...)
		if diff := cmp.Diff(want, got); diff != "" || err != nil {
			rt.Fatalf("%q: %v (-want +got):\n%s", pieces, err, diff)
		}
		if most := strings.Count(text.String(), "\n"); blanks > most {
			rt.Fatalf("%d blank results for %d line ends", blanks, most)
		}
	})
}

func TestStreamRejectsInvalidData(t *testing.T) {
	for text, want := range map[string]string{
		`{"a":1}x`: `unexpected 'x' where a JSON object should begin`, `[{}]`: `unexpected '[' where a JSON object should begin`, "}": `unexpected '}' where a JSON object should begin`,
		`{"a":"` + strings.Repeat("b", maxObject): errTooLong.Error(), `"a"`: `unexpected '"' where a JSON object should begin`} {
		if _, _, err := readPieces(text); err == nil || err.Error() != want {
			t.Errorf("%.20s: %v, want %s", text, err, want)
		}
	}
	if objects, blanks, err := readPieces("\n\n{", `"a":1`, "\n\n"); len(objects) != 0 || blanks != 2 || err != nil {
		t.Errorf("incomplete object: got objects %q, %d blank results, error %v", objects, blanks, err)
	}
}

// Any input, in one piece or two, must not cause a panic and must give the same result; every object begins and ends with a
// brace.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{"", "\n", `{"seq":1}`, "{\n\"a\": \"}\\\"\"\n}\n", `{{}}{`, "{}x"} {
		f.Add([]byte(seed), 1)
	}
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		take := func(pieces ...[]byte) (got []string, failed bool) {
			s := &stream{}
			for _, piece := range pieces {
				for s.feed(piece); ; {
					object, blank, err := s.next()
					if err != nil {
						return got, true
					}
					if object == nil && !blank {
						break
					}
					if object != nil && (object[0] != '{' || object[len(object)-1] != '}') {
						t.Fatalf("%q is not an object", object)
					}
					got = append(got, string(object))
				}
			}
			return got, false
		}
		cut = max(0, min(cut, len(text)))
		one, bad := take(text)
		two, bad2 := take(text[:cut], text[cut:])
		if diff := cmp.Diff(one, two); diff != "" || bad != bad2 {
			t.Fatalf("cut at %d (-whole +cut), %v %v:\n%s", cut, bad, bad2, diff)
		}
	})
}
