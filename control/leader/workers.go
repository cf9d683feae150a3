package leader

import (
	"context"
	"time"

	"ravendale/cluster/settings"
	"ravendale/cluster/wire"
	"ravendale/control/discovery"
)

// workerList reads the platform's list of workers and publishes it.
type workerList struct {
	*leadership
	topics *publisher
	list   *wire.Workers // as published last; nil: none yet
}

// listReader reads the platform's list, with a time between the starts of two calls, and says how many pages it had.
type listReader func(ctx context.Context, gap time.Duration) (*wire.Workers, int, error)

// discover reads the platform's list until the context ends. It has a goroutine of its own.
func (w *workerList) discover(ctx context.Context) {
	s := w.service.settings.Load()
	pace := discovery.NewPace(settings.Milliseconds(s.Bounds.DrainMs), s.ProviderRate)
	read, done := w.service.reader()
	defer func() { done() }()
	failed := false
	for ctx.Err() == nil {
		if now := w.service.settings.Load(); now.ProviderAddress != s.ProviderAddress {
			done()
			read, done = w.service.reader()
			s = now
		}
		next, err := w.read(ctx, read, pace)
		if err != nil && !failed && ctx.Err() == nil {
			w.service.log.Warn("the platform's list can't be read", "error", err)
		}
		failed = err != nil
		if w.service.host.Sleep(ctx, max(next-w.now(), time.Millisecond)) != nil {
			return
		}
	}
}

// read reads the list once, and says when to do so again.
func (w *workerList) read(ctx context.Context, read listReader, pace *discovery.Pace) (time.Duration, error) {
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

// merge publishes a list that was read, if it differs from the one before.
func (w *workerList) merge(workers *wire.Workers) {
	if !w.valid() {
		return
	}
	merged, changed := discovery.Merge(w.list, workers)
	w.list = merged
	// The first list of a term is published in any case: an earlier leader may have named a version that nobody has.
	if changed || !w.topics.announced(wire.TopicWorkers) {
		w.topics.announce(wire.TopicWorkers, merged)
	}
}
