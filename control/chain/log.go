package chain

import "ravendale/control/view"

// replicaLog holds the member's entries after State.Base; the machine's snapshot covers the earlier ones. The
// sequence numbers are ordered:
//
//	Base <= applied <= committed <= synced <= last
type replicaLog struct {
	state       State
	committed   uint64 // known to be committed
	applied     uint64 // handed out to be applied: the machine's snapshot covers entries up to this one
	synced      uint64 // on disk
	truncations uint64 // number of times entries were discarded, which invalidates earlier LogOffsets
}

func newLog(state State) replicaLog {
	l := replicaLog{state: state, committed: state.Base, applied: state.Base}
	l.synced = l.last()
	return l
}

// LogOffset is a position in the log up to which a write covers it. It is opaque to callers.
type LogOffset struct {
	last         uint64
	truncations  uint64
	alignedEpoch uint64 // epoch in which the log follows the predecessor's, zero if it does not yet
}

// Replay applies a write to the state, as is done for each write that is read from disk.
func (s *State) Replay(w *Write) {
	if w.Truncate && w.TruncateAfter >= s.Base && w.TruncateAfter-s.Base < uint64(len(s.Entries)) {
		s.Entries = s.Entries[:w.TruncateAfter-s.Base]
	}
	s.Entries = append(s.Entries, w.Entries...)
	if w.CompleteEpoch != 0 {
		s.CompleteEpoch = w.CompleteEpoch
	}
}

// Follow applies a decided view: if the view lists the member as complete, the state is complete in the view's epoch.
func (s *State) Follow(self view.ID, v *view.View) {
	if position := v.Position(self); position >= 0 && position < v.Complete {
		s.CompleteEpoch = v.Epoch
	}
}

func (l *replicaLog) last() uint64 { return l.state.Base + uint64(len(l.state.Entries)) }

// canResumeAfter reports whether a Fill can start after an entry: the entry is synced, and the log has its epoch and
// all entries after it.
func (l *replicaLog) canResumeAfter(sequence uint64) bool {
	return sequence >= l.state.Base && sequence <= l.synced
}

func (l *replicaLog) epochAt(sequence uint64) uint64 {
	if sequence == l.state.Base {
		return l.state.BaseEpoch
	}
	return l.state.Entries[sequence-l.state.Base-1].Epoch
}

// between returns the entries after from, up to and including to.
func (l *replicaLog) between(from, to uint64) []Entry {
	if from >= to {
		return nil
	}
	return append([]Entry(nil), l.state.Entries[from-l.state.Base:to-l.state.Base]...)
}

// extend appends an entry with the next sequence number, and returns it to be written.
func (l *replicaLog) extend(entry Entry) []Entry {
	entry.Sequence = l.last() + 1
	l.state.Entries = append(l.state.Entries, entry)
	return []Entry{entry}
}

// compact drops the entries that were handed out to be applied, and returns the state.
func (l *replicaLog) compact() State {
	if l.applied > l.state.Base {
		epoch := l.epochAt(l.applied)
		remaining := l.state.Entries[l.applied-l.state.Base:]
		l.state.Entries = append([]Entry(nil), remaining...)
		l.state.Base, l.state.BaseEpoch = l.applied, epoch
	}
	return l.state
}

// install replaces the log by the base of a snapshot and the entries after it.
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

// uncommittedBytes returns the total size of the commands that are not committed yet.
func (l *replicaLog) uncommittedBytes() int {
	size := 0
	for i := l.committed - l.state.Base; i < uint64(len(l.state.Entries)); i++ {
		size += len(l.state.Entries[i].Command)
	}
	return size
}
