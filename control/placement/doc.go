// Package placement decides which stores hold which partition of the queue. It is pure: it computes the next view from
// the agreed view and the stores that are live, without I/O or clock.
//
// A partition has complete replicas, the first of which is the primary; joining stores, which receive all new writes
// and are being filled with the older ones; and former members, which may hold writes that the current members lack.
// Plan removes stores that are down, promotes joining stores that have become complete, adds joining stores where
// replicas are missing, spreads the replicas over failure domains or colocates them in one zone, balances them over the
// stores, and chooses the primaries. A live complete replica is dropped only if at least Copies usable replicas remain
// (docs/control-safety.md, S4).
package placement
