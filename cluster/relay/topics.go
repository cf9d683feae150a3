package relay

import (
	"errors"
	"time"

	"ravendale/cluster/relay/delta"
	"ravendale/cluster/wire"
)

// Limits of what Topics keeps beside the newest versions.
const (
	maxDeltas      = 8 // of a topic
	repairDelay    = 300 * time.Millisecond
	repairInterval = 400 * time.Millisecond // doubled with each further fetch of the same topic
	maxDoublings   = 3
)

// ErrGap is returned for a delta from a version that is not at hand.
var ErrGap = errors.New("relay: delta from a version that is not at hand")

// Versions has the version of each topic.
type Versions [wire.TopicCount]wire.Version

// VersionsOf reads a list as it comes in messages; what it lacks is the zero Version.
func VersionsOf(list []wire.Version) Versions {
	var versions Versions
	copy(versions[:], list)
	return versions
}

// List is the form that messages have.
func (v Versions) List() []wire.Version { return append([]wire.Version(nil), v[:]...) }

type topic struct {
	version           wire.Version
	payload           []byte
	compressedPayload []byte        // the payload, compressed, once it was requested; nil if that is not shorter
	compressed        bool          // short was made
	deltas            []wire.Update // in order, the last ends at version
	head              wire.Version  // the newest that was named
	attempts          int           // fetches since then
	next              time.Duration // when to fetch
	corrupt           bool          // a delta did not fit: fetch the full topic
}

// Topics holds the newest version of each topic, and the changes that led to it lately.
type Topics struct{ topics [wire.TopicCount]topic }

// Versions are the newest at hand.
func (t *Topics) Versions() Versions {
	var versions Versions
	for i := range t.topics {
		versions[i] = t.topics[i].version
	}
	return versions
}

// Payload is the newest payload of a topic. It is shared: nobody may change it.
func (t *Topics) Payload(which wire.Topic) []byte { return t.topics[which].payload }

// Publish sets a topic's newest version, and says whether it is newer than what was at hand.
func (t *Topics) Publish(which wire.Topic, version wire.Version, payload []byte) bool {
	topic := &t.topics[which]
	if !topic.version.Less(version) {
		return false
	}
	if change, ok := difference(topic, which, version, payload); ok {
		topic.remember(change, len(payload))
	} else {
		topic.deltas = nil
	}
	topic.set(version, payload)
	return true
}

func (t *topic) set(version wire.Version, payload []byte) {
	t.version, t.payload = version, payload
	t.compressedPayload, t.compressed = nil, false
}

// update brings the full topic.
func (t *topic) update(which wire.Topic) wire.Update {
	if !t.compressed && len(t.payload) >= minCompressedSize {
		t.compressedPayload = compress(t.payload)
	}
	t.compressed = true
	if t.compressedPayload != nil {
		return wire.Update{Topic: which, To: t.version, Compressed: true, Payload: t.compressedPayload}
	}
	return wire.Update{Topic: which, To: t.version, Payload: t.payload}
}

func difference(topic *topic, which wire.Topic, version wire.Version, full []byte) (wire.Update, bool) {
	if topic.payload == nil {
		return wire.Update{}, false
	}
	payload, err := delta.Make(topic.payload, full)
	if err != nil || len(payload) >= len(full) {
		return wire.Update{}, false
	}
	return wire.Update{Topic: which, From: topic.version, To: version, Delta: true, Payload: payload}, true
}

// remember keeps a change as long as all those kept are less than the full topic.
func (t *topic) remember(change wire.Update, fullSize int) {
	t.deltas = append(t.deltas, change)
	size := 0
	for i := len(t.deltas) - 1; i >= 0; i-- {
		size += len(t.deltas[i].Payload)
		if size > fullSize || len(t.deltas)-i > maxDeltas {
			t.deltas = append([]wire.Update(nil), t.deltas[i+1:]...)
			return
		}
	}
}

// Apply takes an update, and says whether it brought something newer.
func (t *Topics) Apply(update *wire.Update) (bool, error) {
	if update.Topic >= wire.TopicCount {
		return false, nil
	}
	topic := &t.topics[update.Topic]
	if !topic.version.Less(update.To) {
		return false, nil
	}
	if !update.Delta {
		payload, err := Payload(update)
		if err != nil {
			return false, err
		}
		topic.deltas, topic.corrupt = nil, false
		topic.set(update.To, payload)
		return true, nil
	}
	if update.From != topic.version {
		return false, ErrGap
	}
	payload, err := delta.Apply(topic.payload, update.Payload)
	if err != nil {
		topic.corrupt = true
		return false, err
	}
	topic.remember(*update, len(payload))
	topic.set(update.To, payload)
	return true, nil
}

// UpdatesFor is what brings one that has a version to the newest: nothing, deltas, or the full topic.
func (t *Topics) UpdatesFor(which wire.Topic, have wire.Version) []wire.Update {
	topic := &t.topics[which]
	if !have.Less(topic.version) {
		return nil
	}
	for i := range topic.deltas {
		if topic.deltas[i].From == have {
			return topic.deltas[i:]
		}
	}
	return []wire.Update{topic.update(which)}
}

// Answer replies to a Fetch.
func (t *Topics) Answer(fetch *wire.Fetch) wire.Update {
	if fetch.Topic >= wire.TopicCount {
		return wire.Update{Topic: fetch.Topic}
	}
	updates := t.UpdatesFor(fetch.Topic, fetch.Have)
	switch len(updates) {
	case 0:
		return wire.Update{Topic: fetch.Topic, To: t.topics[fetch.Topic].version}
	case 1:
		return updates[0]
	}
	return t.topics[fetch.Topic].update(fetch.Topic)
}

// Named takes note of versions that exist somewhere.
func (t *Topics) Named(now time.Duration, heads []wire.Version) {
	for i, head := range VersionsOf(heads) {
		topic := &t.topics[i]
		if !topic.head.Less(head) {
			continue
		}
		if !topic.version.Less(topic.head) { // nothing was missing so far
			topic.attempts, topic.next = 0, now+repairDelay
		}
		topic.head = head
	}
}

// Repair is one topic to be fetched.
type Repair struct {
	Topic    wire.Topic
	Have     wire.Version
	Head     wire.Version // that was named
	Attempts int          // fetches of it before
}

// Repairs lists what has been missing for too long, each again after a while that doubles: an answer that is slow to come is not hastened
// by another one behind it.
func (t *Topics) Repairs(now time.Duration) []Repair {
	var repairs []Repair
	for i := range t.topics {
		topic := &t.topics[i]
		if !topic.version.Less(topic.head) || now < topic.next {
			continue
		}
		repair := Repair{Topic: wire.Topic(i), Head: topic.head, Attempts: topic.attempts}
		if !topic.corrupt {
			repair.Have = topic.version
		}
		repairs = append(repairs, repair)
		topic.next = now + repairInterval<<min(topic.attempts, maxDoublings)
		topic.attempts++
	}
	return repairs
}

// Next is when Repairs has something to say, if nothing happens before.
func (t *Topics) Next() (time.Duration, bool) {
	var next time.Duration
	found := false
	for i := range t.topics {
		topic := &t.topics[i]
		if topic.version.Less(topic.head) && (!found || topic.next < next) {
			next, found = topic.next, true
		}
	}
	return next, found
}
