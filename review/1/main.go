// Case 1 of the review: accepted messages on a route that was just added are given up by an edge that missed the change.
//
// Three zones, each with a machine of the core (a control and an edge process), a second edge machine and a store. An edge
// machine that doesn't count stands still while a route is added; as it goes on, the machines of the core lose power.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"ravendale/review/kit"
	"ravendale/test/standin"
	"ravendale/test/standin/cluster"
	"ravendale/test/standin/history"
	"ravendale/test/standin/protocol"
	"ravendale/test/standin/workers"
)

// The load and the lengths of the disruption.
const (
	burst        = 400 // messages on the new route
	senders      = 40
	edgesPerZone = 2 // the first edge machine of a zone belongs to the core
	frozenEdge   = 5 // the last zone's second edge machine
	askedEdge    = 1 // runs all the time
	quiet        = 2 * time.Second
	coreOutage   = 5 * time.Second
	endsWithin   = 60 * time.Second
	retries      = 4
)

func main() {
	kit.Run(standin.Options{Services: []standin.Service{{
		Service: workers.Service{
			Name: "partner", Capacity: 11, Queue: 44, MaxConns: 24, RatePerS: 39, Idempotent: true,
			WorkMin: 20 * time.Millisecond, WorkMean: 25 * time.Millisecond, WorkMax: 270 * time.Millisecond,
		},
		Endpoint: true,
		Routes:   []protocol.Route{route("confirm", "/confirm/")},
	}}}, edgesPerZone, play)
}

func route(name, prefix string) protocol.Route {
	return protocol.Route{
		Name: name, Host: "partner.example", PathPrefix: prefix, Type: protocol.TypeDeferred, Service: "partner", Priority: 2,
		TimeoutMs: 800, TargetMs: 80, StartTargetMs: 800, Retries: retries, RetentionS: 90,
	}
}

func play(ctx context.Context, s *kit.System) (broken int, err error) {
	if err := s.Start(ctx); err != nil {
		return 0, err
	}
	if err := kit.Pause(ctx, quiet); err != nil {
		return 0, err
	}
	frozen := s.Cluster.Edges[frozenEdge]
	if s.Trouble {
		if err := frozen.Freeze(); err != nil {
			return 0, err
		}
		s.Printf("%s is frozen", frozen.Name())
	}
	if err := kit.Pause(ctx, quiet); err != nil {
		return 0, err
	}
	added := route("notice", "/notice/")
	if err := s.Patch(ctx, protocol.Patch{Version: 4, Upsert: protocol.Upsert{Routes: []protocol.Route{added}}}); err != nil {
		return 0, err
	}
	if err := awaitRoute(ctx, s, added); err != nil {
		return 0, err
	}
	accepted := sendBurst(ctx, s, added)
	s.Printf("%d of %d messages on the new route accepted", len(accepted), burst)
	if len(accepted) < burst/2 {
		return 0, errors.New("too few messages were accepted")
	}
	if s.Trouble {
		if err := cutCore(ctx, s, frozen); err != nil {
			return 0, err
		}
	}
	return judge(ctx, s, accepted), nil
}

// awaitRoute waits until the edges that run take messages on a route.
func awaitRoute(ctx context.Context, s *kit.System, added protocol.Route) error {
	for edge := range s.Cluster.Edges {
		if edge == frozenEdge {
			continue
		}
		for try := 0; ; try++ {
			if m := s.Send(ctx, edge, added, fmt.Sprintf("probe-%d-%d", edge, try), nil, []byte("probe")); m.Status == http.StatusAccepted {
				break
			}
			if err := kit.Pause(ctx, 20*time.Millisecond); err != nil {
				return err
			}
		}
	}
	s.Printf("the edges that run take messages on the new route")
	return nil
}

// sendBurst sends the messages to the edges that run, and returns those that were accepted.
func sendBurst(ctx context.Context, s *kit.System, added protocol.Route) []kit.Message {
	var mutex sync.Mutex
	var accepted []kit.Message
	var group sync.WaitGroup
	for sender := range senders {
		group.Go(func() {
			for i := sender; i < burst; i += senders {
				m := s.Send(ctx, i%frozenEdge, added, fmt.Sprintf("notice-%d", i), nil, make([]byte, 2400))
				if m.Status != http.StatusAccepted {
					continue
				}
				mutex.Lock()
				accepted = append(accepted, m)
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	return accepted
}

// cutCore takes the power from all machines of the core, lets the frozen edge go on, and starts the core's machines again.
func cutCore(ctx context.Context, s *kit.System, frozen *cluster.Process) error {
	machines := append([]*cluster.Process(nil), s.Cluster.Controls...)
	for edge := 0; edge < len(s.Cluster.Edges); edge += edgesPerZone {
		machines = append(machines, s.Cluster.Edges[edge])
	}
	err := cluster.Each(machines, (*cluster.Process).Kill)
	s.Printf("all processes on the machines of the core are killed")
	err = errors.Join(err, frozen.Thaw())
	s.Printf("%s runs again", frozen.Name())
	err = errors.Join(err, kit.Pause(ctx, coreOutage))
	err = errors.Join(err, cluster.Each(machines, func(p *cluster.Process) error { return p.Start(false) }))
	s.Printf("the processes on the machines of the core are started again")
	return err
}

// hasEnded reports whether workers have ended a message: by a success, by 422, or by 500 as often as the route says.
func hasEnded(runs []history.Arrival, retries int) bool {
	failures := 0
	for _, run := range runs {
		switch run.Outcome {
		case history.OutcomeDone, history.OutcomeRefused:
			return true
		case history.OutcomeFailed:
			failures++
		}
	}
	return failures >= retries
}

// judge counts the accepted messages that were given up although they have not ended: no worker has ended them, their
// retention is not over, and the route is in force.
func judge(ctx context.Context, s *kit.System, accepted []kit.Message) (broken int) {
	states := s.AwaitEnds(ctx, askedEdge, accepted, endsWithin)
	runs := s.Runs()
	counts := make(map[string]int)
	shown := 0
	for _, m := range accepted {
		state := states[m.ID]
		if state == "" {
			state = protocol.StatePending
		}
		counts[state]++
		if state != protocol.StateDead || hasEnded(runs[strings.TrimPrefix(m.Target, "/notice/")], retries) {
			continue
		}
		broken++
		if shown++; shown <= 3 {
			status, _ := s.Get(ctx, s.HTTP(askedEdge), m.Host, "/v1/message-body/"+m.ID)
			s.Printf("LOST: %s was accepted as %s and is %s; its body is answered with %d", m.Target, m.ID, state, status)
		}
	}
	config, err := s.Operator.Show(ctx)
	_, inForce := config.Route("notice")
	s.Printf("states of the accepted messages: %v; configuration %d, the route in force: %t (%v)", counts, config.Version, inForce, err)
	if !inForce {
		return 0
	}
	return broken
}
