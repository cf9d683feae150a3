package queueclient

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

// Result is what became of a Put.
type Result uint8

// The results of a Put.
const (
	Accepted Result = iota // on disk at all replicas
	Rejected               // surely not kept, now or ever
	Unknown                // promises nothing
)

const attemptsBeforePause = 3 // so many partitions may refuse before a pause

// The mean time of an answer is taken over so many, and some of it is waited before a put is made elsewhere.
const (
	latencySamples = 8
	latencyFactor  = 4
)

// observeLatency notes how long a put took to be answered.
func (c *Client) observeLatency(took time.Duration) {
	mean := time.Duration(c.meanLatency.Load())
	c.meanLatency.Store(int64(mean + (took-mean)/latencySamples))
}

// attemptTimeout is how long an answer is waited for before the message is tried elsewhere. It grows when all stores are slow: to
// put everything twice would make them slower.
func (c *Client) attemptTimeout() time.Duration {
	return min(max(latencyFactor*time.Duration(c.meanLatency.Load()), minAttemptTimeout), maxAttemptTimeout)
}

type attemptState uint8

const (
	attemptPending  attemptState = iota
	attemptRejected              // surely not kept
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

// put is one call of Put. The first of its tries that is kept wins.
type put struct {
	client   *Client
	message  *wire.Message
	dispatch bool
	answered host.Signal // something happened to a try

	mu       sync.Mutex
	attempts []*attempt
	accepted *attempt
	notified bool // the edge was told that it is kept
	finished bool
}

// Limits bound a put.
type Limits struct {
	Attempts time.Duration // for so long it is tried wherever that may work
	Answer   time.Duration // then an answer that is missing is waited for so long,
	Hope     time.Duration // and so long if stores that have not answered this put answer others
}

// Put is PutWithin, with a limit for trying and the client's patience for answers.
func (c *Client) Put(m *wire.Message, dispatch bool, limit time.Duration) Result {
	return c.PutWithin(m, dispatch, Limits{Attempts: limit, Answer: c.lastTimeout, Hope: c.lastTimeout})
}

// PutWithin has a message kept. What has no answer when the time to try is over is waited for a while longer, for a client that
// is told nothing does not come again. It names the message: ID is set when it was Kept. A message with an order keeps its
// name and its partition through all tries; another gets new ones with each. With dispatch Config.Kept is told, before it
// returns; the message, its body included, must then not change any more.
func (c *Client) PutWithin(m *wire.Message, dispatch bool, limits Limits) Result {
	p := &put{client: c, message: m, dispatch: dispatch, answered: c.host.Signal()}
	expired := c.now() + limits.Attempts
	for goesOn := true; goesOn; {
		wait := rejectedPause
		t := p.startAttempt()
		if t != nil {
			wait = c.attemptTimeout()
		}
		goesOn = p.await(t, wait, expired)
		if goesOn && p.needsPause(t) {
			goesOn = p.await(nil, rejectedPause, expired)
		}
	}
	if p.awaitPending(limits.Answer) && limits.Hope > limits.Answer && p.expectsLateAnswer() {
		p.awaitPending(limits.Hope - limits.Answer)
	}
	return p.finish()
}

// awaitPending waits for tries that still may be answered, and says whether some may be yet.
func (p *put) awaitPending(limit time.Duration) bool {
	if limit <= 0 {
		return true
	}
	expired := p.client.now() + limit
	for !p.isAccepted() && p.hasPending() {
		left := expired - p.client.now()
		if !p.answered.Wait(left) && left <= 0 {
			return true
		}
	}
	return false
}

// expectsLateAnswer says whether a store that owes this put an answer has kept another message a short while ago: it is slow, not gone.
func (p *put) expectsLateAnswer() bool {
	now := p.client.now()
	patience := p.client.attemptTimeout()
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.attempts, func(t *attempt) bool {
		return t.state == attemptPending && t.stores[0].acceptedSince(now-patience)
	})
}

// hasPending says whether a try has no answer yet.
func (p *put) hasPending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.attempts, func(t *attempt) bool { return t.state == attemptPending })
}

// needsPause says whether the next try would come too soon: after a refusal there is not always another partition to turn to.
func (p *put) needsPause(t *attempt) bool {
	if t == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.state == attemptPending {
		return false
	}
	return p.message.Ordered || len(p.attempts)%attemptsBeforePause == 0
}

// await waits until a try has an answer, or a time, and says whether the put goes on.
func (p *put) await(t *attempt, wait, expired time.Duration) bool {
	due := p.client.now() + wait
	for {
		now := p.client.now()
		answered := p.answered.Wait(min(due, expired) - now)
		switch {
		case answered && p.isAccepted():
			return false
		case answered && t != nil && p.hasAnswer(t):
			return true
		case answered:
		case now >= expired:
			p.suspectStores(t)
			return false
		case now >= due:
			p.suspectStores(t)
			return true
		}
	}
}

func (p *put) isAccepted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted != nil
}

func (p *put) hasAnswer(t *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.state != attemptPending
}

// suspectStores has the stores passed over that left a try unanswered: any of a partition's may be the slow one.
func (p *put) suspectStores(t *attempt) {
	if t == nil || p.hasAnswer(t) {
		return
	}
	now := p.client.now()
	for _, s := range t.stores {
		s.markSuspect(now)
	}
}

// finish ends a put and says what became of it.
func (p *put) finish() Result {
	p.mu.Lock()
	p.finished = true
	unresolved := p.unresolved()
	result := Rejected
	if len(unresolved) > 0 {
		result = Unknown
	}
	if p.accepted != nil {
		result = Accepted
	}
	p.mu.Unlock()
	p.drop(unresolved) // first: a claim that is made meanwhile names them by one list or the other
	p.client.forget(p)
	return result
}

// unresolved returns the tries that may have been kept without being told so.
func (p *put) unresolved() (found []*attempt) {
	for _, t := range p.attempts {
		if t.state == attemptPending || t.state == attemptUnknown {
			found = append(found, t)
		}
	}
	return found
}

// drop has stores forget what they may have kept of a put by other tries than the one that counts: it would run once more.
func (p *put) drop(unresolved []*attempt) {
	dropped := make(map[string]bool)
	if p.accepted != nil {
		dropped[p.accepted.id] = true
	}
	for _, t := range unresolved {
		if !dropped[t.id] {
			dropped[t.id] = true
			p.client.Report(wire.Report{ID: t.id, Kind: wire.ReportDropped})
		}
	}
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

// addAttempt adds a try, unless the message was kept meanwhile, or the very same question waits for its answer.
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

// duplicates says whether a try waits for the same store's answer under the same placement.
func (t *attempt) duplicates(other *attempt) bool {
	return other.state == attemptPending && other.partition == t.partition && other.conn == t.conn && other.epoch == t.epoch
}

func (c *Client) newID(partition uint16) string {
	return wire.MessageID(partition, c.incarnation+"-"+strconv.FormatUint(c.issuedIDs.Add(1), 36))
}

// reply takes the answer to a try, on the goroutine that reads the connection.
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
	case reply.Code == wire.PutKept:
		t.accept(reply.Granted)
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

func (p *put) wake() {
	p.answered.Give()
}

// accept takes the message as kept by this try, unless it is too late: then the store is to drop it.
func (t *attempt) accept(granted bool) {
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
	p.client.forget(p)
	p.wake()
}

// notifyGrant passes a grant on that came over another connection while the edge was being told of the message.
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

// grantAttempt notes a grant of a message that the edge was not told of yet, as one that overtook the answer to its put. It says
// whether it was one.
func (c *Client) grantAttempt(id string) bool {
	c.mu.Lock()
	t := c.attempts[id]
	c.mu.Unlock()
	if t == nil {
		return false
	}
	t.put.mu.Lock()
	defer t.put.mu.Unlock()
	if accepted := t.put.accepted; accepted != nil && (accepted.id != id || t.put.notified) {
		return false
	}
	for _, other := range t.put.attempts { // a repeat under the same name may be the one that is answered
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
