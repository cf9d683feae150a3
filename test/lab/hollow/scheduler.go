package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"ravendale/cluster/member"
	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
)

// scheduler is one hollow scheduler in one life.
type scheduler struct {
	self   wire.Member
	agent  *member.Agent
	server *rpc.Server
	cancel context.CancelFunc
	done   chan struct{}
}

// place is where a hollow scheduler stands in the fleet.
type place struct {
	number, zone, life int
	ip                 string
}

func (p place) member(zones, regions int) wire.Member {
	return wire.Member{
		ID: fmt.Sprintf("%05d-%d-hollow", p.number, p.life), Node: fmt.Sprintf("edge-zone-%02d-%05d", p.zone, p.number),
		Address: join(p.ip, edgePort), Zone: fmt.Sprintf("zone-%02d", p.zone), Region: fmt.Sprintf("region-%02d", p.zone*regions/zones), Edge: true,
	}
}

func startScheduler(self wire.Member, ip, leader string, heartbeat time.Duration, log *slog.Logger, changed func(wire.Topic, *member.Snapshot)) (*scheduler, error) {
	mux := rpc.NewMux()
	s := &scheduler{self: self, done: make(chan struct{})}
	s.agent = member.New(member.Config{Settings: hollowSettings(ip, leader, heartbeat), Self: self, Mux: mux, Log: log})
	s.agent.OnChange(changed)
	server, err := rpc.Listen(self.Address, rpc.Options{Mux: mux}, nil)
	if err != nil {
		return nil, fmt.Errorf("hollow: scheduler: %w", err)
	}
	s.server = server
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(s.done)
		s.agent.Run(ctx)
	}()
	return s, nil
}

// stop ends the scheduler as a kill does: it tells nobody.
func (s *scheduler) stop() {
	s.server.Close()
	s.cancel()
}

func (s *scheduler) wait() { <-s.done }

// knows says whether the scheduler has the newest state of all topics, with at least so many members.
func (s *scheduler) knows(members int) bool {
	snapshot := s.agent.Snapshot()
	return s.agent.Current() && s.agent.Leased() && snapshot.Catalog != nil && snapshot.Members != nil && len(snapshot.Members.Edges) >= members
}
