// Package rpc carries typed messages between processes: msgpack bodies in length-prefixed frames over TCP. Both ends of a connection may call.
//
// A frame is the length of the rest (4 bytes, big endian), its kind (1), the method (2), the number of the call (4) and the message. A Conn is
// one connection, a Link one that is made again whenever it is lost, a Server accepts them, and a Mux says who handles which method. The
// package resolves no names, retries nothing and chooses no peers: who talks to whom is decided above it.
package rpc
