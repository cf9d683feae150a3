package core

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ravendale/control/slots"
)

// diskQueue holds the writes that are to be executed, in order.
type diskQueue struct {
	mu     sync.Mutex
	writes []diskWrite
	wake   chan struct{}
}

func (q *diskQueue) add(writes []diskWrite) {
	if len(writes) == 0 {
		return
	}
	q.mu.Lock()
	q.writes = append(q.writes, writes...)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *diskQueue) take() []diskWrite {
	q.mu.Lock()
	defer q.mu.Unlock()
	writes := q.writes
	q.writes = nil
	return writes
}

// writeDisk executes the node's writes, all that are queued with one sync, and reports the result to the node.
func (c *Core) writeDisk(ctx context.Context) {
	if c.store == nil {
		return
	}
	defer func() { _ = c.store.Close() }()
	for {
		select {
		case <-c.disk.wake:
		case <-ctx.Done():
			return
		}
		writes := c.disk.take()
		if len(writes) == 0 {
			continue
		}
		if err := c.writeAll(writes); err != nil {
			if errors.Is(err, unix.ENOSPC) {
				_ = slots.RemoveDamaged(c.folder())
			}
			c.step(func(now time.Duration) {
				c.disk.take() // writes after a failed one are discarded
				c.node.DiskFailed(now, err.Error())
			})
			continue
		}
		last := writes[len(writes)-1].Batch
		c.step(func(now time.Duration) { c.node.OnDisk(now, last) })
	}
}

func (c *Core) writeAll(writes []diskWrite) error {
	var records [][]byte
	for i := range writes {
		if writes[i].Image == nil {
			records = append(records, writes[i].Records...)
			continue
		}
		records = nil // contained in the image
		if err := c.store.Snapshot(writes[i].Image); err != nil {
			return err
		}
	}
	if len(records) == 0 {
		return nil
	}
	return c.store.Append(records...)
}
