// Package placement decides on which stores the partitions of the queue lie. It is pure: the agreed view and the stores that live go in, the
// next view comes out.
//
// A partition has complete replicas, of which the first is the primary; joining stores, which get all new writes and are filled with the old
// ones; and former members, which may have what others lack. Plan removes stores that are down, promotes joining ones that are complete, makes
// up for what is missing, spreads the replicas over failure domains or gathers them in one zone, balances them, and chooses primaries. A complete replica that lives is
// dropped only once enough others may be counted on (docs/control-safety.md, S4).
package placement
