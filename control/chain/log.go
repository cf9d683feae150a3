package chain

import "ravendale/control/view"

// replicaLog is the member's entries, those before State.Base apart, which the machine's snapshot covers.
//
//	Base <= applied <= committed <= synced <= last
type replicaLog struct {
	state       State
	committed   uint64 // known to be committed
	applied     uint64 // handed out to be applied: the machine's snapshot reaches up to here
	synced      uint64 // on disk
	truncations uint64 // how often entries were thrown away: what was written before then says nothing of the entries after
}

func newLog(state State) replicaLog {
	l := replicaLog{state: state, committed: state.Base, applied: state.Base}
	l.synced = l.last()
	return l
}

// LogOffset is the watermark up to which a write covers the log. It is opaque to callers.
type LogOffset struct {
	last         uint64
	truncations  uint64
	alignedEpoch uint64 // epoch in which the log had been made to follow the predecessor's, zero if it had not
}

// Replay applies a write, as when it is read from disk.
func (s *State) Replay(w *Write) {
	if w.Truncate && w.TruncateAfter >= s.Base && w.TruncateAfter-s.Base < uint64(len(s.Entries)) {
		s.Entries = s.Entries[:w.TruncateAfter-s.Base]
	}
	s.Entries = append(s.Entries, w.Entries...)
	if w.CompleteEpoch != 0 {
		s.CompleteEpoch = w.CompleteEpoch
	}
}

// Follow applies a decided view: the members that it names complete are complete in its epoch.
func (s *State) Follow(self view.ID, v *view.View) {
	if position := v.Position(self); position >= 0 && position < v.Complete {
		s.CompleteEpoch = v.Epoch
	}
}

func (l *replicaLog) last() uint64 { return l.state.Base + uint64(len(l.state.Entries)) }

// has says whether the epoch of an entry is known, and what follows it.
func (l *replicaLog) has(sequence uint64) bool {
	return sequence >= l.state.Base && sequence <= l.synced
}

func (l *replicaLog) epochAt(sequence uint64) uint64 {
	if sequence == l.state.Base {
		return l.state.BaseEpoch
	}
	return l.state.Entries[sequence-l.state.Base-1].Epoch
}

// between returns the entries after from, up to to.
func (l *replicaLog) between(from, to uint64) []Entry {
	if from >= to {
		return nil
	}
	return append([]Entry(nil), l.state.Entries[from-l.state.Base:to-l.state.Base]...)
}

// extend appends an entry with the next sequence, and returns it to be written.
func (l *replicaLog) extend(entry Entry) []Entry {
	entry.Sequence = l.last() + 1
	l.state.Entries = append(l.state.Entries, entry)
	return []Entry{entry}
}

// compact drops the entries that were handed out to be applied.
func (l *replicaLog) compact() State {
	if l.applied > l.state.Base {
		epoch := l.epochAt(l.applied)
		kept := l.state.Entries[l.applied-l.state.Base:]
		l.state.Entries = append([]Entry(nil), kept...)
		l.state.Base, l.state.BaseEpoch = l.applied, epoch
	}
	return l.state
}

// install replaces the log by that of a snapshot and what follows it.
func (l *replicaLog) install(message *Fill) {
	l.state = State{Base: message.From, BaseEpoch: message.FromEpoch, Entries: message.Entries}
	l.committed, l.applied = message.From, message.From
	l.truncations++
	l.synced = message.From
}

// replay applies a write to the log in memory.
func (l *replicaLog) replay(write *Write) {
	if write.Truncate {
		l.truncations++
		l.synced = min(l.synced, write.TruncateAfter)
	}
	l.state.Replay(write)
}

// uncommittedBytes is how many bytes of commands wait to be committed.
func (l *replicaLog) uncommittedBytes() int {
	size := 0
	for i := l.committed - l.state.Base; i < uint64(len(l.state.Entries)); i++ {
		size += len(l.state.Entries[i].Command)
	}
	return size
}
