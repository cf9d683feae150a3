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

// Identity returns the identity of the disk that contains a data folder. If there is no valid one yet, it creates a
// random one, which is durable when Identity returns. It fails if the disk does.
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

const identityLength = 26 // length of rand.Text

// validIdentity reports whether the content of the identity file is complete. It is not if the power failed during the
// first write.
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
		return "", fmt.Errorf("store: writing the identity of the disk: %w", err)
	}
	return id, nil
}
