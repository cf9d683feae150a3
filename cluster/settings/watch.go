package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// WatchEvery is how often a file is looked at that may change without a signal. A stat costs a system call only.
const WatchEvery = 2 * time.Second

// Watch calls changed with the settings each time that the file's content becomes other, valid settings: found out at a
// word on now (as a SIGHUP), and every WatchEvery. A file that can't be read or is not valid is reported to failed, once for
// each content, and changes nothing. It returns when the context ends.
func Watch(ctx context.Context, path string, now <-chan os.Signal, changed func(*Settings), failed func(error)) {
	ticker := time.NewTicker(WatchEvery)
	defer ticker.Stop()
	w := watcher{path: path, changed: changed, failed: failed}
	w.content, _ = os.ReadFile(path)
	w.seen, _ = os.Stat(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-now:
			w.read()
		case <-ticker.C:
			w.look()
		}
	}
}

type watcher struct {
	path    string
	seen    os.FileInfo
	content []byte
	changed func(*Settings)
	failed  func(error)
}

// look reads the file only if its size or time of change is another.
func (w *watcher) look() {
	info, err := os.Stat(w.path)
	if err != nil {
		return // it may be in the middle of a replacement: the next look tells
	}
	if w.seen != nil && info.Size() == w.seen.Size() && info.ModTime().Equal(w.seen.ModTime()) {
		return
	}
	w.seen = info
	w.read()
}

func (w *watcher) read() {
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
