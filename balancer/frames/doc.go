// Package frames is the form in which schedulers talk to one another: binary frames, each with a version, a bound on its size
// and a MAC (HMAC-SHA-256, RFC 2104) under a shared key. What a frame says is its user's. It does no I/O.
//
// A frame, integers big-endian:
//
//	magic "RVKN" | version 1 | kind | key id (4) | session (16) | number (8) | length (4) | content | MAC (32)
//
// The MAC covers everything before it. Session is what both ends drew at the begin of a connection, so that no frame of
// another connection, or of the other direction, is taken; number counts up by one from 0, so that none is taken twice, left
// out or moved.
package frames
