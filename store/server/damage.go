package server

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"ravendale/store/journal"
)

const (
	fullRetryInterval = 200 * time.Millisecond // after how long a full disk is tried again
	damagedFolder     = "damaged"              // what is left of a damaged journal
	damagedShare      = 8                      // the quarantine has one in so many bytes of the disk at most
)

// OpenDisk opens the store of a disk, and returns the disk's identity. A damaged journal is quarantined, as far as there is space for it, and the
// disk taken for an empty one with a new identity, which the other replicas fill. A full disk is waited for until the context ends; other
// failures are returned.
func OpenDisk(ctx context.Context, config Config) (s *Store, disk string, err error) {
	for reported := false; ; reported = true {
		s, disk, err = openOrReplace(config)
		if !errors.Is(err, unix.ENOSPC) {
			return s, disk, err
		}
		if !reported {
			logger(&config).Warn("disk full: the store waits for space", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil, "", err
		case <-time.After(fullRetryInterval):
		}
	}
}

// openOrReplace opens the store, on an empty disk if its journal is damaged.
func openOrReplace(config Config) (s *Store, disk string, err error) {
	s, disk, err = openDisk(config)
	if !errors.Is(err, journal.ErrDamaged) {
		return s, disk, err
	}
	logger(&config).Error("journal damaged: the store starts with an empty disk and a new identity", "previous", disk, "error", err)
	if err := quarantine(config.Settings.DataDir, int64(config.Settings.DiskMb)<<20/damagedShare); err != nil {
		return nil, "", err
	}
	return openDisk(config)
}

func openDisk(config Config) (s *Store, disk string, err error) {
	disk, err = Identity(config.Settings.DataDir)
	if err != nil {
		return nil, "", err
	}
	config.Disk = disk
	s, err = Open(config)
	return s, disk, err
}

// quarantine moves a damaged journal out of the way, trimmed to its newest segments within a limit in bytes. The identity goes first: with it an
// empty journal would count as all that the disk ever had.
func quarantine(dir string, limit int64) error {
	from, to := filepath.Join(dir, journalFolder), filepath.Join(dir, damagedFolder)
	if err := os.Remove(filepath.Join(dir, identityFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("store: identity of a damaged disk: %w", err)
	}
	if err := journal.SyncFolder(dir); err != nil {
		return err
	}
	if err := os.RemoveAll(to); err != nil {
		return fmt.Errorf("store: quarantine of an earlier journal: %w", err)
	}
	if err := trimFolder(from, limit); err != nil {
		return err
	}
	if err := os.Rename(from, to); err != nil {
		return fmt.Errorf("store: damaged journal: %w", err)
	}
	return journal.SyncFolder(dir)
}

// trimFolder removes the files that come first by name, until the rest is within a limit in bytes. Zero: no limit.
func trimFolder(dir string, limit int64) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	left := limit
	for _, entry := range slices.Backward(entries) {
		info, err := entry.Info()
		if err != nil {
			return fmt.Errorf("store: %w", err)
		}
		if left -= info.Size(); left >= 0 || limit <= 0 {
			continue
		}
		left = 0
		if err := os.Remove(filepath.Join(dir, entry.Name())); err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	return journal.SyncFolder(dir)
}

// quarantinedBytes is the size of what was quarantined.
func quarantinedBytes(dir string) (size int64) {
	entries, err := os.ReadDir(filepath.Join(dir, damagedFolder))
	if err != nil {
		return 0
	}
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil {
			size += info.Size()
		}
	}
	return size
}
