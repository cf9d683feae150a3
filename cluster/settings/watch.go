package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// WatchInterval is the interval between checks of the file for changes that come without a signal. A check costs one
// stat system call.
const WatchInterval = 2 * time.Second

// Watch calls changed with the new settings each time the file's content changes to valid settings. It reads the file
// on each signal on trigger (such as SIGHUP), and checks it every WatchInterval. A file that can't be read or is
// invalid is reported to failed, once for each content, and changes nothing. Watch returns when the context ends.
func Watch(ctx context.Context, path string, trigger <-chan os.Signal, changed func(*Settings), failed func(error)) {
	ticker := time.NewTicker(WatchInterval)
	defer ticker.Stop()
	w := watcher{path: path, changed: changed, failed: failed}
	w.content, _ = os.ReadFile(path)
	w.lastInfo, _ = os.Stat(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-trigger:
			w.reload()
		case <-ticker.C:
			w.checkFile()
		}
	}
}

type watcher struct {
	path     string
	lastInfo os.FileInfo
	content  []byte
	changed  func(*Settings)
	failed   func(error)
}

// checkFile reloads the file only if its size or modification time has changed.
func (w *watcher) checkFile() {
	info, err := os.Stat(w.path)
	if err != nil {
		return // the file may be being replaced: the next check finds the new one
	}
	if w.lastInfo != nil && info.Size() == w.lastInfo.Size() && info.ModTime().Equal(w.lastInfo.ModTime()) {
		return
	}
	w.lastInfo = info
	w.reload()
}

func (w *watcher) reload() {
	content, err := os.ReadFile(w.path)
	if err != nil {
		w.failed(err)
		return
	}
	if bytes.Equal(content, w.content) {
		return
	}
	w.content = content
	s, err := Parse(content)
	if err != nil {
		w.failed(err)
		return
	}
	w.changed(s)
}
