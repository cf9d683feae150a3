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
	fullRetryInterval = 200 * time.Millisecond // a disk without room is tried again
	damagedFolder     = "damaged"              // what was set aside
	damagedShare      = 8                      // it may take one in so many bytes of the disk
)

// OpenDisk opens the store of a disk, and names the disk's identity. A disk whose journal is damaged is taken for an empty one with a
// new identity: the other replicas fill it. What was there is kept beside it, as far as there is room. A disk without room is waited for.
func OpenDisk(ctx context.Context, config Config) (s *Store, disk string, err error) {
	for reported := false; ; reported = true {
		s, disk, err = openOrReplace(config)
		if !errors.Is(err, unix.ENOSPC) {
			return s, disk, err
		}
		if !reported {
			logger(&config).Warn("the disk has no room: the store waits for it", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil, "", err
		case <-time.After(fullRetryInterval):
		}
	}
}

func openOrReplace(config Config) (s *Store, disk string, err error) {
	s, disk, err = openDisk(config)
	if !errors.Is(err, journal.ErrDamaged) {
		return s, disk, err
	}
	logger(&config).Error("the journal is damaged: the store begins anew with an empty disk", "lost", disk, "error", err)
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

// quarantine moves the journal out of the way, cut to its newest segments within a limit in bytes. The identity goes first: with it an
// empty journal would be taken for all that the disk ever had.
func quarantine(dir string, limit int64) error {
	from, to := filepath.Join(dir, journalFolder), filepath.Join(dir, damagedFolder)
	if err := os.Remove(filepath.Join(dir, identityFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("store: identity of a damaged disk: %w", err)
	}
	if err := journal.SyncFolder(dir); err != nil {
		return err
	}
	if err := os.RemoveAll(to); err != nil {
		return fmt.Errorf("store: what was set aside before: %w", err)
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

// quarantinedBytes is the size of what was set aside.
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
