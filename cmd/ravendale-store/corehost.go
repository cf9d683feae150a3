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
	coreFolder     = "control"              // in the data folder
	coreRetry      = time.Second            // after the core failed, as by a full disk
	leftOutPoll    = 100 * time.Millisecond // until the others have let this one go
	coreFolderMode = 0o700
)

// coreHost runs a member of the control plane's core beside the store, where too few control processes have a disk: from when a control
// process asks for it, or from the start if it did so in an earlier life, and until the others have let it go.
type coreHost struct {
	settings *settings.Settings
	folder   string
	log      *slog.Logger

	mu      sync.Mutex
	ctx     context.Context // of the process, nil before run
	plane   *plane.Plane    // nil while none runs
	stop    context.CancelFunc
	leaving bool
	work    sync.WaitGroup
}

func newCoreHost(s *settings.Settings, log *slog.Logger) *coreHost {
	return &coreHost{settings: s, folder: filepath.Join(s.DataDir, coreFolder), log: log}
}

// run hosts the core from the start if this disk did so before. It returns at once.
func (h *coreHost) run(ctx context.Context) {
	h.mu.Lock()
	h.ctx = ctx
	h.mu.Unlock()
	if _, err := os.Stat(h.folder); !errors.Is(err, fs.ErrNotExist) {
		h.host()
	}
}

// order takes what a control process wants: that the core is hosted here, or not any more.
func (h *coreHost) order(host bool) {
	if host {
		h.host()
		return
	}
	h.leave()
}

func (h *coreHost) host() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx == nil || h.ctx.Err() != nil || h.stop != nil {
		return
	}
	ctx, stop := context.WithCancel(h.ctx)
	h.stop, h.leaving = stop, false
	h.work.Go(func() { h.serve(ctx) })
}

// serve runs the core until the context ends. A core that fails steps aside, and is opened anew a while later from what the disk has.
func (h *coreHost) serve(ctx context.Context) {
	for ctx.Err() == nil {
		err := h.once(ctx)
		if ctx.Err() != nil || err == nil {
			return
		}
		h.log.Error("the core does not run beside this store", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(coreRetry):
		}
	}
}

func (h *coreHost) once(ctx context.Context) error {
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
	h.log.Info("the core runs beside this store", "rpc", h.settings.ControlAddress(h.settings.IP))
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

// abdicate has another member lead, if this one does.
func (h *coreHost) abdicate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.plane != nil {
		h.plane.Core.Abdicate()
	}
}

// leave has the other members go on without this one, and ends the core here once they do.
func (h *coreHost) leave() {
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
	ctx, opened := h.ctx, h.plane
	h.work.Go(func() { h.awaitLeftOut(ctx, opened) })
}

func (h *coreHost) awaitLeftOut(ctx context.Context, opened *plane.Plane) {
	for !opened.Core.Removed() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(leftOutPoll):
		}
	}
	h.end(opened)
}

// end stops the core and gives up what it kept.
func (h *coreHost) end(opened *plane.Plane) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.plane != opened {
		h.leaving = false
		return
	}
	h.stop()
	h.work.Go(h.forget)
}

func (h *coreHost) forget() {
	for h.running() {
		time.Sleep(leftOutPoll)
	}
	err := errors.Join(os.RemoveAll(h.folder), journal.SyncFolder(h.settings.DataDir))
	if err != nil {
		h.log.Warn("what the core kept beside this store was not removed", "error", err)
	}
	h.log.Info("the core runs beside this store no more")
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
	h.mu.Lock()   // what has begun before the context ended is counted
	h.mu.Unlock() //nolint:staticcheck // SA2001: it is only waited for
	h.work.Wait()
}
