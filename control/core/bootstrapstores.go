package core

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"ravendale/control/view"
)

// Timing of a bootstrap on stores.
const (
	bootstrapQuietTime     = 300 * time.Millisecond  // without a further store, once there are enough
	bootstrapMaxWait       = 1500 * time.Millisecond // without a further store, while there are fewer than required
	bootstrapStagger       = 2 * time.Second         // additional wait per seed with a lower address
	bootstrapRetryInterval = 200 * time.Millisecond
)

// storeBootstrap decides the first view of a core whose voters are stores, by single-decree Paxos. The acceptors are
// the seeds. Since they have no disk, they keep their votes in memory and vote only in their first incarnation.
type storeBootstrap struct {
	seeds           view.View     // view of epoch 0 whose voters are the seeds
	seenSeeds       []string      // addresses of the other seeds from which a heartbeat was received
	allSeenAt       time.Duration // when a heartbeat of the last of them was received; negative: not yet
	seedHasDisk     bool          // a seed has a disk, so that the core is not bootstrapped on stores
	vote            view.Vote
	proposer        *view.Proposer
	ballotNumber    uint64
	retryAt         time.Duration
	storeCount      int           // number of stores that may become voters
	storesChangedAt time.Duration // when storeCount last changed
}

// newStoreBootstrap returns nil for a process that is not an acceptor of the bootstrap.
func newStoreBootstrap(config *nodeConfig) *storeBootstrap {
	if config.Disk || !config.Bootstrap && !config.mutations.seedForgetsVote || !slices.Contains(config.Seeds, config.Address) {
		return nil
	}
	b := &storeBootstrap{allSeenAt: -1}
	for _, address := range config.Seeds {
		b.seeds.Voters = append(b.seeds.Voters, view.Member{ID: seedID(address), Address: address})
	}
	slices.SortFunc(b.seeds.Voters, byAddress)
	b.seeds.Voters = slices.Compact(b.seeds.Voters)
	return b
}

// seedID identifies a seed in the bootstrap by its address, since it has no disk that an identity could be read from.
func seedID(address string) view.ID { return view.ID(xxhash.Sum64String(address) | 1) }

// bootstrapsOnStores reports whether it is this node's turn to bootstrap the core with stores as members: no seed has a
// disk, and each seed with a lower address has had bootstrapStagger to do it.
func (n *node) bootstrapsOnStores(now time.Duration) bool {
	b := n.storeBootstrap
	if b == nil || n.view.Epoch != 0 || b.seedHasDisk || b.allSeenAt < 0 {
		return false
	}
	turn := slices.IndexFunc(b.seeds.Voters, func(member view.Member) bool { return member.Address == n.self.Address })
	return now >= b.allSeenAt+time.Duration(turn)*bootstrapStagger
}

// observeSeeds records from which seeds a heartbeat was received.
func (n *node) observeSeeds(now time.Duration) {
	b := n.storeBootstrap
	if b.allSeenAt >= 0 {
		return
	}
	for _, seed := range b.seeds.Voters {
		p := n.peers.byAddress[seed.Address]
		if p == nil || !p.seen || slices.Contains(b.seenSeeds, seed.Address) {
			continue
		}
		b.seenSeeds = append(b.seenSeeds, seed.Address)
		b.seedHasDisk = b.seedHasDisk || p.member.ID != 0
	}
	if len(b.seenSeeds) == len(b.seeds.Voters)-1 {
		b.allSeenAt = now
	}
}

// bootstrapOnStores starts or continues a ballot of the bootstrap at a seed.
func (n *node) bootstrapOnStores(now time.Duration) {
	b := n.storeBootstrap
	if b == nil || n.view.Epoch != 0 {
		return
	}
	n.observeSeeds(now)
	if !n.bootstrapsOnStores(now) {
		return
	}
	if b.proposer != nil {
		n.continueBootstrap(now)
		return
	}
	if now < b.retryAt || n.firstVoters(now) == nil {
		return
	}
	b.ballotNumber = max(b.ballotNumber, b.vote.Promised.Number) + 1
	ballot := view.Ballot{Number: b.ballotNumber, Proposer: seedID(n.self.Address), Incarnation: n.origin}
	b.proposer = view.NewProposer(now, b.seeds, ballot, n.config.mutations.minorityDecides)
	n.sendToSeeds(b.proposer.Prepare())
}

func (n *node) continueBootstrap(now time.Duration) {
	b := n.storeBootstrap
	if b.proposer.Failed(now) {
		b.ballotNumber = max(b.ballotNumber, b.proposer.Highest().Number)
		b.proposer = nil
		b.retryAt = now + bootstrapRetryInterval + time.Duration(n.config.Random()%uint64(bootstrapRetryInterval))
		return
	}
	if !b.proposer.Gathered(now, noMember) {
		return
	}
	accept := b.proposer.Choose(func(func(view.ID) bool) (view.View, bool) {
		members := n.firstVoters(now)
		return firstView(members), members != nil
	})
	if accept != nil {
		n.sendToSeeds(accept)
	}
}

func (n *node) sendToSeeds(message msgp.Marshaler) {
	for _, seed := range n.storeBootstrap.seeds.Voters {
		n.deliver(outboundMessage{seed.Address, message})
	}
}

// onBootstrapMessage handles a bootstrap message of another seed or of this one.
func (n *node) onBootstrapMessage(now time.Duration, from view.Member, message any) {
	b := n.storeBootstrap
	if b == nil || n.view.Epoch != 0 {
		return
	}
	sender := seedID(from.Address)
	switch m := message.(type) {
	case *view.Prepare:
		if m.View.Epoch == 0 {
			reply, _ := b.vote.Prepare(0, m.Ballot)
			n.deliver(outboundMessage{from.Address, &reply})
		}
	case *view.Accept:
		if m.Epoch == 0 {
			reply, _ := b.vote.Accept(m)
			n.deliver(outboundMessage{from.Address, &reply})
		}
	case *view.Promise:
		if b.proposer != nil {
			b.proposer.OnPromise(sender, m)
			n.continueBootstrap(now)
		}
	case *view.AcceptReply:
		if b.proposer != nil {
			n.announceFirstView(b.proposer.OnAcceptReply(sender, m))
		}
	}
}

// announceFirstView sends the first view to its voters and to the other seeds. A process that misses the message
// receives the view in answer to its next heartbeats.
func (n *node) announceFirstView(first *view.View) {
	if first == nil {
		return
	}
	n.view = *first
	n.storeBootstrap.proposer = nil
	n.sendVoters(&decided{View: *first})
	for _, seed := range n.storeBootstrap.seeds.Voters {
		if seed.Address != n.self.Address {
			n.deliver(outboundMessage{seed.Address, &decided{View: *first}})
		}
	}
}

// firstVoters chooses the first voters among the responsive stores. It returns nil while there are too few, or while
// more may still start.
func (n *node) firstVoters(now time.Duration) []view.Member {
	b := n.storeBootstrap
	stores := n.uninitializedMembers(now)
	if len(stores) != b.storeCount {
		b.storeCount, b.storesChangedAt = len(stores), now
	}
	required := n.config.Durability.RequiredVoters()
	quiet := now - b.storesChangedAt
	if len(stores) == 0 || quiet < bootstrapQuietTime || len(stores) < required && quiet < bootstrapMaxWait {
		return nil
	}
	chosen := spreadOver(stores, required)
	if first := firstView(chosen); !n.config.Durability.Met(&first) {
		return nil
	}
	return chosen
}

// uninitializedMembers returns the responsive members that have a disk and no view yet, sorted by address.
func (n *node) uninitializedMembers(now time.Duration) []view.Member {
	var members []view.Member
	for _, p := range n.peers.byAddress {
		if p.seen && !p.refused && !p.degraded() && now-p.lastHeartbeatAt < failureTimeout && p.member.ID != 0 && p.heartbeat.Epoch == 0 {
			members = append(members, p.member)
		}
	}
	slices.SortFunc(members, byAddress)
	return members
}

// spreadOver picks up to count members, from as many zones as possible.
func spreadOver(members []view.Member, count int) []view.Member {
	var picked []view.Member
	remaining := slices.Clone(members)
	for len(picked) < count && len(remaining) > 0 {
		zones := make(map[string]bool)
		remaining = slices.DeleteFunc(remaining, func(member view.Member) bool {
			if len(picked) == count || zones[member.Zone] {
				return false
			}
			zones[member.Zone] = true
			picked = append(picked, member)
			return true
		})
	}
	return picked
}
