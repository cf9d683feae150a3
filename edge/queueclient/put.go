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
	Kept    Result = iota // on disk at all replicas
	Refused               // surely not kept, now or ever
	Unsure                // promises nothing
)

const triesAtOnce = 3 // so many partitions may refuse before a pause

// The mean time of an answer is taken over so many, and some of it is waited before a put is made elsewhere.
const (
	answersKept   = 8
	meansOfAnswer = 4
)

// sawAnswer notes how long a put took to be answered.
func (c *Client) sawAnswer(took time.Duration) {
	mean := time.Duration(c.answer.Load())
	c.answer.Store(int64(mean + (took-mean)/answersKept))
}

// patience is how long an answer is waited for before the message is tried elsewhere. It grows when all stores are slow: to
// put everything twice would make them slower.
func (c *Client) patience() time.Duration {
	return min(max(meansOfAnswer*time.Duration(c.answer.Load()), putPatience), mostPatience)
}

type tryState uint8

const (
	tryWaiting tryState = iota
	tryRefused          // surely not kept
	tryUnsure
	tryKept
)

// try is one request of a put. Its state is guarded by the put's lock.
type try struct {
	put       *put
	id        string
	partition uint16
	conn      *rpc.Conn
	epoch     uint64
	began     time.Duration
	stores    []*store // of the partition, the primary first
	state     tryState
	granted   bool // a grant came before the answer
}

// put is one call of Put. The first of its tries that is kept wins.
type put struct {
	client   *Client
	message  *wire.Message
	dispatch bool
	answered host.Signal // something happened to a try

	mu    sync.Mutex
	tries []*try
	kept  *try
	told  bool // the edge was told that it is kept
	over  bool
}

// Limits bound a put.
type Limits struct {
	Try    time.Duration // for so long it is tried wherever that may work
	Answer time.Duration // then an answer that is missing is waited for so long,
	Hope   time.Duration // and so long if stores that have not answered this put answer others
}

// Put is PutWithin, with a limit for trying and the client's patience for answers.
func (c *Client) Put(m *wire.Message, dispatch bool, limit time.Duration) Result {
	return c.PutWithin(m, dispatch, Limits{Try: limit, Answer: c.last, Hope: c.last})
}

// PutWithin has a message kept. What has no answer when the time to try is over is waited for a while longer, for a client that
// is told nothing does not come again. It names the message: ID is set when it was Kept. A message with an order keeps its
// name and its partition through all tries; another gets new ones with each. With dispatch Config.Kept is told, before it
// returns; the message, its body included, must then not change any more.
func (c *Client) PutWithin(m *wire.Message, dispatch bool, limits Limits) Result {
	p := &put{client: c, message: m, dispatch: dispatch, answered: c.host.Signal()}
	expired := c.now() + limits.Try
	for goesOn := true; goesOn; {
		wait := refusalPause
		t := p.begin()
		if t != nil {
			wait = c.patience()
		}
		goesOn = p.await(t, wait, expired)
		if goesOn && p.pauses(t) {
			goesOn = p.await(nil, refusalPause, expired)
		}
	}
	if p.awaitLast(limits.Answer) && limits.Hope > limits.Answer && p.hopes() {
		p.awaitLast(limits.Hope - limits.Answer)
	}
	return p.finish()
}

// awaitLast waits for tries that still may be answered, and says whether some may be yet.
func (p *put) awaitLast(limit time.Duration) bool {
	if limit <= 0 {
		return true
	}
	expired := p.client.now() + limit
	for !p.isKept() && p.isWaiting() {
		left := expired - p.client.now()
		if !p.answered.Wait(left) && left <= 0 {
			return true
		}
	}
	return false
}

// hopes says whether a store that owes this put an answer has kept another message a short while ago: it is slow, not gone.
func (p *put) hopes() bool {
	now := p.client.now()
	patience := p.client.patience()
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.tries, func(t *try) bool {
		return t.state == tryWaiting && t.stores[0].keptSince(now-patience)
	})
}

// isWaiting says whether a try has no answer yet.
func (p *put) isWaiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.tries, func(t *try) bool { return t.state == tryWaiting })
}

// pauses says whether the next try would come too soon: after a refusal there is not always another partition to turn to.
func (p *put) pauses(t *try) bool {
	if t == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.state == tryWaiting {
		return false
	}
	return p.message.Ordered || len(p.tries)%triesAtOnce == 0
}

// await waits until a try has an answer, or a time, and says whether the put goes on.
func (p *put) await(t *try, wait, expired time.Duration) bool {
	due := p.client.now() + wait
	for {
		now := p.client.now()
		answered := p.answered.Wait(min(due, expired) - now)
		switch {
		case answered && p.isKept():
			return false
		case answered && t != nil && p.hasAnswer(t):
			return true
		case answered:
		case now >= expired:
			p.blame(t)
			return false
		case now >= due:
			p.blame(t)
			return true
		}
	}
}

func (p *put) isKept() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kept != nil
}

func (p *put) hasAnswer(t *try) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.state != tryWaiting
}

// blame has the stores passed over that left a try unanswered: any of a partition's may be the slow one.
func (p *put) blame(t *try) {
	if t == nil || p.hasAnswer(t) {
		return
	}
	now := p.client.now()
	for _, s := range t.stores {
		s.blame(now)
	}
}

// finish ends a put and says what became of it.
func (p *put) finish() Result {
	p.mu.Lock()
	p.over = true
	open := p.open()
	result := Refused
	if len(open) > 0 {
		result = Unsure
	}
	if p.kept != nil {
		result = Kept
	}
	p.mu.Unlock()
	p.drop(open) // first: a claim that is made meanwhile names them by one list or the other
	p.client.forget(p)
	return result
}

// open returns the tries that may have been kept without being told so.
func (p *put) open() (open []*try) {
	for _, t := range p.tries {
		if t.state == tryWaiting || t.state == tryUnsure {
			open = append(open, t)
		}
	}
	return open
}

// drop has stores forget what they may have kept of a put by other tries than the one that counts: it would run once more.
func (p *put) drop(open []*try) {
	told := make(map[string]bool)
	if p.kept != nil {
		told[p.kept.id] = true
	}
	for _, t := range open {
		if !told[t.id] {
			told[t.id] = true
			p.client.Report(wire.Report{ID: t.id, Kind: wire.ReportDropped})
		}
	}
}

// begin sends the message to the primary of a partition, or returns nil where that can't be.
func (p *put) begin() *try {
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
	if conn == nil || !v.mayPut(partition, c.now()) {
		return nil
	}
	t := p.newTry(try{put: p, partition: partition, conn: conn, epoch: v.Epoch, began: c.now(), stores: v.replicas(partition)})
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
	var tried []uint16
	for _, t := range p.tries {
		tried = append(tried, t.partition)
	}
	p.mu.Unlock()
	return v.choose(p.client.now(), tried, p.isWaiting())
}

// newTry adds a try, unless the message was kept meanwhile, or the very same question waits for its answer.
func (p *put) newTry(next try) *try {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kept != nil || slices.ContainsFunc(p.tries, next.repeats) {
		return nil
	}
	t := &next
	if p.message.Ordered && len(p.tries) > 0 && p.tries[0].partition == t.partition {
		t.id = p.tries[0].id
	} else {
		t.id = p.client.name(t.partition)
	}
	p.tries = append(p.tries, t)
	p.client.remember(t)
	return t
}

// repeats says whether a try waits for the same store's answer under the same placement.
func (t *try) repeats(other *try) bool {
	return other.state == tryWaiting && other.partition == t.partition && other.conn == t.conn && other.epoch == t.epoch
}

func (c *Client) name(partition uint16) string {
	return wire.MessageID(partition, c.life+"-"+strconv.FormatUint(c.names.Add(1), 36))
}

// reply takes the answer to a try, on the goroutine that reads the connection.
func (t *try) reply(payload []byte, err error) {
	t.stores[0].unanswered.Add(-1)
	reply := wire.PutReply{Code: wire.PutUnknown}
	if err == nil {
		t.put.client.sawAnswer(t.put.client.now() - t.began)
		_, err = reply.UnmarshalMsg(payload)
	}
	switch {
	case err != nil || reply.Code == wire.PutUnknown:
		t.settle(tryUnsure)
	case reply.Code == wire.PutKept:
		t.keep(reply.Granted)
	default:
		t.settle(tryRefused)
	}
}

func (t *try) settle(state tryState) {
	t.put.mu.Lock()
	t.state = state
	t.put.mu.Unlock()
	t.put.poke()
}

func (p *put) poke() {
	p.answered.Give()
}

// keep takes the message as kept by this try, unless it is too late: then the store is to drop it.
func (t *try) keep(granted bool) {
	p := t.put
	for _, s := range t.stores {
		s.clear()
	}
	t.stores[0].kept(p.client.now())
	p.mu.Lock()
	t.state = tryKept
	known := p.kept != nil && p.kept.id == t.id
	late := p.over || p.kept != nil
	if !late {
		p.kept = t
		p.message.ID = t.id
	}
	granted = granted || t.granted
	p.mu.Unlock()
	if late {
		if !known {
			p.client.Report(wire.Report{Partition: t.partition, ID: t.id, Kind: wire.ReportDropped})
		}
		return
	}
	if p.dispatch {
		p.client.config.Kept(p.message, granted)
		p.tell(t, granted)
	}
	p.client.forget(p)
	p.poke()
}

// tell passes a grant on that came over another connection while the edge was being told of the message.
func (p *put) tell(t *try, granted bool) {
	p.mu.Lock()
	p.told = true
	overtaken := t.granted && !granted
	p.mu.Unlock()
	if overtaken {
		p.client.config.Granted(&wire.Grant{Partition: t.partition, ID: t.id})
	}
}

func (c *Client) remember(t *try) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries[t.id] = t
}

func (c *Client) forget(p *put) {
	p.mu.Lock()
	tries := p.tries
	p.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range tries {
		delete(c.tries, t.id)
	}
}

// grantTry notes a grant of a message that the edge was not told of yet, as one that overtook the answer to its put. It says
// whether it was one.
func (c *Client) grantTry(id string) bool {
	c.mu.Lock()
	t := c.tries[id]
	c.mu.Unlock()
	if t == nil {
		return false
	}
	t.put.mu.Lock()
	defer t.put.mu.Unlock()
	if kept := t.put.kept; kept != nil && (kept.id != id || t.put.told) {
		return false
	}
	for _, other := range t.put.tries { // a repeat under the same name may be the one that is answered
		if other.id == id {
			other.granted = true
		}
	}
	return true
}

// putting lists the messages whose puts have no result yet.
func (c *Client) putting() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.tries))
	for id, t := range c.tries {
		if t.put.dispatch {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
