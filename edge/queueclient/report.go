package queueclient

import (
	"slices"
	"sync"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/wire"
)

// reports are those that have not been acknowledged. Of one message they are sent one after the other.
type reports struct {
	client *Client

	mu      sync.Mutex
	waiting map[string]*reporting
	timer   host.Timer
	wakeAt  time.Duration // 0: the timer does not run
	stopped bool
}

// reporting is what is to be told of one message.
type reporting struct {
	queue  []wire.Report
	sent   uint64        // number of the newest sending; answers to older ones only count if they acknowledge
	due    time.Duration // when it is sent again
	number uint64        // of the report at the head

	releases int // sendings of a report that gives the message back without an answer
}

// over says whether nothing is to be told of the message any more, and nothing that was can still be taken.
func (w *reporting) over() bool { return len(w.queue) == 0 && w.releases == 0 }

func (r *reports) init(c *Client) {
	r.client = c
	r.waiting = make(map[string]*reporting)
}

// Report tells the primary of a message's partition what became of a delivery, again until it is acknowledged. Partition and
// Epoch are filled in.
func (c *Client) Report(report wire.Report) {
	partition, ok := wire.PartitionOf(report.ID)
	if !ok {
		return
	}
	report.Partition = partition
	r := &c.reports
	r.mu.Lock()
	w := r.waiting[report.ID]
	if w == nil {
		w = &reporting{}
		r.waiting[report.ID] = w
	}
	w.queue = append(w.queue, report)
	first := len(w.queue) == 1
	r.mu.Unlock()
	if first {
		r.send(report.ID)
	}
}

func (r *reports) pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, w := range r.waiting {
		if len(w.queue) > 0 {
			count++
		}
	}
	return count
}

// releasing says whether the message is being given back: a store that has taken that may be told so once more.
func (r *reports) releasing(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.waiting[id]
	return w != nil && (w.releases > 0 || slices.ContainsFunc(w.queue, isRelease))
}

func isRelease(report wire.Report) bool { return report.Kind == wire.ReportReleased }

// send sends the report at the head of a message's queue.
func (r *reports) send(id string) {
	r.mu.Lock()
	w := r.waiting[id]
	if w == nil || len(w.queue) == 0 || r.stopped {
		r.mu.Unlock()
		return
	}
	report := w.queue[0]
	w.sent++
	sent, number := w.sent, w.number
	w.due = r.client.now() + reportPatience
	r.wake(w.due)
	r.mu.Unlock()

	v := r.client.view.Load()
	if v == nil {
		return
	}
	primary := v.primary(report.Partition)
	if primary == nil {
		return
	}
	conn := primary.conn()
	if conn == nil {
		return // it is sent again once the connection is up, or another store is the primary
	}
	report.Epoch = v.Epoch
	r.count(w, &report, 1)
	conn.Start(wire.MethodReport, &report, func(payload []byte, err error) {
		reply := wire.ReportReply{Code: wire.PutUnknown}
		if err == nil {
			_, err = reply.UnmarshalMsg(payload)
		}
		r.count(w, &report, -1)
		r.answered(id, number, sent, err == nil && reply.Code == wire.PutKept)
	})
}

// count counts the sendings of a release that have no answer.
func (r *reports) count(w *reporting, report *wire.Report, change int) {
	if !isRelease(*report) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.releases += change
	if w.over() {
		delete(r.waiting, report.ID)
	}
}

func (r *reports) answered(id string, number, sent uint64, kept bool) {
	r.mu.Lock()
	w := r.waiting[id]
	if w == nil || w.number != number {
		r.mu.Unlock()
		return
	}
	if !kept {
		if w.sent == sent {
			w.due = r.client.now() + reportPause
			r.wake(w.due)
		}
		r.mu.Unlock()
		return
	}
	kind := w.queue[0].Kind
	w.queue = w.queue[1:]
	w.number++
	last := len(w.queue) == 0
	if w.over() {
		delete(r.waiting, id)
	}
	r.mu.Unlock()
	if kind != wire.ReportFailed {
		r.client.config.Acknowledged(id)
	}
	if !last {
		r.send(id)
	}
}

// ids lists the messages of which something has to be told.
func (r *reports) ids() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.waiting))
	for id, w := range r.waiting {
		if len(w.queue) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// resend sends all reports again, as to a new primary.
func (r *reports) resend() {
	for _, id := range r.ids() {
		r.send(id)
	}
}

func (r *reports) wake(at time.Duration) {
	if r.stopped || r.wakeAt != 0 && r.wakeAt <= at {
		return
	}
	r.wakeAt = at
	if wait := max(at-r.client.now(), 0); r.timer == nil {
		r.timer = r.client.host.AfterFunc(wait, r.sendDue)
	} else {
		r.timer.Reset(wait)
	}
}

func (r *reports) sendDue() {
	r.mu.Lock()
	r.wakeAt = 0
	now, next := r.client.now(), time.Duration(0)
	var due []string
	for id, w := range r.waiting {
		switch {
		case len(w.queue) == 0:
		case w.due <= now:
			due = append(due, id)
		case next == 0 || w.due < next:
			next = w.due
		}
	}
	if next > 0 {
		r.wake(next)
	}
	r.mu.Unlock()
	slices.Sort(due)
	for _, id := range due {
		r.send(id)
	}
}

func (r *reports) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	if r.timer != nil {
		r.timer.Stop()
	}
}
