// Package transport is what the protocol packages see of the network. Everything in it is called by the loop's goroutine alone;
// package nbionet serves it on real sockets, and tests on connections in memory.
package transport
