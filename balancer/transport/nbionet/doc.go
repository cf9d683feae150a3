// Package nbionet serves package transport on the core engine of lesismal/nbio. What its poller reads it hands to the
// owner in a turn of its own (Turns.Begin); everything else is posted.
package nbionet
