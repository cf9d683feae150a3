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
	fullRetryInterval = 200 * time.Millisecond // interval at which opening is retried on a full disk
	damagedFolder     = "damaged"              // folder with the quarantined rest of a damaged journal
	damagedShare      = 8                      // the quarantine may use at most 1/damagedShare of the disk
)

// OpenDisk opens the store on a disk and returns the store and the disk's identity. If the journal is damaged, OpenDisk
// quarantines as much of it as there is space for, and starts with an empty journal and a new identity; the other
// replicas then fill the store. If the disk is full, it retries until the context is done. It returns all other errors.
func OpenDisk(ctx context.Context, config Config) (s *Store, disk string, err error) {
	for reported := false; ; reported = true {
		s, disk, err = openOrReplace(config)
		if !errors.Is(err, unix.ENOSPC) {
			return s, disk, err
		}
		if !reported {
			logger(&config).Warn("disk full; waiting for free space to open the store", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil, "", err
		case <-time.After(fullRetryInterval):
		}
	}
}

// openOrReplace opens the store. If the journal is damaged, it quarantines the journal and opens the store on an empty
// disk.
func openOrReplace(config Config) (s *Store, disk string, err error) {
	s, disk, err = openDisk(config)
	if !errors.Is(err, journal.ErrDamaged) {
		return s, disk, err
	}
	logger(&config).Error("journal damaged; starting with an empty journal and a new disk identity", "previous", disk, "error", err)
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

// quarantine moves a damaged journal to the folder damaged, and keeps only its newest segments within a limit in bytes.
// It removes the identity first: under the old identity an empty journal would be taken for the complete content of the
// disk.
func quarantine(dir string, limit int64) error {
	from, to := filepath.Join(dir, journalFolder), filepath.Join(dir, damagedFolder)
	if err := os.Remove(filepath.Join(dir, identityFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("store: removing the identity of the damaged disk: %w", err)
	}
	if err := journal.SyncFolder(dir); err != nil {
		return err
	}
	if err := os.RemoveAll(to); err != nil {
		return fmt.Errorf("store: removing the previously quarantined journal: %w", err)
	}
	if err := trimFolder(from, limit); err != nil {
		return err
	}
	if err := os.Rename(from, to); err != nil {
		return fmt.Errorf("store: moving the damaged journal to quarantine: %w", err)
	}
	return journal.SyncFolder(dir)
}

// trimFolder removes files, the first by name first, until the total size of the rest is within a limit in bytes (0: no
// limit).
func trimFolder(dir string, limit int64) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	remaining := limit
	for _, entry := range slices.Backward(entries) {
		info, err := entry.Info()
		if err != nil {
			return fmt.Errorf("store: %w", err)
		}
		if remaining -= info.Size(); remaining >= 0 || limit <= 0 {
			continue
		}
		remaining = 0
		if err := os.Remove(filepath.Join(dir, entry.Name())); err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	return journal.SyncFolder(dir)
}

// quarantinedBytes returns the total size of the quarantined files.
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
