// Package frames implements the encoding of messages between schedulers: binary frames, each with a version, a limited
// size and a MAC (HMAC-SHA-256, RFC 2104) under a shared key. The content is up to the package's user. It does no I/O.
//
// A frame, integers big-endian:
//
//	magic "RVKN" | version 1 | kind | key id (4) | session (16) | number (8) | length (4) | content | MAC (32)
//
// The MAC covers everything before it. The session is derived from random values that both ends drew when the
// connection began, so that frames of another connection or of the other direction are rejected. The number starts at 0
// and increases by one per frame, so that repeated, omitted and reordered frames are rejected.
package frames
