package state

import (
	"crypto/sha256"
	"encoding/binary"
)

//go:generate go run github.com/tinylib/msgp -file history.go -o history_gen.go -tests=false -unexported

//msgp:tuple entry
//msgp:ignore history

// historyLength is the number of most recently applied configuration changes whose duplicates are recognized. A
// duplicate of an older change cannot be distinguished from a change that was never applied: see
// history.mayHaveDropped.
const historyLength = 8192

// digestSize is the length of a digest in bytes.
const digestSize = 16

// digest identifies a configuration change by its content: two changes with the same digest are duplicates.
type digest [digestSize]byte

func digestOf(kind Kind, base uint64, body []byte) digest {
	hash := sha256.New()
	var head [9]byte
	head[0] = byte(kind)
	binary.BigEndian.PutUint64(head[1:], base)
	hash.Write(head[:])
	hash.Write(body)
	var sum [sha256.Size]byte
	return digest(hash.Sum(sum[:0])[:digestSize])
}

// entry is a configuration change that was applied.
type entry struct {
	Digest  digest
	Version uint64 // of the configuration that it resulted in
}

// history is a ring buffer of the most recently applied configuration changes.
type history struct {
	entries []entry
	next    int // index of the oldest entry, which the next one overwrites once there are limit entries
	limit   int // maximum number of entries
}

func (h *history) add(d digest, version uint64) {
	added := entry{Digest: d, Version: version}
	if len(h.entries) < h.limit {
		h.entries = append(h.entries, added)
		return
	}
	h.entries[h.next] = added
	h.next = (h.next + 1) % h.limit
}

// mayHaveDropped reports whether a change based on version base that find did not find may have been applied and its
// entry overwritten since. Total is the number of changes ever applied. Versions increase, so the base of every dropped
// change is below the version that the oldest remaining entry resulted in.
func (h *history) mayHaveDropped(base, total uint64) bool {
	if total <= uint64(len(h.entries)) {
		return false
	}
	return len(h.entries) == 0 || base < h.entries[h.next%len(h.entries)].Version
}

func (h *history) find(d digest) (version uint64, ok bool) {
	for i := range h.entries {
		if h.entries[i].Digest == d {
			return h.entries[i].Version, true
		}
	}
	return 0, false
}

// oldestFirst returns the entries, oldest first.
func (h *history) oldestFirst() []entry {
	ordered := make([]entry, 0, len(h.entries))
	ordered = append(ordered, h.entries[h.next:]...)
	return append(ordered, h.entries[:h.next]...)
}
