package server

import (
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"ravendale/store/journal"
)

const identityFile = "identity"

// Identity reads the identity of the disk on which a data folder is. At first use one is drawn at random, and is durable before it is returned. It
// fails if the disk does.
func Identity(dir string) (string, error) {
	path := filepath.Join(dir, identityFile)
	content, err := os.ReadFile(path)
	if err == nil {
		if id := strings.TrimSpace(string(content)); validIdentity(id) {
			return id, nil
		}
	} else if !errors.Is(err, os.ErrNotExist) {
		return "", fmt.Errorf("store: %w", err)
	}
	return newIdentity(dir, path)
}

const identityLength = 26 // of rand.Text

// validIdentity says whether a file's content is complete: it is not, if the power failed when it was written first.
func validIdentity(id string) bool { return len(id) == identityLength }

func newIdentity(dir, path string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("store: %w", err)
	}
	id := rand.Text()
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return "", fmt.Errorf("store: %w", err)
	}
	_, err = file.WriteString(id + "\n")
	err = errors.Join(err, file.Sync(), file.Close(), journal.SyncFolder(dir))
	if err != nil {
		return "", fmt.Errorf("store: identity of the disk: %w", err)
	}
	return id, nil
}
