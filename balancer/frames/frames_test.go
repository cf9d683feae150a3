package frames

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const first, otherKind Kind = 1, 2

var (
	oldKey  = Key{1, bytes.Repeat([]byte{1}, 16)}
	newKey  = Key{2, bytes.Repeat([]byte{2}, 32)}
	session = SessionOf("test", [16]byte{1}, [16]byte{2})
)

func frame(t *testing.T, w *Writer, kind Kind, content []byte) []byte {
	t.Helper()
	b, err := w.Append(nil, kind, content)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// next feeds b and returns the error of the next frame, or nil if it is accepted or incomplete.
func next(r *Reader, b []byte) error {
	r.Feed(b)
	_, _, err := r.Next()
	return err
}

func TestFramesRoundTrip(t *testing.T) {
	w, r := &Writer{Keys: Keys{oldKey}, Session: session}, &Reader{Keys: Keys{newKey, oldKey}, Session: session}
	stream := append(frame(t, w, first, []byte("content")), frame(t, w, otherKind, nil)...)
	var kinds []Kind
	var got []byte
	for _, b := range stream { // one byte at a time
		r.Feed([]byte{b})
		kind, content, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		if kind != 0 {
			kinds, got = append(kinds, kind), append(got, content...)
		}
	}
	if diff := cmp.Diff([]Kind{first, otherKind}, kinds) + cmp.Diff("content", string(got)); diff != "" {
		t.Error(diff)
	}
}

func TestInvalidFrames(t *testing.T) {
	w := &Writer{Keys: Keys{newKey, oldKey}, Session: session}
	whole, second := frame(t, w, first, []byte("content")), frame(t, w, otherKind, nil)
	reader := func() *Reader { return &Reader{Keys: Keys{newKey, oldKey}, Session: session} }
	with := func(i int, b byte) []byte {
		c := bytes.Clone(whole)
		c[i] = b
		return c
	}
	for name, tc := range map[string]struct {
		r    *Reader
		b    []byte
		want error
	}{
		"another protocol, by its first byte": {reader(), []byte("G"), ErrForeign},
		"an older version":                    {reader(), with(4, 0), ErrVersion},
		"a newer version":                     {reader(), with(4, 2), ErrVersion},
		"a length beyond the bound":           {reader(), with(34, 0xff)[:headSize], ErrTooLarge},
		"a kind that was changed":             {reader(), with(5, byte(otherKind)), ErrMAC},
		"a removed key":                       {&Reader{Keys: Keys{oldKey}, Session: session}, whole, ErrKey},
		"another secret under its number":     {&Reader{Keys: Keys{{2, oldKey.Secret}}, Session: session}, whole, ErrMAC},
		"of another connection":               {&Reader{Keys: Keys{newKey}, Session: SessionOf("test", [16]byte{3}, [16]byte{2})}, whole, ErrReplayed},
		"of the other direction":              {&Reader{Keys: Keys{newKey}, Session: SessionOf("test", [16]byte{2}, [16]byte{1})}, whole, ErrReplayed},
		"out of order":                        {reader(), second, ErrReplayed},
		"cut off":                             {reader(), whole[:len(whole)-1], nil},
	} {
		t.Run(name, func(t *testing.T) {
			if err := next(tc.r, tc.b); !errors.Is(err, tc.want) {
				t.Errorf("%v, not %v", err, tc.want)
			}
		})
	}
	r := reader()
	if err := next(r, whole); err != nil {
		t.Fatal(err)
	}
	if err := next(r, whole); !errors.Is(err, ErrReplayed) {
		t.Errorf("the same frame again: %v", err)
	}
	for bit := range 8 * len(whole) { // any flipped bit
		c := bytes.Clone(whole)
		c[bit/8] ^= 1 << (bit % 8)
		r := reader()
		r.Feed(c)
		if kind, _, err := r.Next(); kind != 0 {
			t.Fatalf("accepted with bit %d flipped: %v", bit, err)
		}
	}
	if _, err := w.Append(nil, first, make([]byte, MaxContent+1)); !errors.Is(err, ErrTooLarge) {
		t.Error(err)
	}
}

func TestKeyFiles(t *testing.T) {
	good := "# made on Tuesday\n 2 " + strings.Repeat("02", 32) + "\n\n1 " + strings.Repeat("01", 16) + "\n"
	keys, err := ParseKeys("k", []byte(good))
	if diff := cmp.Diff(Keys{newKey, oldKey}, keys); err != nil || diff != "" {
		t.Error(err, diff)
	}
	secret := strings.Repeat("ab", 16)
	for text, want := range map[string]string{
		"":                              "k: no key",
		"1":                             "k:1: a number and a secret in hex are wanted",
		"\nx " + secret:                 "k:2: the key's number is none",
		"-1 " + secret:                  "k:1: the key's number is none",
		"1 " + secret + "g":             "k:1: the secret is no hex",
		"1 abcd":                        "k:1: the secret has less than 16 bytes",
		"1 " + secret + "\n1 " + secret: "k:2: the number is there twice",
		"1 " + secret + "\n2 " + secret + "\n3 " + secret: "k:3: more than 2 keys",
	} {
		if _, err := ParseKeys("k", []byte(text)); err == nil || err.Error() != want || strings.Contains(err.Error(), secret) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
