package queueclient

import (
	"slices"
	"strconv"
	"time"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

const attemptsBeforePause = 3 // so many partitions may reject before a pause

// The mean latency of answers is taken over so many, and a multiple of it is waited before a put is attempted elsewhere.
const (
	latencySamples = 8
	latencyFactor  = 4
)

// observeLatency records how long a put took to be answered.
func (c *Client) observeLatency(took time.Duration) {
	mean := time.Duration(c.meanLatency.Load())
	c.meanLatency.Store(int64(mean + (took-mean)/latencySamples))
}

// attemptTimeout is how long an answer is waited for before the next attempt. It grows when all stores are slow: to
// put everything twice would make them slower.
func (c *Client) attemptTimeout() time.Duration {
	return min(max(latencyFactor*time.Duration(c.meanLatency.Load()), minAttemptTimeout), maxAttemptTimeout)
}

type attemptState uint8

const (
	attemptPending  attemptState = iota
	attemptRejected              // surely not accepted
	attemptUnknown
	attemptAccepted
)

// attempt is one request of a put. Its state is guarded by the put's lock.
type attempt struct {
	put       *put
	id        string
	partition uint16
	conn      *rpc.Conn
	epoch     uint64
	startedAt time.Duration
	stores    []*store // of the partition, the primary first
	state     attemptState
	granted   bool // a grant came before the answer
}

// startAttempt sends the message to the primary of a partition, or returns nil where that can't be.
func (p *put) startAttempt() *attempt {
	c := p.client
	v := c.view.Load()
	if v == nil || len(v.Partitions) == 0 {
		return nil
	}
	partition, ok := p.partition(v)
	if !ok {
		return nil
	}
	primary := v.primary(partition)
	if primary == nil {
		return nil
	}
	conn := primary.conn()
	if conn == nil || !v.mayAttempt(partition, c.now()) {
		return nil
	}
	t := p.addAttempt(attempt{put: p, partition: partition, conn: conn, epoch: v.Epoch, startedAt: c.now(), stores: v.replicas(partition)})
	if t == nil {
		return nil
	}
	request := &wire.Put{Partition: partition, Epoch: v.Epoch, Message: *p.message, Dispatch: p.dispatch}
	request.Message.ID = t.id
	primary.unanswered.Add(1)
	conn.Start(wire.MethodPut, request, t.reply)
	return t
}

func (p *put) partition(v *view) (uint16, bool) {
	if p.message.Ordered && p.message.Key != "" {
		return wire.PartitionOfKey(p.message.Key, len(v.Partitions)), true
	}
	p.mu.Lock()
	var attempted []uint16
	for _, t := range p.attempts {
		attempted = append(attempted, t.partition)
	}
	p.mu.Unlock()
	return v.choose(p.client.now(), attempted, p.hasPending())
}

// addAttempt adds an attempt, unless the message was accepted meanwhile, or the very same request waits for its answer.
func (p *put) addAttempt(next attempt) *attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.accepted != nil || slices.ContainsFunc(p.attempts, next.duplicates) {
		return nil
	}
	t := &next
	if p.message.Ordered && len(p.attempts) > 0 && p.attempts[0].partition == t.partition {
		t.id = p.attempts[0].id
	} else {
		t.id = p.client.newID(t.partition)
	}
	p.attempts = append(p.attempts, t)
	p.client.remember(t)
	return t
}

// duplicates reports whether another attempt waits for the same store's answer under the same placement.
func (t *attempt) duplicates(other *attempt) bool {
	return other.state == attemptPending && other.partition == t.partition && other.conn == t.conn && other.epoch == t.epoch
}

func (c *Client) newID(partition uint16) string {
	return wire.MessageID(partition, c.incarnation+"-"+strconv.FormatUint(c.issuedIDs.Add(1), 36))
}

// reply takes the answer to an attempt, on the goroutine that reads the connection.
func (t *attempt) reply(payload []byte, err error) {
	t.stores[0].unanswered.Add(-1)
	reply := wire.PutReply{Code: wire.PutUnknown}
	if err == nil {
		t.put.client.observeLatency(t.put.client.now() - t.startedAt)
		_, err = reply.UnmarshalMsg(payload)
	}
	switch {
	case err != nil || reply.Code == wire.PutUnknown:
		t.resolve(attemptUnknown)
	case reply.Code == wire.PutAccepted:
		t.resolveAccepted(reply.Granted)
	default:
		t.resolve(attemptRejected)
	}
}

func (t *attempt) resolve(state attemptState) {
	t.put.mu.Lock()
	t.state = state
	t.put.mu.Unlock()
	t.put.wake()
}

// resolveAccepted takes the message as accepted by this attempt, unless it is too late: then the store is to drop it.
func (t *attempt) resolveAccepted(granted bool) {
	p := t.put
	for _, s := range t.stores {
		s.clearSuspect()
	}
	t.stores[0].recordAccepted(p.client.now())
	p.mu.Lock()
	t.state = attemptAccepted
	duplicate := p.accepted != nil && p.accepted.id == t.id
	late := p.finished || p.accepted != nil
	if !late {
		p.accepted = t
		p.message.ID = t.id
	}
	granted = granted || t.granted
	p.mu.Unlock()
	if late {
		if !duplicate {
			p.client.Report(wire.Report{Partition: t.partition, ID: t.id, Kind: wire.ReportDropped})
		}
		return
	}
	if p.dispatch {
		p.client.config.Accepted(p.message, granted)
		p.notifyGrant(t, granted)
	}
	p.client.forgetAttempt(t.id) // the others are forgotten once they are reported dropped
	p.wake()
}

// notifyGrant passes on a grant that came over another connection while Config.Accepted was being called.
func (p *put) notifyGrant(t *attempt, granted bool) {
	p.mu.Lock()
	p.notified = true
	overtaken := t.granted && !granted
	p.mu.Unlock()
	if overtaken {
		p.client.config.Granted(&wire.Grant{Partition: t.partition, ID: t.id})
	}
}

func (c *Client) remember(t *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[t.id] = t
}

func (c *Client) forget(p *put) {
	p.mu.Lock()
	attempts := p.attempts
	p.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range attempts {
		delete(c.attempts, t.id)
	}
}

func (c *Client) forgetAttempt(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.attempts, id)
}

// grantAttempt records a grant of a message that Config.Accepted was not called for yet, as one that overtook the answer to its put. It
// reports whether it was one, with its message or without: until the put has a result, the message may be accepted under another ID too, and
// whichever is not the one that counts is dropped.
func (c *Client) grantAttempt(id string) bool {
	c.mu.Lock()
	t := c.attempts[id]
	c.mu.Unlock()
	if t == nil {
		return false
	}
	t.put.mu.Lock()
	defer t.put.mu.Unlock()
	switch accepted := t.put.accepted; {
	case accepted == nil:
	case accepted.id != id:
		return true // it is about to be reported dropped
	case t.put.notified:
		return false
	}
	for _, other := range t.put.attempts { // a duplicate under the same ID may be the one that is answered
		if other.id == id {
			other.granted = true
		}
	}
	return true
}

// pendingPuts lists the messages whose puts have no result yet.
func (c *Client) pendingPuts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.attempts))
	for id, t := range c.attempts {
		if t.put.dispatch {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
