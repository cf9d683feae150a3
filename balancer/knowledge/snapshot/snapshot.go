package snapshot

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"ravendale/balancer/knowledge"
	"ravendale/balancer/knowledge/codec"
)

const (
	magic    = "RVKS"
	version  = 1
	headSize = len(magic) + 1 + 8
	// MaxSize is the maximum size of a file in bytes.
	MaxSize = 4 << 20
	// Oldest is the maximum age of a file: the items of an older one would have no weight left.
	Oldest = time.Hour
	// Ahead is how far a file's time may be in the future: the system's clock may have been set back a little since.
	Ahead = 2 * time.Second
)

// Reasons to reject a file.
var (
	ErrForeign = errors.New("not a knowledge snapshot")
	ErrVersion = errors.New("snapshot has another version")
	ErrTorn    = errors.New("snapshot is truncated or altered")
	ErrTime    = errors.New("snapshot is too old, or from the future")
	ErrSize    = errors.New("snapshot is too large")
)

// Append appends a snapshot: magic, version, the time at in Unix nanoseconds (big-endian), the items, and the SHA-256
// of all that.
func Append(b []byte, at time.Duration, known []knowledge.Item) []byte {
	from := len(b)
	b = append(append(b, magic...), version)
	b = binary.BigEndian.AppendUint64(b, uint64(at))
	b = codec.Append(b, known)
	sum := sha256.Sum256(b[from:])
	return append(b, sum[:]...)
}

// Parse decodes what Append wrote, and adds the snapshot's age at the time now to the age of every item.
func Parse(b []byte, now time.Duration) ([]knowledge.Item, error) {
	switch {
	case len(b) > MaxSize:
		return nil, ErrSize
	case !bytes.HasPrefix(b, []byte(magic)):
		return nil, ErrForeign
	case len(b) < headSize+sha256.Size:
		return nil, ErrTorn
	case b[len(magic)] != version:
		return nil, fmt.Errorf("%w: %d", ErrVersion, b[len(magic)])
	}
	text, sum := b[:len(b)-sha256.Size], b[len(b)-sha256.Size:]
	if got := sha256.Sum256(text); !bytes.Equal(got[:], sum) {
		return nil, ErrTorn
	}
	age := now - time.Duration(binary.BigEndian.Uint64(text[len(magic)+1:]))
	if age > Oldest || age < -Ahead {
		return nil, fmt.Errorf("%w: taken %v ago", ErrTime, age.Round(time.Second))
	}
	known, err := codec.Read(text[headSize:])
	if err != nil {
		return nil, err
	}
	for i := range known {
		known[i].Age = max(known[i].Age, 0) + max(age, 0)
	}
	return known, nil
}

// Save atomically replaces the snapshot file: a reader finds the old or the new file, also after a crash.
func Save(path string, at time.Duration, known []knowledge.Item) (err error) {
	b := Append(nil, at, known)
	if len(b) > MaxSize {
		return fmt.Errorf("%s: %w", path, ErrSize)
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*.new")
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	defer func() {
		if err != nil {
			_ = f.Close()
			_ = os.Remove(f.Name())
			err = fmt.Errorf("snapshot: %w", err)
		}
	}()
	if _, err = f.Write(b); err != nil {
		return err
	}
	if err = f.Sync(); err != nil {
		return err
	}
	if err = f.Close(); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// Load reads a snapshot file, but never more than MaxSize bytes plus one. Errors name the file; the error is
// os.ErrNotExist if there is no file.
func Load(path string, now time.Duration) ([]knowledge.Item, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, MaxSize+1))
	if err != nil {
		return nil, err
	}
	known, err := Parse(b, now)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return known, nil
}
