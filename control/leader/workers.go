package leader

import (
	"context"
	"time"

	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/control/discovery"
)

// workerList reads the platform's list of workers and publishes it as a topic.
type workerList struct {
	*leadership
	topics *publisher
	list   *wire.Workers // the newest list, as merged; nil: none yet
}

// readFunc reads the platform's list, and returns the number of its pages. Gap is the minimum time between the starts
// of two calls.
type readFunc func(ctx context.Context, gap time.Duration) (*wire.Workers, int, error)

// discover reads the platform's list repeatedly until the context ends. It runs in a goroutine of its own.
func (w *workerList) discover(ctx context.Context) {
	s := w.service.settings.Load()
	pace := discovery.NewPace(settings.Milliseconds(s.Bounds.DrainMs), s.ProviderRate)
	read, closeReader := w.service.listReader()
	defer func() { closeReader() }()
	failed := false
	for ctx.Err() == nil {
		if reloaded := w.service.settings.Load(); reloaded.ProviderAddress != s.ProviderAddress {
			closeReader()
			read, closeReader = w.service.listReader()
			s = reloaded
		}
		next, err := w.readOnce(ctx, read, pace)
		if err != nil && !failed && ctx.Err() == nil {
			w.service.log.Warn("failed to read the platform's list of workers", "error", err)
		}
		failed = err != nil
		if w.service.host.Sleep(ctx, max(next-w.now(), time.Millisecond)) != nil {
			return
		}
	}
}

// readOnce reads the list once, and returns when to read it again.
func (w *workerList) readOnce(ctx context.Context, read readFunc, pace *discovery.Pace) (time.Duration, error) {
	if !w.valid() {
		return w.now() + invalidPause, nil
	}
	started := w.now()
	workers, pages, err := read(ctx, pace.Gap())
	if err != nil {
		return pace.Failed(w.now()), err
	}
	w.box.Post(func() { w.merge(workers) })
	return pace.Done(started, workers, pages), nil
}

// merge publishes a list that was read if it differs from the previous one.
func (w *workerList) merge(workers *wire.Workers) {
	if !w.valid() {
		return
	}
	merged, changed := discovery.Merge(w.list, workers)
	w.list = merged
	// The first list of a term is always published: an earlier leader may have announced a version that no process has.
	if changed || !w.topics.publishedInTerm(wire.TopicWorkers) {
		w.topics.publishNext(wire.TopicWorkers, merged)
	}
}
