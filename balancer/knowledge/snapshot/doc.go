// Package snapshot keeps what a scheduler saw in a file, for the process that starts in its place: one more donor, of the
// file's age. A file is complete or refused.
package snapshot
