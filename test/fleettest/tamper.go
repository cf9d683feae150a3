package fleettest

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
)

// Tamper modifies one member's record, as somebody with access to the disk could, and returns a description of the change. It
// deletes or alters a line in the middle, swaps it with the next one, or truncates the second half.
func Tamper(r *rand.Rand, dir, member string) (what string, err error) {
	files, err := filepath.Glob(filepath.Join(dir, member+".*.audit"))
	if err != nil || len(files) == 0 {
		return "", fmt.Errorf("%s: no record of member %s: %w", dir, member, err)
	}
	file := files[len(files)-1]
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	lines := bytes.SplitAfter(text, []byte("\n"))
	if len(lines) < 12 {
		return "", fmt.Errorf("%s: record has too few lines to tamper with", file)
	}
	at := len(lines)/3 + r.IntN(len(lines)/3)
	switch r.IntN(4) {
	case 0:
		what, lines = "line deleted", slices.Delete(lines, at, at+1)
	case 1:
		what = "two lines swapped"
		lines[at], lines[at+1] = lines[at+1], lines[at]
	case 2:
		what = "number altered"
		line := bytes.Clone(lines[at])
		i := bytes.Index(line, []byte(`"wall":`)) + len(`"wall":`)
		line[i] = '1' + (line[i]-'0')%9
		lines[at] = line
	case 3:
		what, lines = "second half truncated", lines[:len(lines)/2]
	}
	return what, os.WriteFile(file, bytes.Join(lines, nil), 0o600)
}
