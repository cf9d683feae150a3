package wire

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxMessageID is the maximum length in bytes of a message ID, which clients receive.
const MaxMessageID = 64

// MessageID returns the ID of a message in a partition. The suffix must be unique and consist of letters, digits, '-',
// '_' and '.'.
func MessageID(partition uint16, suffix string) string {
	return strconv.FormatUint(uint64(partition), 36) + "." + suffix
}

// PartitionOf returns the partition encoded in an ID from MessageID, and reports whether the ID is valid.
func PartitionOf(id string) (uint16, bool) {
	head, rest, found := strings.Cut(id, ".")
	if !found || rest == "" || len(id) > MaxMessageID {
		return 0, false
	}
	n, err := strconv.ParseUint(head, 36, 16)
	if err != nil {
		return 0, false
	}
	return uint16(n), true
}

// PartitionOfKey returns which of count partitions holds all messages with an order key. It does not depend on the
// route, so that the order is kept when one route replaces another.
func PartitionOfKey(key string, count int) uint16 {
	if count <= 0 {
		return 0
	}
	return uint16(xxhash.Sum64String(key) % uint64(count))
}
