package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"ravendale/cluster/settings"
	"ravendale/control/plane"
	"ravendale/control/view"
	"ravendale/store/journal"
)

const (
	coreFolder          = "control"              // name within the data folder
	coreRetryInterval   = time.Second            // delay before a failed member is restarted, for example after the disk was full
	removalPollInterval = 100 * time.Millisecond // between checks of whether the other members have removed this one
	coreFolderMode      = 0o700
)

// coreHost runs a member of the control plane's core in the store process, for systems in which too few control processes have a disk.
// The member starts when a control process requests it, or with the process if the folder of a member exists, and runs until the other
// members have removed it. The goroutines run under the context passed to run, and wait returns once all have ended.
type coreHost struct {
	settings *settings.Settings
	folder   string
	log      *slog.Logger

	mu               sync.Mutex
	plane            *plane.Plane       // nil while no member runs
	cancelMember     context.CancelFunc // nil while no member is hosted
	removalRequested bool

	submitMu   sync.Mutex // held while applyRequestAsync starts a goroutine
	goroutines sync.WaitGroup
}

func newCoreHost(s *settings.Settings, log *slog.Logger) *coreHost {
	return &coreHost{settings: s, folder: filepath.Join(s.DataDir, coreFolder), log: log}
}

// run starts a member if the disk has the folder of an earlier one. It does not block.
func (h *coreHost) run(ctx context.Context) {
	if _, err := os.Stat(h.folder); !errors.Is(err, fs.ErrNotExist) {
		h.applyRequest(ctx, true)
	}
}

// applyRequestAsync calls applyRequest in a new goroutine and does not block.
func (h *coreHost) applyRequestAsync(ctx context.Context, host bool) {
	h.submitMu.Lock()
	defer h.submitMu.Unlock()
	if ctx.Err() == nil {
		h.goroutines.Go(func() { h.applyRequest(ctx, host) })
	}
}

// applyRequest applies a request of a control process to start (host is true) or to remove the local member. It starts no member after
// the context has ended.
func (h *coreHost) applyRequest(ctx context.Context, host bool) {
	if host {
		h.startMember(ctx)
		return
	}
	h.requestRemoval(ctx)
}

// startMember starts a member unless one is hosted already.
func (h *coreHost) startMember(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ctx.Err() != nil || h.cancelMember != nil {
		return
	}
	memberCtx, cancel := context.WithCancel(ctx)
	h.cancelMember, h.removalRequested = cancel, false
	h.goroutines.Go(func() { h.runMemberWithRetries(memberCtx) })
}

// runMemberWithRetries runs a member until the context ends. It reopens a failed member from the disk after coreRetryInterval.
func (h *coreHost) runMemberWithRetries(ctx context.Context) {
	for ctx.Err() == nil {
		err := h.runMember(ctx)
		if ctx.Err() != nil || err == nil {
			return
		}
		h.log.Error("core member hosted by this store failed", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(coreRetryInterval):
		}
	}
}

// runMember runs a member until the context ends or it fails.
func (h *coreHost) runMember(ctx context.Context) error {
	if err := h.makeFolder(); err != nil {
		return err
	}
	member, err := plane.Open(plane.Config{Settings: h.settings, DataDir: h.folder, Storage: true, Log: h.log})
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.plane = member
	h.mu.Unlock()
	h.log.Info("core member hosted by this store started", "rpc", h.settings.ControlAddress(h.settings.IP))
	err = member.Run(ctx)
	h.mu.Lock()
	h.plane = nil
	h.mu.Unlock()
	return err
}

func (h *coreHost) makeFolder() error {
	if err := os.MkdirAll(h.folder, coreFolderMode); err != nil {
		return fmt.Errorf("core: %w", err)
	}
	return journal.SyncFolder(h.settings.DataDir)
}

// transferLeadership transfers the leadership to another member if the local member leads.
func (h *coreHost) transferLeadership() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.plane != nil {
		h.plane.Core.Resign()
	}
}

// requestRemoval requests that the other members remove the local one, and stops it once they have.
func (h *coreHost) requestRemoval(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.plane == nil {
		return
	}
	h.plane.Core.Leave()
	if h.removalRequested {
		return
	}
	h.removalRequested = true
	member := h.plane
	h.goroutines.Go(func() { h.awaitRemoval(ctx, member) })
}

func (h *coreHost) awaitRemoval(ctx context.Context, member *plane.Plane) {
	for !member.Core.Removed() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(removalPollInterval):
		}
	}
	h.stopRemovedMember(member)
}

// stopRemovedMember stops a member and starts the removal of its folder.
func (h *coreHost) stopRemovedMember(member *plane.Plane) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.plane != member {
		h.removalRequested = false
		return
	}
	h.cancelMember()
	h.goroutines.Go(h.removeFolder)
}

// removeFolder waits until no member runs, and then removes the files of the core from the disk.
func (h *coreHost) removeFolder() {
	for h.memberRunning() {
		time.Sleep(removalPollInterval)
	}
	err := errors.Join(os.RemoveAll(h.folder), journal.SyncFolder(h.settings.DataDir))
	if err != nil {
		h.log.Warn("failed to remove the folder of the core member hosted by this store", "error", err)
	}
	h.log.Info("core member hosted by this store removed")
	h.mu.Lock()
	h.cancelMember, h.removalRequested = nil, false
	h.mu.Unlock()
}

func (h *coreHost) memberRunning() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.plane != nil
}

// voteStatus reports whether the local member is a voter of the core, and the number of voters.
func (h *coreHost) voteStatus() (hasVote bool, voters int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.plane == nil {
		return false, 0
	}
	status := h.plane.Core.Status()
	_, hasVote = (&view.View{Voters: status.Voters}).Voter(status.ID)
	return hasVote, len(status.Voters)
}

// setSettings passes reloaded settings to the member.
func (h *coreHost) setSettings(s *settings.Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.plane != nil {
		h.plane.SetSettings(s)
	}
}

// wait returns once all goroutines have ended. It must be called after the context passed to run has ended.
func (h *coreHost) wait() {
	h.submitMu.Lock()   // waits for a concurrent applyRequestAsync, so that goroutines counts what it starts
	h.submitMu.Unlock() //nolint:staticcheck // SA2001: acquired only to wait for the holder
	h.mu.Lock()
	h.mu.Unlock() //nolint:staticcheck // SA2001: acquired only to wait for the holder
	h.goroutines.Wait()
}
