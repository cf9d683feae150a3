// Package transport defines the network interfaces that the protocol packages use. All methods are called only on the
// loop's goroutine. Package nbionet implements them on real sockets; tests implement them in memory.
package transport
