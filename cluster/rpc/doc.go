// Package rpc sends typed messages between processes: msgpack bodies in length-prefixed frames over TCP. Both ends of a
// connection may call.
//
// A frame consists of the length of the rest (4 bytes, big endian), the kind (1), the method (2), the call number (4)
// and the message. A Conn is one connection, a Link reconnects whenever its connection is lost, a Server accepts
// connections, and a Mux maps methods to handlers. The package does not resolve names, retry calls or choose peers; its
// callers do.
package rpc
