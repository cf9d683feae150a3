package agent

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"ravendale/balancer/fleet"
)

// stateMagic is the start of a state file; its last digit is the version. The SHA-256 of the state follows on the same
// line, and then the state as JSON.
const stateMagic = "RVFS 1"

// maxStateSize is the maximum size of a state file in bytes.
const maxStateSize = 4 << 20

// errInvalidState reports a state file that is incomplete, was altered, or has another version.
var errInvalidState = errors.New("not a state file of a fleet member, or damaged")

// saveState replaces the state file atomically. When it returns nil, the new state is on disk.
func saveState(path string, s *fleet.State) (err error) {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(text)
	b := append([]byte(stateMagic+" "+hex.EncodeToString(sum[:])+"\n"), text...)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	f, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync() // without it a crash may undo the rename
}

// loadState reads a state file; it returns the zero State if the file doesn't exist.
func loadState(path string) (s fleet.State, err error) {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return s, err
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, maxStateSize+1))
	if err != nil {
		return s, err
	}
	return parseState(b)
}

func parseState(b []byte) (s fleet.State, err error) {
	head, text, found := bytes.Cut(b, []byte("\n"))
	sum := sha256.Sum256(text)
	if !found || len(b) > maxStateSize || string(head) != stateMagic+" "+hex.EncodeToString(sum[:]) {
		return s, errInvalidState
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return fleet.State{}, fmt.Errorf("%w: %w", errInvalidState, err)
	}
	return s, nil
}
