// Package lease grants the leader lease to one member of the core at a time. Voters grant it for a fixed duration,
// measured on their own monotonic clocks. The holder measures the duration from the time of its request and stops a
// margin earlier, so that clock rates may differ by a few hundredths.
//
// A voter that has just started doesn't know when its last grant ends. So before it sends an answer that grants the
// lease, it stores which disk it granted the lease to (PreviousGrant), and for one lease duration after its start it
// grants the lease only to that disk. The leader of a core that was restarted as a whole can therefore become leader
// again at once, while any other candidate has to wait. There are never two holders:
//
//   - On different disks. Two holders each have grants of a majority, so at least one voter granted the lease to
//     both, and to the second only when the grant to the first had ended or had been released. If the voter was not
//     restarted in between, it knew the first grant. If it was, then either its PreviousGrant doesn't name the first
//     holder, or the second got its grant a full lease duration after the restart, hence after the end of any grant
//     made before the restart. PreviousGrant names the first holder as soon as that has an answer; it names another
//     only once the lease may be granted to that other, too.
//   - On one disk. A process uses a disk only when the process that used it before has ended, and with it its lease:
//     all of them listen on the same address before they send anything, and only one process can hold that address.
//     Each incarnation has a number, which requests, replies and releases carry, so that messages in flight from or
//     to an earlier incarnation neither extend nor end a lease of the current one.
//   - A process that was suspended and resumes sees on its monotonic clock that its lease has expired, and requests
//     it again before it acts.
//   - A disk that was wiped, or is new, has another identity: it was never granted a lease, and as a voter it belongs
//     to another view.
//   - When the voters change, majorities of the old and the new voters need not intersect. PreviousGrant then becomes
//     the member that can hold a lease of the old voters, as named by the view, or unknown; a voter that starts
//     derives the same from the view on its disk.
//   - Two processes on copies of one disk are not covered, as they are not covered by the promises of package view.
package lease
