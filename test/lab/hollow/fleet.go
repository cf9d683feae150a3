package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"ravendale/cluster/member"
	"ravendale/cluster/relay"
	"ravendale/cluster/wire"
)

const (
	lookPause = 20 * time.Millisecond // between looks whether all have come as far as they should
)

// FleetConfig says how many hollow schedulers there are.
type FleetConfig struct {
	Network    int // loopback network
	Schedulers int
	Zones      int
	Regions    int
	Heartbeat  time.Duration
	Spread     time.Duration // within which all start first
	Seed       uint64
	Log        *slog.Logger
}

// fleet is all hollow schedulers. Its methods belong to one goroutine.
type fleet struct {
	config   FleetConfig
	leader   string
	random   *rand.Rand
	quiet    *slog.Logger // of the schedulers: a thousand of them say too much
	arrivals *arrivals
	alive    map[int]*scheduler // by number
	lives    map[int]int
}

func newFleet(config FleetConfig) (*fleet, error) {
	ip, err := address(config.Network, 0)
	if err != nil {
		return nil, err
	}
	if _, err := address(config.Network, config.Schedulers); err != nil {
		return nil, err
	}
	return &fleet{
		config: config, leader: join(ip, firstPort), random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		quiet:    slog.New(slog.DiscardHandler),
		arrivals: newArrivals(), alive: make(map[int]*scheduler), lives: make(map[int]int),
	}, nil
}

// numbers lists all schedulers that there should be.
func (f *fleet) numbers() []int {
	numbers := make([]int, f.config.Schedulers)
	for i := range numbers {
		numbers[i] = i
	}
	return numbers
}

// zone of a scheduler: zones are filled in turn.
func (f *fleet) zone(number int) int { return number % f.config.Zones }

// start starts schedulers, in any order, spread over a time.
func (f *fleet) start(numbers []int, spread time.Duration) error {
	f.random.Shuffle(len(numbers), func(i, j int) { numbers[i], numbers[j] = numbers[j], numbers[i] })
	began := time.Now()
	for i, number := range numbers {
		time.Sleep(time.Until(began.Add(spread * time.Duration(i) / time.Duration(len(numbers)))))
		if err := f.startOne(number); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startOne(number int) error {
	ip, err := address(f.config.Network, number+1)
	if err != nil {
		return err
	}
	f.lives[number]++
	p := place{number: number, zone: f.zone(number), life: f.lives[number], ip: ip}
	var mu sync.Mutex
	last := uint64(0)
	changed := func(topic wire.Topic, s *member.Snapshot) {
		if topic != wire.TopicConfig {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		f.arrivals.add(last, s.Versions[topic].Sequence, time.Now())
		last = s.Versions[topic].Sequence
	}
	s, err := startScheduler(p.member(f.config.Zones, f.config.Regions), ip, f.leader, f.config.Heartbeat, f.quiet, changed)
	if err != nil {
		return err
	}
	f.alive[number] = s
	return nil
}

// kill ends schedulers without a word.
func (f *fleet) kill(numbers []int) {
	killed := make([]*scheduler, 0, len(numbers))
	for _, number := range numbers {
		if s := f.alive[number]; s != nil {
			s.stop()
			killed = append(killed, s)
			delete(f.alive, number)
		}
	}
	for _, s := range killed {
		s.wait()
	}
}

// await waits until all that live know the newest of all topics, and returns how long that took.
func (f *fleet) await(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	for {
		behind := f.behind()
		if behind == 0 {
			return time.Since(began), nil
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("hollow: %d of %d schedulers are not current: %w", behind, len(f.alive), ctx.Err())
		case <-time.After(lookPause):
		}
	}
}

func (f *fleet) behind() int {
	behind := 0
	for _, s := range f.alive {
		if !s.knows(len(f.alive)) {
			behind++
		}
	}
	return behind
}

// awaitChange waits until all that live have a configuration. Missing tells how many of them had not, when the context ended.
func (f *fleet) awaitChange(ctx context.Context, sequence uint64) (missing int) {
	for {
		missing = 0
		for _, s := range f.alive {
			if s.agent.Snapshot().Versions[wire.TopicConfig].Sequence < sequence {
				missing++
			}
		}
		if missing == 0 || ctx.Err() != nil {
			return missing
		}
		time.Sleep(lookPause)
	}
}

// relays lists the schedulers that are to have children in the tree, by what a member knows.
func (f *fleet) relays() []int {
	parents := make(map[string]bool)
	var members *wire.Members
	for _, s := range f.alive {
		members = s.agent.Snapshot().Members
		break
	}
	for _, s := range f.alive {
		if above := relay.Parents(s.self, members, 0, f.leader); len(above) > 0 {
			parents[above[0]] = true
		}
	}
	var numbers []int
	for number := range f.config.Schedulers {
		if s := f.alive[number]; s != nil && parents[s.self.Address] {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// depth is how many hops the farthest scheduler is from the leader.
func (f *fleet) depth() int {
	depth := 0
	for _, s := range f.alive {
		depth = max(depth, len(relay.Parents(s.self, s.agent.Snapshot().Members, 0, f.leader)))
	}
	return depth
}

// lists is the newest version of the topic of members that any scheduler has.
func (f *fleet) lists() uint64 {
	newest := uint64(0)
	for _, s := range f.alive {
		newest = max(newest, s.agent.Snapshot().Versions[wire.TopicMembers].Sequence)
	}
	return newest
}
