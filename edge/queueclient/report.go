package queueclient

import (
	"slices"
	"sync"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/wire"
)

// reports holds the reports that are not acknowledged. Reports of the same message are sent one after another.
type reports struct {
	client *Client

	mu             sync.Mutex
	pendingReports map[string]*pendingReport
	timer          host.Timer
	wakeAt         time.Duration // when the timer fires; 0: it is not running
	stopped        bool
}

// pendingReport holds the reports of one message.
type pendingReport struct {
	queue  []wire.Report
	sent   uint64        // number of sends; an answer to an earlier send counts only if it acknowledges
	dueAt  time.Duration // when the first report is sent again
	number uint64        // sequence number of the first report in the queue

	releases int // releases that were sent and have no answer
}

// isDone reports whether no report is left to send and no release that was sent can still be processed by the store.
func (p *pendingReport) isDone() bool { return len(p.queue) == 0 && p.releases == 0 }

func (r *reports) init(c *Client) {
	r.client = c
	r.pendingReports = make(map[string]*pendingReport)
}

// Report sends a report to the primary of the message's partition, and repeats it until it is acknowledged. It sets
// Partition and Epoch.
func (c *Client) Report(report wire.Report) {
	partition, ok := wire.PartitionOf(report.ID)
	if !ok {
		return
	}
	report.Partition = partition
	r := &c.reports
	r.mu.Lock()
	p := r.pendingReports[report.ID]
	if p == nil {
		p = &pendingReport{}
		r.pendingReports[report.ID] = p
	}
	p.queue = append(p.queue, report)
	first := len(p.queue) == 1
	r.mu.Unlock()
	if first {
		r.send(report.ID)
	}
}

func (r *reports) pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, p := range r.pendingReports {
		if len(p.queue) > 0 {
			count++
		}
	}
	return count
}

// isReleasing reports whether the message is being released: the store may have processed the release and receive a
// repeat of it.
func (r *reports) isReleasing(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pendingReports[id]
	return p != nil && (p.releases > 0 || slices.ContainsFunc(p.queue, isRelease))
}

// isDropping reports whether a message is to be dropped: its put was accepted under another ID, or has failed.
func (r *reports) isDropping(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pendingReports[id]
	return p != nil && slices.ContainsFunc(p.queue, func(report wire.Report) bool { return report.Kind == wire.ReportDropped })
}

func isRelease(report wire.Report) bool { return report.Kind == wire.ReportReleased }

// send sends the first report in the message's queue.
func (r *reports) send(id string) {
	r.mu.Lock()
	p := r.pendingReports[id]
	if p == nil || len(p.queue) == 0 || r.stopped {
		r.mu.Unlock()
		return
	}
	report := p.queue[0]
	p.sent++
	sent, number := p.sent, p.number
	p.dueAt = r.client.now() + reportTimeout
	r.wakeBy(p.dueAt)
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
		return // resend runs when the connection is up or the placement changes
	}
	report.Epoch = v.Epoch
	r.countRelease(p, &report, 1)
	reply := &wire.ReportReply{Code: wire.PutUnknown}
	conn.StartCall(wire.MethodReport, &report, reply, func(err error) {
		r.countRelease(p, &report, -1)
		r.handleReply(id, number, sent, err == nil && reply.Code == wire.PutAccepted)
	})
}

// countRelease adds change to the number of sent releases without an answer.
func (r *reports) countRelease(p *pendingReport, report *wire.Report, change int) {
	if !isRelease(*report) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p.releases += change
	if p.isDone() {
		delete(r.pendingReports, report.ID)
	}
}

func (r *reports) handleReply(id string, number, sent uint64, accepted bool) {
	r.mu.Lock()
	p := r.pendingReports[id]
	if p == nil || p.number != number {
		r.mu.Unlock()
		return
	}
	if !accepted {
		if p.sent == sent {
			p.dueAt = r.client.now() + reportRetryPause
			r.wakeBy(p.dueAt)
		}
		r.mu.Unlock()
		return
	}
	kind := p.queue[0].Kind
	p.queue = p.queue[1:]
	p.number++
	last := len(p.queue) == 0
	if p.isDone() {
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

// ids returns the IDs of the messages with reports to send, in order.
func (r *reports) ids() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.pendingReports))
	for id, p := range r.pendingReports {
		if len(p.queue) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// resend sends the first report of each message again at once, for example to a new primary.
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
	for id, p := range r.pendingReports {
		switch {
		case len(p.queue) == 0:
		case p.dueAt <= now:
			due = append(due, id)
		case next == 0 || p.dueAt < next:
			next = p.dueAt
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
