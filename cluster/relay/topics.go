package relay

import (
	"errors"
	"time"

	"ravendale/cluster/relay/delta"
	"ravendale/cluster/wire"
)

// Limits of what Topics keeps beside the newest versions.
const (
	keptDeltas  = 8 // of a topic
	repairAfter = 300 * time.Millisecond
	repairAgain = 400 * time.Millisecond // doubled with each further fetch of the same topic
	mostDoubled = 3
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
	version wire.Version
	whole   []byte
	short   []byte        // the whole, compressed, once it was asked for; nil if that is not shorter
	tightly bool          // short was made
	deltas  []wire.Update // in order, the last ends at version
	head    wire.Version  // the newest that was named
	tried   int           // fetches since then
	next    time.Duration // when to fetch
	broken  bool          // a change did not fit: fetch the whole
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

// Whole is the newest payload of a topic. It is shared: nobody may change it.
func (t *Topics) Whole(which wire.Topic) []byte { return t.topics[which].whole }

// Publish sets a topic's newest version, and says whether it is newer than what was at hand.
func (t *Topics) Publish(which wire.Topic, version wire.Version, whole []byte) bool {
	topic := &t.topics[which]
	if !topic.version.Less(version) {
		return false
	}
	if change, ok := difference(topic, which, version, whole); ok {
		topic.remember(change, len(whole))
	} else {
		topic.deltas = nil
	}
	topic.set(version, whole)
	return true
}

func (t *topic) set(version wire.Version, whole []byte) {
	t.version, t.whole = version, whole
	t.short, t.tightly = nil, false
}

// update brings the whole.
func (t *topic) update(which wire.Topic) wire.Update {
	if !t.tightly && len(t.whole) >= compressFrom {
		t.short = compress(t.whole)
	}
	t.tightly = true
	if t.short != nil {
		return wire.Update{Topic: which, To: t.version, Compressed: true, Payload: t.short}
	}
	return wire.Update{Topic: which, To: t.version, Payload: t.whole}
}

func difference(topic *topic, which wire.Topic, version wire.Version, whole []byte) (wire.Update, bool) {
	if topic.whole == nil {
		return wire.Update{}, false
	}
	payload, err := delta.Make(topic.whole, whole)
	if err != nil || len(payload) >= len(whole) {
		return wire.Update{}, false
	}
	return wire.Update{Topic: which, From: topic.version, To: version, Delta: true, Payload: payload}, true
}

// remember keeps a change as long as all those kept are less than the whole.
func (t *topic) remember(change wire.Update, whole int) {
	t.deltas = append(t.deltas, change)
	size := 0
	for i := len(t.deltas) - 1; i >= 0; i-- {
		size += len(t.deltas[i].Payload)
		if size > whole || len(t.deltas)-i > keptDeltas {
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
		whole, err := Payload(update)
		if err != nil {
			return false, err
		}
		topic.deltas, topic.broken = nil, false
		topic.set(update.To, whole)
		return true, nil
	}
	if update.From != topic.version {
		return false, ErrGap
	}
	whole, err := delta.Apply(topic.whole, update.Payload)
	if err != nil {
		topic.broken = true
		return false, err
	}
	topic.remember(*update, len(whole))
	topic.set(update.To, whole)
	return true, nil
}

// UpdatesFor is what brings one that has a version to the newest: nothing, changes, or the whole.
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
			topic.tried, topic.next = 0, now+repairAfter
		}
		topic.head = head
	}
}

// Repair is one topic to be fetched.
type Repair struct {
	Topic wire.Topic
	Have  wire.Version
	Head  wire.Version // that was named
	Tried int          // fetches of it before
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
		repair := Repair{Topic: wire.Topic(i), Head: topic.head, Tried: topic.tried}
		if !topic.broken {
			repair.Have = topic.version
		}
		repairs = append(repairs, repair)
		topic.next = now + repairAgain<<min(topic.tried, mostDoubled)
		topic.tried++
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
