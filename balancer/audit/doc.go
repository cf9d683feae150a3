// Package audit writes the audit record of a scheduler in a fleet, and reads the records of many schedulers as one
// timeline. A record consists of segments, text files with one entry per line. Each line begins with a hash that chains
// it to the previous line, so that missing, reordered and altered entries are detected, and distinguished from an entry
// truncated by a crash.
package audit
