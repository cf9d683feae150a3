package queueclient

import (
	"slices"
	"strconv"
	"time"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

const attemptsBeforePause = 3 // number of rejected attempts after which a put pauses

// A put waits latencyFactor times the mean latency for an answer before the next attempt (attemptTimeout). The mean is a
// moving average over about latencySamples answers.
const (
	latencySamples = 8
	latencyFactor  = 4
)

// observeLatency adds the time from a put to its answer to the mean latency.
func (c *Client) observeLatency(took time.Duration) {
	mean := time.Duration(c.meanLatency.Load())
	c.meanLatency.Store(int64(mean + (took-mean)/latencySamples))
}

// attemptTimeout returns how long to wait for an answer before the next attempt. It grows while all stores are slow:
// sending each message twice would slow them down further.
func (c *Client) attemptTimeout() time.Duration {
	return min(max(latencyFactor*time.Duration(c.meanLatency.Load()), minAttemptTimeout), maxAttemptTimeout)
}

type attemptState uint8

const (
	attemptPending  attemptState = iota
	attemptRejected              // certainly not accepted
	attemptUnknown
	attemptAccepted
)

// attempt is one request of a put. The put's lock guards state and granted.
type attempt struct {
	put       *put
	id        string
	partition uint16
	conn      *rpc.Conn
	epoch     uint64
	startedAt time.Duration // by the client's clock
	stores    []*store      // replicas of the partition, the primary first
	state     attemptState
	granted   bool // a grant was received before the answer
}

// startAttempt sends the message to the primary of a partition. It returns nil if there is no suitable partition, its
// primary is not connected, or the same request is already pending.
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
	a := p.addAttempt(attempt{put: p, partition: partition, conn: conn, epoch: v.Epoch, startedAt: c.now(), stores: v.replicas(partition)})
	if a == nil {
		return nil
	}
	request := &wire.Put{Partition: partition, Epoch: v.Epoch, Message: *p.message, Dispatch: p.dispatch}
	request.Message.ID = a.id
	primary.unanswered.Add(1)
	reply := &wire.PutReply{}
	conn.StartCall(wire.MethodPut, request, reply, func(err error) { a.reply(reply, err) })
	return a
}

func (p *put) partition(v *view) (uint16, bool) {
	if p.message.Ordered && p.message.Key != "" {
		return wire.PartitionOfKey(p.message.Key, len(v.Partitions)), true
	}
	p.mu.Lock()
	var attempted []uint16
	for _, a := range p.attempts {
		attempted = append(attempted, a.partition)
	}
	p.mu.Unlock()
	return v.choose(p.client.now(), attempted, p.hasPending())
}

// addAttempt adds an attempt and returns it. It returns nil if the message has been accepted meanwhile, or if an
// identical request still waits for its answer.
func (p *put) addAttempt(next attempt) *attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.accepted != nil || slices.ContainsFunc(p.attempts, next.duplicates) {
		return nil
	}
	a := &next
	if p.message.Ordered && len(p.attempts) > 0 && p.attempts[0].partition == a.partition {
		a.id = p.attempts[0].id
	} else {
		a.id = p.client.newID(a.partition, p.configVersion)
	}
	p.attempts = append(p.attempts, a)
	p.client.remember(a)
	return a
}

// duplicates reports whether the other attempt still waits for an answer from the same store about the same partition
// and placement.
func (a *attempt) duplicates(other *attempt) bool {
	return other.state == attemptPending && other.partition == a.partition && other.conn == a.conn && other.epoch == a.epoch
}

func (c *Client) newID(partition uint16, configVersion uint64) string {
	suffix := c.incarnation + "-" + strconv.FormatUint(c.issuedIDs.Add(1), 36)
	return wire.VersionedMessageID(partition, suffix, configVersion)
}

// reply handles the answer to an attempt. It runs on the goroutine that reads the connection.
// Only an answer that says so means that the message is not accepted: a code that is not known says nothing.
func (a *attempt) reply(reply *wire.PutReply, err error) {
	a.stores[0].unanswered.Add(-1)
	if err != nil {
		a.resolve(attemptUnknown)
		return
	}
	a.put.client.observeLatency(a.put.client.now() - a.startedAt)
	switch reply.Code {
	case wire.PutAccepted:
		a.resolveAccepted(reply.Granted)
	case wire.PutStale, wire.PutNotPrimary, wire.PutRejected:
		a.resolve(attemptRejected)
	default:
		a.resolve(attemptUnknown)
	}
}

func (a *attempt) resolve(state attemptState) {
	a.put.mu.Lock()
	a.state = state
	a.put.mu.Unlock()
	a.put.wake()
}

// resolveAccepted makes this attempt the one that accepted the message. If the put has finished, or another attempt was
// accepted first, it reports the message as dropped to the store instead.
func (a *attempt) resolveAccepted(granted bool) {
	p := a.put
	for _, s := range a.stores {
		s.clearSuspect()
	}
	a.stores[0].recordAccepted(p.client.now())
	p.mu.Lock()
	a.state = attemptAccepted
	duplicate := p.accepted != nil && p.accepted.id == a.id
	late := p.finished || p.accepted != nil
	if !late {
		p.accepted = a
		p.message.ID = a.id
	}
	granted = granted || a.granted
	p.mu.Unlock()
	if late {
		if !duplicate {
			p.client.Report(abandonedPut(a.id))
		}
		return
	}
	switch {
	case !p.dispatch:
	case a.startedBeforePause(): // the store may have assigned the message to another edge meanwhile
		p.client.Report(wire.Report{ID: a.id, Partition: a.partition, Kind: wire.ReportReleased})
	default:
		p.client.config.Accepted(p.message, granted)
		p.notifyGrant(a, granted)
	}
	p.client.forgetAttempt(a.id) // forget removes the other attempts, after they have been reported as dropped
	p.wake()
}

// startedBeforePause reports whether the process was paused since the attempt started, for so long that the store may have
// revoked the lease of the message.
func (a *attempt) startedBeforePause() bool {
	c := a.put.client
	return c.started+a.startedAt <= c.recordRunning()
}

// notifyGrant calls Config.Granted if a grant was received on another connection while Config.Accepted was running.
func (p *put) notifyGrant(a *attempt, granted bool) {
	p.mu.Lock()
	p.notified = true
	overtaken := a.granted && !granted
	p.mu.Unlock()
	if overtaken {
		p.client.config.Granted(&wire.Grant{Partition: a.partition, ID: a.id})
	}
}

func (c *Client) remember(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[a.id] = a
}

func (c *Client) forget(p *put) {
	p.mu.Lock()
	attempts := p.attempts
	p.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range attempts {
		delete(c.attempts, a.id)
	}
}

func (c *Client) forgetAttempt(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.attempts, id)
}

// grantAttempt records a grant that arrived before the answer to the put, so before Config.Accepted was called for the
// message. It reports whether the grant belongs to such a put, whether or not the grant contains the message: until the
// put has a result, the message may be accepted under another ID as well, and all IDs but the one that counts are
// reported as dropped.
func (c *Client) grantAttempt(id string) bool {
	c.mu.Lock()
	a := c.attempts[id]
	c.mu.Unlock()
	if a == nil {
		return false
	}
	a.put.mu.Lock()
	defer a.put.mu.Unlock()
	switch accepted := a.put.accepted; {
	case accepted == nil:
	case accepted.id != id:
		return true // finish reports this ID as dropped
	case a.put.notified:
		return false
	}
	for _, other := range a.put.attempts { // another attempt with the same ID may be the one that receives the answer
		if other.id == id {
			other.granted = true
		}
	}
	return true
}

// pendingPuts returns the IDs of all attempts of puts with dispatch that have no result yet, in order.
func (c *Client) pendingPuts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.attempts))
	for id, a := range c.attempts {
		if a.put.dispatch {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
