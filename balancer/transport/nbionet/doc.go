// Package nbionet implements package transport on the core engine of lesismal/nbio. The poller passes data that it has
// read to the owner directly, in a turn of its own (Turns.Begin); all other events are posted to the owner.
package nbionet
