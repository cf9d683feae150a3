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
	return strconv.FormatUint(uint64(partition), idBase) + "." + suffix
}

// The encoding of numbers in message IDs.
const (
	idBase           = 36
	versionSeparator = "_"
)

// VersionedMessageID is like MessageID. The ID also has the version of the configuration under which the message is
// accepted, so that every process that handles the message knows it, whichever version of the program has stored or
// forwarded the message. The suffix must not contain '_'. Version 0 gives an ID without a version.
func VersionedMessageID(partition uint16, suffix string, configVersion uint64) string {
	if configVersion == 0 {
		return MessageID(partition, suffix)
	}
	return MessageID(partition, suffix) + versionSeparator + strconv.FormatUint(configVersion, idBase)
}

// ConfigVersionOf returns the version of the configuration under which a message was accepted. It is 0 if the ID does
// not have it: a process of an earlier version of the program accepted the message.
func ConfigVersionOf(id string) uint64 {
	at := strings.LastIndex(id, versionSeparator)
	if at < 0 {
		return 0
	}
	version, err := strconv.ParseUint(id[at+len(versionSeparator):], idBase, 64)
	if err != nil {
		return 0
	}
	return version
}

// PartitionOf returns the partition encoded in an ID from MessageID, and reports whether the ID is valid.
func PartitionOf(id string) (uint16, bool) {
	head, rest, found := strings.Cut(id, ".")
	if !found || rest == "" || len(id) > MaxMessageID {
		return 0, false
	}
	n, err := strconv.ParseUint(head, idBase, 16)
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
