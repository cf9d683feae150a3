// Package link is the connection between two members of a fleet, and between a member and its operator's tool: frames under a
// shared key (package frames) on any stream. Whoever has no key is refused by his first frame; a frame of another connection,
// out of its turn or changed ends the connection.
package link
