package frames

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// The files in testdata/compat were written by version a08c060: frames of one direction, and a key file.
func TestGoldenFramesReadAndWriteTheSame(t *testing.T) {
	read := func(name string) []byte {
		t.Helper()
		b, err := os.ReadFile(filepath.Join("testdata", "compat", name))
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	keys, err := ParseKeys("keys", read("keys.txt"))
	if err != nil {
		t.Fatal(err)
	}
	if len(keys) != 2 || keys[0].ID != 7 || keys[1].ID != 3 || !bytes.Equal(keys[0].Secret, []byte("0123456789abcdef")) ||
		!bytes.Equal(keys[1].Secret, []byte("fedcba98765432100")) {
		t.Fatalf("the keys read as %v", keys)
	}
	session := SessionOf("fleet", [16]byte{1, 2, 3}, [16]byte{4, 5, 6})
	golden := read("frames.bin")
	r, w := &Reader{Keys: keys, Session: session}, &Writer{Keys: keys, Session: session}
	r.Feed(golden)
	var written []byte
	for i, want := range []struct {
		kind    Kind
		content string
	}{{1, "first\x00\xff"}, {200, "second, longer"}, {2, ""}} {
		kind, content, err := r.Next()
		if err != nil || kind != want.kind || string(content) != want.content {
			t.Fatalf("frame %d is %d %q, %v", i, kind, content, err)
		}
		if written, err = w.Append(written, kind, content); err != nil {
			t.Fatal(err)
		}
	}
	if kind, _, err := r.Next(); kind != 0 || err != nil {
		t.Errorf("another frame follows: %d, %v", kind, err)
	}
	if !bytes.Equal(written, golden) {
		t.Errorf("the frames are written as\n%x\nnot as\n%x", written, golden)
	}
}
