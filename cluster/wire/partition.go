package wire

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxMessageID is the longest name of a message, in bytes, that clients may get.
const MaxMessageID = 64

// MessageID makes the name of a message that lies in a partition. The suffix must be unique, of letters, digits, '-', '_' and '.'.
func MessageID(partition uint16, suffix string) string {
	return strconv.FormatUint(uint64(partition), 36) + "." + suffix
}

// PartitionOf reads the partition off a name made by MessageID, and says whether it is one.
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

// PartitionOfKey is the partition, of count, in which all messages with an order key lie, whatever their route: a route
// that is replaced by another keeps the order.
func PartitionOfKey(key string, count int) uint16 {
	if count <= 0 {
		return 0
	}
	return uint16(xxhash.Sum64String(key) % uint64(count))
}
