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

// stateMagic begins a state file; its last figure is the version. Then come the digest of the rest, and the rest as JSON.
const stateMagic = "RVFS 1"

// maxState bounds a state file, in bytes.
const maxState = 4 << 20

// errState is a state file that is torn, was changed, or is of another version.
var errState = errors.New("no state of a fleet's member, or not whole")

// saveState puts a state in the place of the one before, whole or not at all, and has it on the disk when it returns.
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
	if closed := f.Close(); err == nil {
		err = closed
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
	return dir.Sync() // else the old name may come back after a crash
}

// loadState reads a state file; where there is none it is empty.
func loadState(path string) (s fleet.State, err error) {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return s, err
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, maxState+1))
	if err != nil {
		return s, err
	}
	return parseState(b)
}

func parseState(b []byte) (s fleet.State, err error) {
	head, text, found := bytes.Cut(b, []byte("\n"))
	sum := sha256.Sum256(text)
	if !found || len(b) > maxState || string(head) != stateMagic+" "+hex.EncodeToString(sum[:]) {
		return s, errState
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return fleet.State{}, fmt.Errorf("%w: %w", errState, err)
	}
	return s, nil
}
