// Package mailbox brings events from many goroutines to the one that handles them, in order. Posting never waits, so it may be done from any
// callback.
package mailbox
