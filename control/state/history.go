package state

import (
	"crypto/sha256"
	"encoding/binary"
)

//go:generate go run github.com/tinylib/msgp -file history.go -o history_gen.go -tests=false -unexported

//msgp:tuple entry
//msgp:ignore history

// historyLength is how many of the newest orders that were applied are known again when they come again. An older one can't be told
// from one that never was applied: history.mayHaveDropped.
const historyLength = 8192

// digestSize is the length of a digest in bytes.
const digestSize = 16

// digest names an order by what it holds: two orders with the same digest are the same.
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

// entry is an order that was applied.
type entry struct {
	Digest  digest
	Version uint64 // that it made
}

// history holds the newest orders that were applied, oldest first but for the wrap at next.
type history struct {
	entries []entry
	next    int // where the next one goes once all are in use
	limit   int // most entries kept
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

// mayHaveDropped says whether an order that is not found may have been applied all the same, so long ago that it was dropped. Total is
// how many ever were. Versions climb, so an order that was dropped builds on a version below the one that the oldest kept entry made.
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

// inOrder lists the orders, oldest first.
func (h *history) inOrder() []entry {
	ordered := make([]entry, 0, len(h.entries))
	ordered = append(ordered, h.entries[h.next:]...)
	return append(ordered, h.entries[:h.next]...)
}
