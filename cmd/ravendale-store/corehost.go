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
	coreFolder          = "control"              // in the data folder
	coreRetryInterval   = time.Second            // after a member failed, as by a full disk
	removalPollInterval = 100 * time.Millisecond // how often it is looked whether the others have removed this one
	coreFolderMode      = 0o700
)

// coreHost runs a member of the control plane's core beside the store, where too few control processes have a disk: from when a control
// process requests it, or from the start if the folder of a member is there, and until the others have removed it. Its goroutines run under the
// context of run, and wait returns once all have ended.
type coreHost struct {
	settings *settings.Settings
	folder   string
	log      *slog.Logger

	mu      sync.Mutex
	plane   *plane.Plane       // nil while none runs
	stop    context.CancelFunc // nil while none is hosted
	leaving bool

	starting sync.Mutex // held while submit starts a goroutine
	work     sync.WaitGroup
}

func newCoreHost(s *settings.Settings, log *slog.Logger) *coreHost {
	return &coreHost{settings: s, folder: filepath.Join(s.DataDir, coreFolder), log: log}
}

// run hosts the core from the start if this disk did so before. It returns at once.
func (h *coreHost) run(ctx context.Context) {
	if _, err := os.Stat(h.folder); !errors.Is(err, fs.ErrNotExist) {
		h.order(ctx, true)
	}
}

// submit has order called by a goroutine of its own, and returns at once.
func (h *coreHost) submit(ctx context.Context, host bool) {
	h.starting.Lock()
	defer h.starting.Unlock()
	if ctx.Err() == nil {
		h.work.Go(func() { h.order(ctx, host) })
	}
}

// order does what a control process requests: that the core is hosted here, or not any more. Once the context has ended it hosts nothing.
func (h *coreHost) order(ctx context.Context, host bool) {
	if host {
		h.host(ctx)
		return
	}
	h.leave(ctx)
}

// host has a member run here, unless one does.
func (h *coreHost) host(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ctx.Err() != nil || h.stop != nil {
		return
	}
	member, stop := context.WithCancel(ctx)
	h.stop, h.leaving = stop, false
	h.work.Go(func() { h.serve(member) })
}

// serve runs the core until the context ends. A member that fails is opened anew a while later from what the disk has.
func (h *coreHost) serve(ctx context.Context) {
	for ctx.Err() == nil {
		err := h.runMember(ctx)
		if ctx.Err() != nil || err == nil {
			return
		}
		h.log.Error("core member failed beside this store", "error", err)
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
	opened, err := plane.Open(plane.Config{Settings: h.settings, DataDir: h.folder, Storage: true, Log: h.log})
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.plane = opened
	h.mu.Unlock()
	h.log.Info("core member started beside this store", "rpc", h.settings.ControlAddress(h.settings.IP))
	err = opened.Run(ctx)
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

// abdicate transfers the leadership to another member, if this one has it.
func (h *coreHost) abdicate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.plane != nil {
		h.plane.Core.Resign()
	}
}

// leave has the other members remove this one, and stops it once they have.
func (h *coreHost) leave(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.plane == nil {
		return
	}
	h.plane.Core.Leave()
	if h.leaving {
		return
	}
	h.leaving = true
	opened := h.plane
	h.work.Go(func() { h.awaitRemoval(ctx, opened) })
}

func (h *coreHost) awaitRemoval(ctx context.Context, opened *plane.Plane) {
	for !opened.Core.Removed() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(removalPollInterval):
		}
	}
	h.stopMember(opened)
}

// stopMember stops a member, and removes its folder.
func (h *coreHost) stopMember(opened *plane.Plane) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.plane != opened {
		h.leaving = false
		return
	}
	h.stop()
	h.work.Go(h.removeFolder)
}

// removeFolder removes what the core has on this disk, once no member runs any more.
func (h *coreHost) removeFolder() {
	for h.running() {
		time.Sleep(removalPollInterval)
	}
	err := errors.Join(os.RemoveAll(h.folder), journal.SyncFolder(h.settings.DataDir))
	if err != nil {
		h.log.Warn("core folder not removed from this store", "error", err)
	}
	h.log.Info("core member removed from this store")
	h.mu.Lock()
	h.stop, h.leaving = nil, false
	h.mu.Unlock()
}

func (h *coreHost) running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.plane != nil
}

// votes says whether this store has a vote in the core, and how many have.
func (h *coreHost) votes() (has bool, voters int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.plane == nil {
		return false, 0
	}
	status := h.plane.Core.Status()
	_, has = (&view.View{Voters: status.Voters}).Voter(status.ID)
	return has, len(status.Voters)
}

// setSettings gives the core settings that were read again.
func (h *coreHost) setSettings(s *settings.Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.plane != nil {
		h.plane.SetSettings(s)
	}
}

// wait returns once nothing of the core runs any more, after the context of run has ended.
func (h *coreHost) wait() {
	h.starting.Lock()   // what began before the context ended is counted
	h.starting.Unlock() //nolint:staticcheck // SA2001: it is only waited for
	h.mu.Lock()
	h.mu.Unlock() //nolint:staticcheck // SA2001: it is only waited for
	h.work.Wait()
}
