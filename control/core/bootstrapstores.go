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
	bootstrapQuietTime     = 300 * time.Millisecond  // without another store, once there are enough of them
	bootstrapMaxWait       = 1500 * time.Millisecond // without another store, while there are fewer than required
	bootstrapStagger       = 2 * time.Second         // by which each further seed waits longer
	bootstrapRetryInterval = 200 * time.Millisecond
)

// storeBootstrap decides the first view of a core whose voters are stores. The seeds, none of which has a disk, are the acceptors of its single-decree
// Paxos: in memory, and therefore only in their first incarnation.
type storeBootstrap struct {
	seeds           view.View     // of epoch 0: its voters are the seeds
	heard           []string      // seeds that have said that they have no disk
	allHeardAt      time.Duration // when all had; negative: not yet
	seedHasDisk     bool          // a seed has a disk: nothing is to be done here
	vote            view.Vote
	proposer        *view.Proposer
	ballotNumber    uint64
	retryAt         time.Duration
	storeCount      int           // stores that may be voters
	storesChangedAt time.Duration // when their number changed last
}

// newStoreBootstrap returns nil for a process that has no say.
func newStoreBootstrap(config *nodeConfig) *storeBootstrap {
	if config.Disk || !config.Bootstrap && !config.mutations.seedForgetsVote || !slices.Contains(config.Seeds, config.Address) {
		return nil
	}
	f := &storeBootstrap{allHeardAt: -1}
	for _, address := range config.Seeds {
		f.seeds.Voters = append(f.seeds.Voters, view.Member{ID: seedID(address), Address: address})
	}
	slices.SortFunc(f.seeds.Voters, byAddress)
	f.seeds.Voters = slices.Compact(f.seeds.Voters)
	return f
}

// seedID stands for a seed in the bootstrap: it has no disk to take an identity from.
func seedID(address string) view.ID { return view.ID(xxhash.Sum64String(address) | 1) }

// bootstrapsOnStores says whether it is on this node to have stores bootstrap the core: no seed has a disk, and the seeds with lower addresses have had
// their time.
func (n *node) bootstrapsOnStores(now time.Duration) bool {
	f := n.storeBootstrap
	if f == nil || n.view.Epoch != 0 || f.seedHasDisk || f.allHeardAt < 0 {
		return false
	}
	turn := slices.IndexFunc(f.seeds.Voters, func(member view.Member) bool { return member.Address == n.self.Address })
	return now >= f.allHeardAt+time.Duration(turn)*bootstrapStagger
}

// observeSeeds records which seeds have been heard.
func (n *node) observeSeeds(now time.Duration) {
	f := n.storeBootstrap
	if f.allHeardAt >= 0 {
		return
	}
	for _, seed := range f.seeds.Voters {
		p := n.peers.byAddress[seed.Address]
		if p == nil || !p.contacted || slices.Contains(f.heard, seed.Address) {
			continue
		}
		f.heard = append(f.heard, seed.Address)
		f.seedHasDisk = f.seedHasDisk || p.member.ID != 0
	}
	if len(f.heard) == len(f.seeds.Voters)-1 {
		f.allHeardAt = now
	}
}

// bootstrapOnStores goes on with the bootstrap, at a seed.
func (n *node) bootstrapOnStores(now time.Duration) {
	f := n.storeBootstrap
	if f == nil || n.view.Epoch != 0 {
		return
	}
	n.observeSeeds(now)
	if !n.bootstrapsOnStores(now) {
		return
	}
	if f.proposer != nil {
		n.continueBootstrap(now)
		return
	}
	if now < f.retryAt || n.firstVoters(now) == nil {
		return
	}
	f.ballotNumber = max(f.ballotNumber, f.vote.Promised.Number) + 1
	ballot := view.Ballot{Number: f.ballotNumber, Proposer: seedID(n.self.Address), Incarnation: n.origin}
	f.proposer = view.NewProposer(now, f.seeds, ballot, n.config.mutations.minorityDecides)
	n.sendToSeeds(f.proposer.Prepare())
}

func (n *node) continueBootstrap(now time.Duration) {
	f := n.storeBootstrap
	if f.proposer.Failed(now) {
		f.ballotNumber = max(f.ballotNumber, f.proposer.Highest().Number)
		f.proposer = nil
		f.retryAt = now + bootstrapRetryInterval + time.Duration(n.config.Random()%uint64(bootstrapRetryInterval))
		return
	}
	if !f.proposer.Gathered(now, nobody) {
		return
	}
	accept := f.proposer.Choose(func(func(view.ID) bool) (view.View, bool) {
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

// onBootstrapMessage takes a message of another seed, or of itself.
func (n *node) onBootstrapMessage(now time.Duration, from view.Member, message any) {
	f := n.storeBootstrap
	if f == nil || n.view.Epoch != 0 {
		return
	}
	sender := seedID(from.Address)
	switch m := message.(type) {
	case *view.Prepare:
		if m.View.Epoch == 0 {
			reply, _ := f.vote.Prepare(0, m.Ballot)
			n.deliver(outboundMessage{from.Address, &reply})
		}
	case *view.Accept:
		if m.Epoch == 0 {
			reply, _ := f.vote.Accept(m)
			n.deliver(outboundMessage{from.Address, &reply})
		}
	case *view.Promise:
		if f.proposer != nil {
			f.proposer.Promised(sender, m)
			n.continueBootstrap(now)
		}
	case *view.AcceptReply:
		if f.proposer != nil {
			n.announceFirstView(f.proposer.Accepted(sender, m))
		}
	}
}

// announceFirstView sends the first view to its voters and to the other seeds. Who misses that hears of it by the next heartbeats.
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

// firstVoters chooses among the stores that were heard of, nil as long as there are too few, or more may come.
func (n *node) firstVoters(now time.Duration) []view.Member {
	f := n.storeBootstrap
	stores := n.uninitializedMembers(now)
	if len(stores) != f.storeCount {
		f.storeCount, f.storesChangedAt = len(stores), now
	}
	required := n.config.Durability.Voters()
	quiet := now - f.storesChangedAt
	if len(stores) == 0 || quiet < bootstrapQuietTime || len(stores) < required && quiet < bootstrapMaxWait {
		return nil
	}
	chosen := spreadOver(stores, required)
	if first := firstView(chosen); !n.config.Durability.Met(&first) {
		return nil
	}
	return chosen
}

// uninitializedMembers lists the members with a disk that know of no core yet, by address.
func (n *node) uninitializedMembers(now time.Duration) []view.Member {
	var members []view.Member
	for _, p := range n.peers.byAddress {
		if p.contacted && !p.refused && !p.degraded() && now-p.heardAt < failureTimeout && p.member.ID != 0 && p.heartbeat.Epoch == 0 {
			members = append(members, p.member)
		}
	}
	slices.SortFunc(members, byAddress)
	return members
}

// spreadOver picks so many members, from as many zones as possible.
func spreadOver(members []view.Member, count int) []view.Member {
	var picked []view.Member
	left := slices.Clone(members)
	for len(picked) < count && len(left) > 0 {
		zones := make(map[string]bool)
		left = slices.DeleteFunc(left, func(member view.Member) bool {
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
