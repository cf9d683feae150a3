package relay

import (
	"errors"
	"time"

	"ravendale/cluster/relay/delta"
	"ravendale/cluster/wire"
)

// Limits and timing of Topics.
const (
	maxDeltas      = 8                      // kept for each topic
	repairDelay    = 300 * time.Millisecond // from learning of a newer version to the first fetch
	repairInterval = 400 * time.Millisecond // doubled with each further fetch of the same topic
	maxDoublings   = 3
)

// ErrGap is returned for a delta whose base is not the topic's current version.
var ErrGap = errors.New("relay: delta applies to another version than the current one")

// Versions holds a version of each topic.
type Versions [wire.TopicCount]wire.Version

// VersionsOf converts a list from a message; missing entries are the zero Version.
func VersionsOf(list []wire.Version) Versions {
	var versions Versions
	copy(versions[:], list)
	return versions
}

// List returns the versions as a list for a message.
func (v Versions) List() []wire.Version { return append([]wire.Version(nil), v[:]...) }

type topic struct {
	version           wire.Version
	payload           []byte
	compressedPayload []byte        // nil until the full topic is requested, and if compression does not shorten it
	compressionTried  bool          // compressedPayload was computed for this payload
	deltas            []wire.Update // oldest first; the last one leads to version
	head              wire.Version  // the newest version that is known to exist
	attempts          int           // fetches since a version went missing
	fetchAt           time.Duration // time of the next fetch
	corrupt           bool          // a delta could not be applied: fetch the full topic
}

// Topics holds the newest version of each topic and the recent deltas that led to it.
type Topics struct{ topics [wire.TopicCount]topic }

// Versions returns the current version of each topic.
func (t *Topics) Versions() Versions {
	var versions Versions
	for i := range t.topics {
		versions[i] = t.topics[i].version
	}
	return versions
}

// Payload returns the newest payload of a topic. It is shared and must not be modified.
func (t *Topics) Payload(which wire.Topic) []byte { return t.topics[which].payload }

// Publish sets a topic's newest version, and reports whether it is newer than the current one.
func (t *Topics) Publish(which wire.Topic, version wire.Version, payload []byte) bool {
	topic := &t.topics[which]
	if !topic.version.Less(version) {
		return false
	}
	if change, ok := makeDelta(topic, which, version, payload); ok {
		topic.addDelta(change, len(payload))
	} else {
		topic.deltas = nil
	}
	topic.set(version, payload)
	return true
}

func (t *topic) set(version wire.Version, payload []byte) {
	t.version, t.payload = version, payload
	t.compressedPayload, t.compressionTried = nil, false
}

// update returns an update with the full topic, compressed if that is shorter.
func (t *topic) update(which wire.Topic) wire.Update {
	if !t.compressionTried && len(t.payload) >= minCompressedSize {
		t.compressedPayload = compress(t.payload)
	}
	t.compressionTried = true
	if t.compressedPayload != nil {
		return wire.Update{Topic: which, To: t.version, Compressed: true, Payload: t.compressedPayload}
	}
	return wire.Update{Topic: which, To: t.version, Payload: t.payload}
}

func makeDelta(topic *topic, which wire.Topic, version wire.Version, full []byte) (wire.Update, bool) {
	if topic.payload == nil {
		return wire.Update{}, false
	}
	payload, err := delta.Make(topic.payload, full)
	if err != nil || len(payload) >= len(full) {
		return wire.Update{}, false
	}
	return wire.Update{Topic: which, From: topic.version, To: version, Delta: true, Payload: payload}, true
}

// addDelta appends a delta. It drops the oldest ones so that at most maxDeltas remain and their total size does not
// exceed the full topic's.
func (t *topic) addDelta(change wire.Update, fullSize int) {
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

// Apply applies an update, and reports whether that changed the topic to a newer version.
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
	topic.addDelta(*update, len(payload))
	topic.set(update.To, payload)
	return true, nil
}

// UpdatesFor returns the updates that lead from version have to the newest one: none, deltas, or the full topic.
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

// Answer returns the answer to a Fetch, which is always a single update.
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

// RecordHeads records versions that are known to exist. Repairs returns those that do not arrive.
func (t *Topics) RecordHeads(now time.Duration, heads []wire.Version) {
	for i, head := range VersionsOf(heads) {
		topic := &t.topics[i]
		if !topic.head.Less(head) {
			continue
		}
		if !topic.version.Less(topic.head) { // the topic was up to date so far
			topic.attempts, topic.fetchAt = 0, now+repairDelay
		}
		topic.head = head
	}
}

// Repair is one topic to be fetched.
type Repair struct {
	Topic    wire.Topic
	Have     wire.Version
	Head     wire.Version // newest version known to exist
	Attempts int          // earlier fetches since a version went missing
}

// Repairs returns the topics whose newest version has been missing for too long. The interval between fetches of a
// topic doubles up to maxDoublings times, since a further request does not speed up an answer that is slow to arrive.
func (t *Topics) Repairs(now time.Duration) []Repair {
	var repairs []Repair
	for i := range t.topics {
		topic := &t.topics[i]
		if !topic.version.Less(topic.head) || now < topic.fetchAt {
			continue
		}
		repair := Repair{Topic: wire.Topic(i), Head: topic.head, Attempts: topic.attempts}
		if !topic.corrupt {
			repair.Have = topic.version
		}
		repairs = append(repairs, repair)
		topic.fetchAt = now + repairInterval<<min(topic.attempts, maxDoublings)
		topic.attempts++
	}
	return repairs
}

// Next returns when Repairs is due if no event occurs before, and whether it is due at all.
func (t *Topics) Next() (time.Duration, bool) {
	var next time.Duration
	found := false
	for i := range t.topics {
		topic := &t.topics[i]
		if topic.version.Less(topic.head) && (!found || topic.fetchAt < next) {
			next, found = topic.fetchAt, true
		}
	}
	return next, found
}
