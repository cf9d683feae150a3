// Package link implements the connection between two members of a fleet, and between a member and an operator's tool:
// frames authenticated by a shared key (package frames) on any stream. A peer without the key is rejected at its first
// frame. A frame that is altered, out of order or from another connection ends the connection.
package link
