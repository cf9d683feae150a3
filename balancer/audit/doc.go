// Package audit is the record of what each scheduler of a fleet acted on, and the reading of many such records as one
// timeline. A record is a folder of segments, text files with an entry a line, each line under a hash that chains it to the
// one before: a missing, reordered or altered entry is found, and one that a crash left incomplete is told from that.
package audit
