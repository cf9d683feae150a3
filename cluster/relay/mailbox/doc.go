// Package mailbox queues events from many goroutines for the one that handles them, in order. Posting never blocks, so
// it is safe in any callback.
package mailbox
