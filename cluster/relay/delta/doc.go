// Package delta says how one byte string becomes another, in fewer bytes where they have much in common. It knows nothing of what the bytes
// mean. A delta has the length and the checksum of its result, so that one that is applied to another base is an error.
package delta
