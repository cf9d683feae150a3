package queueclient

import (
	"slices"
	"sync"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/wire"
)

// reports are those that are not acknowledged. Of one message they are sent one after the other.
type reports struct {
	client *Client

	mu             sync.Mutex
	pendingReports map[string]*pendingReport
	timer          host.Timer
	wakeAt         time.Duration // 0: the timer does not run
	stopped        bool
}

// pendingReport is what is to be reported of one message.
type pendingReport struct {
	queue  []wire.Report
	sent   uint64        // number of the newest sending; answers to older ones only count if they acknowledge
	dueAt  time.Duration // when it is sent again
	number uint64        // of the report at the head

	releases int // sendings of a release without an answer
}

// isDone reports whether nothing is to be reported of the message any more, and no release that was sent can still be taken.
func (w *pendingReport) isDone() bool { return len(w.queue) == 0 && w.releases == 0 }

func (r *reports) init(c *Client) {
	r.client = c
	r.pendingReports = make(map[string]*pendingReport)
}

// Report notifies the primary of a message's partition of an outcome, repeatedly until it is acknowledged. It fills in Partition and
// Epoch.
func (c *Client) Report(report wire.Report) {
	partition, ok := wire.PartitionOf(report.ID)
	if !ok {
		return
	}
	report.Partition = partition
	r := &c.reports
	r.mu.Lock()
	w := r.pendingReports[report.ID]
	if w == nil {
		w = &pendingReport{}
		r.pendingReports[report.ID] = w
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
	for _, w := range r.pendingReports {
		if len(w.queue) > 0 {
			count++
		}
	}
	return count
}

// isReleasing reports whether the message is being released: a store that has taken that may get a repeat of it.
func (r *reports) isReleasing(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.pendingReports[id]
	return w != nil && (w.releases > 0 || slices.ContainsFunc(w.queue, isRelease))
}

// isDropping reports whether a message is to be dropped: its put was accepted under another ID, or has failed.
func (r *reports) isDropping(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.pendingReports[id]
	return w != nil && slices.ContainsFunc(w.queue, func(report wire.Report) bool { return report.Kind == wire.ReportDropped })
}

func isRelease(report wire.Report) bool { return report.Kind == wire.ReportReleased }

// send sends the first report in a message's queue.
func (r *reports) send(id string) {
	r.mu.Lock()
	w := r.pendingReports[id]
	if w == nil || len(w.queue) == 0 || r.stopped {
		r.mu.Unlock()
		return
	}
	report := w.queue[0]
	w.sent++
	sent, number := w.sent, w.number
	w.dueAt = r.client.now() + reportTimeout
	r.wakeBy(w.dueAt)
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
	r.countRelease(w, &report, 1)
	conn.Start(wire.MethodReport, &report, func(payload []byte, err error) {
		reply := wire.ReportReply{Code: wire.PutUnknown}
		if err == nil {
			_, err = reply.UnmarshalMsg(payload)
		}
		r.countRelease(w, &report, -1)
		r.handleReply(id, number, sent, err == nil && reply.Code == wire.PutAccepted)
	})
}

// countRelease counts the sendings of a release that have no answer.
func (r *reports) countRelease(w *pendingReport, report *wire.Report, change int) {
	if !isRelease(*report) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.releases += change
	if w.isDone() {
		delete(r.pendingReports, report.ID)
	}
}

func (r *reports) handleReply(id string, number, sent uint64, accepted bool) {
	r.mu.Lock()
	w := r.pendingReports[id]
	if w == nil || w.number != number {
		r.mu.Unlock()
		return
	}
	if !accepted {
		if w.sent == sent {
			w.dueAt = r.client.now() + reportRetryPause
			r.wakeBy(w.dueAt)
		}
		r.mu.Unlock()
		return
	}
	kind := w.queue[0].Kind
	w.queue = w.queue[1:]
	w.number++
	last := len(w.queue) == 0
	if w.isDone() {
		delete(r.pendingReports, id)
	}
	r.mu.Unlock()
	if kind != wire.ReportFailed {
		r.client.config.Acknowledged(id)
	}
	if !last {
		r.send(id)
	}
}

// ids lists the messages with reports.
func (r *reports) ids() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.pendingReports))
	for id, w := range r.pendingReports {
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

func (r *reports) wakeBy(at time.Duration) {
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
	for id, w := range r.pendingReports {
		switch {
		case len(w.queue) == 0:
		case w.dueAt <= now:
			due = append(due, id)
		case next == 0 || w.dueAt < next:
			next = w.dueAt
		}
	}
	if next > 0 {
		r.wakeBy(next)
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
