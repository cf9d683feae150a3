// Package rpctest has connections for tests that need no peer.
package rpctest

import "ravendale/cluster/rpc"

// discard is a transport that loses all frames.
type discard struct{}

// WriteFrame implements rpc.Transport.
func (discard) WriteFrame([]byte) {}

// Close implements rpc.Transport.
func (discard) Close() {}

// Opened returns a connection that this process has opened. What is sent on it is lost.
func Opened() *rpc.Conn { return rpc.NewWithTransport(rpc.Options{}, discard{}) }

// Accepted returns a connection that this process has accepted, with its order among the accepted ones. What is sent on
// it is lost.
func Accepted(order uint64) *rpc.Conn {
	return rpc.AcceptWithTransport(rpc.Options{}, discard{}, order)
}
