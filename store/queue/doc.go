// Package queue is the durable queue of one store, as a pure core: it is told of events and of the time, and acts through the
// interfaces Journal, Host and Remote. It has no clock, goroutine, socket or file of its own.
//
// Replication. The primary of a partition alone decides. It applies a change, appends it to its journal and sends it to all other
// members of the partition; the change counts once all have it on disk. What a primary sends overwrites what a member has.
//
// Takeover. A new primary, or one that has restarted, first compares its content with that of each other replica, takes over what
// only they have, and sends them what they lack. It hands out nothing before that, and before edges had the time to claim
// what they hold. The same comparison fills joining members, and repairs what a scrub finds.
//
// Handing out. All members know of each pending message which edge put it, or was granted it last. A message without a holder goes to
// that edge first, as long as it is connected: it may have ended it, and then says so. Others get it once that edge has gone, or
// has given it back.
//
// Forgetting. Changes that end messages are numbered. The primary forgets ends in that order, and the number of the last one that
// it has forgotten goes along with each comparison: members forget exactly the same.
package queue

//go:generate go run github.com/tinylib/msgp -file record.go -o record_gen.go -tests=false
//go:generate go run github.com/tinylib/msgp -file protocol.go -o protocol_gen.go -tests=false
