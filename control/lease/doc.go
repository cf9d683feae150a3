// Package lease grants one member of the core at a time the leader lease. Voters grant it for a time on their own steady clocks; its
// holder counts from when it asked, and stops a margin early, so that clocks may run apart by a few hundredths.
//
// A voter that has just started has forgotten when its last grant ends. It keeps on disk, written before the answer that gives it, the
// one disk that it granted last (PreviousGrant), and for the length of a lease grants only to that one. So the leader of a core that was
// restarted as a whole leads again at once, and any other waits. There are never two holders:
//
//   - Of different disks. Two holders have a majority each, so some voter granted to both, and to the second only when the grant to the
//     first had ended or had been given back. If it was not restarted in between, it knew that. If it was, the first is not what its
//     PreviousGrant names, or else the second got its grant a whole lease after the start, hence after the end of what was granted
//     before the start. PreviousGrant names the first as soon as that has an answer; it names another only once that other may be granted too.
//   - Of one disk. A process takes its disk over only when the process that had it before has ended, and with it its lease: the
//     address on which all listen before they speak is held by one. Each incarnation has a number, which requests, replies and releases carry, so that
//     what is still on its way from or to an earlier incarnation neither prolongs nor ends a lease of this one.
//   - A frozen process that is woken finds by its steady clock that its lease is over, and asks before it acts.
//   - A disk that was wiped, or is new, has another identity: it never was granted anything, and as a voter it is of another view.
//   - Where voters change, majorities of old and new need not meet. Then PreviousGrant becomes the one that can hold a lease of the old voters, as
//     the view names it, or unknown; a voter that starts derives the same from the view on its disk.
//   - Two processes on copies of one disk are beyond this, as they are beyond the promises of package view.
package lease
