package core

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"ravendale/control/view"
)

// Times of a founding on stores.
const (
	foundingQuiet = 300 * time.Millisecond  // without another store, once there are enough of them
	foundingWait  = 1500 * time.Millisecond // without another store, while there are fewer than wanted
	foundingTurn  = 2 * time.Second         // by which each further seed waits longer
	foundingRetry = 200 * time.Millisecond
)

// founding decides the first view of a core whose voters are stores. The seeds, none of which has a disk, are the acceptors of its single-decree
// Paxos: in memory, and therefore only in their first life.
type founding struct {
	seeds    view.View     // of epoch 0: its voters are the seeds
	heard    []string      // seeds that have said that they have no disk
	since    time.Duration // when all had; negative: not yet
	disk     bool          // a seed has a disk: nothing is to be done here
	vote     view.Vote
	proposer *view.Proposer
	round    uint64
	retryAt  time.Duration
	seen     int           // stores that may be voters
	changed  time.Duration // when their number changed last
}

// newFounding returns nil for a process that has no say.
func newFounding(config *nodeConfig) *founding {
	if config.Disk || !config.Bootstrap && !config.faults.amnesiac || !slices.Contains(config.Seeds, config.Address) {
		return nil
	}
	f := &founding{since: -1}
	for _, address := range config.Seeds {
		f.seeds.Voters = append(f.seeds.Voters, view.Member{ID: seedID(address), Address: address})
	}
	slices.SortFunc(f.seeds.Voters, byAddress)
	f.seeds.Voters = slices.Compact(f.seeds.Voters)
	return f
}

// seedID stands for a seed in the founding: it has no disk to take an identity from.
func seedID(address string) view.ID { return view.ID(xxhash.Sum64String(address) | 1) }

// foundsOnStores says whether it is on this node to have stores found the core: no seed has a disk, and the seeds with lower addresses have had
// their turn.
func (n *node) foundsOnStores(now time.Duration) bool {
	f := n.founding
	if f == nil || n.view.Epoch != 0 || f.disk || f.since < 0 {
		return false
	}
	turn := slices.IndexFunc(f.seeds.Voters, func(member view.Member) bool { return member.Address == n.self.Address })
	return now >= f.since+time.Duration(turn)*foundingTurn
}

// lookAtSeeds notes which seeds have been heard of.
func (n *node) lookAtSeeds(now time.Duration) {
	f := n.founding
	if f.since >= 0 {
		return
	}
	for _, seed := range f.seeds.Voters {
		p := n.peers[seed.Address]
		if p == nil || !p.contacted || slices.Contains(f.heard, seed.Address) {
			continue
		}
		f.heard = append(f.heard, seed.Address)
		f.disk = f.disk || p.member.ID != 0
	}
	if len(f.heard) == len(f.seeds.Voters)-1 {
		f.since = now
	}
}

// foundOnStores goes on with the founding, at a seed.
func (n *node) foundOnStores(now time.Duration) {
	f := n.founding
	if f == nil || n.view.Epoch != 0 {
		return
	}
	n.lookAtSeeds(now)
	if !n.foundsOnStores(now) {
		return
	}
	if f.proposer != nil {
		n.pursueFounding(now)
		return
	}
	if now < f.retryAt || n.firstVoters(now) == nil {
		return
	}
	f.round = max(f.round, f.vote.Promised.Number) + 1
	ballot := view.Ballot{Number: f.round, Proposer: seedID(n.self.Address), Incarnation: n.origin}
	f.proposer = view.NewProposer(now, f.seeds, ballot, n.config.faults.minority)
	n.sendSeeds(f.proposer.Prepare())
}

func (n *node) pursueFounding(now time.Duration) {
	f := n.founding
	if f.proposer.Failed(now) {
		f.round = max(f.round, f.proposer.Highest().Number)
		f.proposer = nil
		f.retryAt = now + foundingRetry + time.Duration(n.config.Random()%uint64(foundingRetry))
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
		n.sendSeeds(accept)
	}
}

func (n *node) sendSeeds(message msgp.Marshaler) {
	for _, seed := range n.founding.seeds.Voters {
		n.deliver(post{seed.Address, message})
	}
}

// onFounding takes a message of another seed, or of itself.
func (n *node) onFounding(now time.Duration, from view.Member, message any) {
	f := n.founding
	if f == nil || n.view.Epoch != 0 {
		return
	}
	sender := seedID(from.Address)
	switch m := message.(type) {
	case *view.Prepare:
		if m.View.Epoch == 0 {
			reply, _ := f.vote.Prepare(0, m.Ballot)
			n.deliver(post{from.Address, &reply})
		}
	case *view.Accept:
		if m.Epoch == 0 {
			reply, _ := f.vote.Accept(m)
			n.deliver(post{from.Address, &reply})
		}
	case *view.Promise:
		if f.proposer != nil {
			f.proposer.Promised(sender, m)
			n.pursueFounding(now)
		}
	case *view.AcceptReply:
		if f.proposer != nil {
			n.founded(f.proposer.Accepted(sender, m))
		}
	}
}

// founded tells the first view to its voters and to the other seeds. Who misses that hears of it by the next beats.
func (n *node) founded(first *view.View) {
	if first == nil {
		return
	}
	n.view = *first
	n.founding.proposer = nil
	n.sendVoters(&decided{View: *first})
	for _, seed := range n.founding.seeds.Voters {
		if seed.Address != n.self.Address {
			n.deliver(post{seed.Address, &decided{View: *first}})
		}
	}
}

// firstVoters chooses among the stores that were heard of, nil as long as there are too few, or more may come.
func (n *node) firstVoters(now time.Duration) []view.Member {
	f := n.founding
	stores := n.blank(now)
	if len(stores) != f.seen {
		f.seen, f.changed = len(stores), now
	}
	wanted := n.config.Durability.Voters()
	quiet := now - f.changed
	if len(stores) == 0 || quiet < foundingQuiet || len(stores) < wanted && quiet < foundingWait {
		return nil
	}
	chosen := spreadOver(stores, wanted)
	if first := firstView(chosen); !n.config.Durability.Met(&first) {
		return nil
	}
	return chosen
}

// blank lists the members with a disk that know of no core yet, by address.
func (n *node) blank(now time.Duration) []view.Member {
	var members []view.Member
	for _, p := range n.peers {
		if p.contacted && !p.refused && !p.beat.aside() && now-p.heard < silentAfter && p.member.ID != 0 && p.beat.Epoch == 0 {
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
