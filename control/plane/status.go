package plane

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"ravendale/cluster/rpc"
	"ravendale/cluster/wire"
	"ravendale/control/status"
)

//go:generate go run github.com/tinylib/msgp -file status.go -o status_gen.go -tests=false -unexported
//msgp:tuple statusRequest statusReply

// statusTimeout bounds the answer to another process's statusRequest.
const statusTimeout = 3 * time.Second

var errNoLeader = errors.New("plane: no leader is known")

// statusRequest asks the process that leads how it sees the system.
type statusRequest struct{}

// statusReply has the answer as JSON; empty: the process does not lead.
type statusReply struct {
	Status []byte
}

// Status is how this process sees the system. One that has no disk knows nothing by itself: it asks the leader,
// and answers with the little that it has if that can't be reached.
func (p *Plane) Status(ctx context.Context) status.Status {
	if p.config.DataDir == "" {
		if seen, err := p.askStatus(ctx); err == nil {
			seen.Node = p.config.Settings.Node
			seen.Core.Disk, seen.Core.Attached, seen.Core.Leading = "", false, false
			return seen
		}
	}
	return p.status(ctx)
}

func (p *Plane) status(ctx context.Context) status.Status {
	now := p.Machine.Current()
	seen := status.Status{
		Node:      p.config.Settings.Node,
		Core:      status.CoreOf(p.Core.Status(), now.Term),
		Config:    status.ConfigOf(now),
		Placement: status.PlacementOf(now.Placement),
	}
	if members, err := p.Leader.Members(ctx); err == nil {
		seen.Members = members
	}
	return seen
}

// serveStatus answers another process, in a goroutine of its own, which Run waits for.
func (p *Plane) serveStatus(ctx context.Context, reply rpc.Reply) {
	if !p.Core.Leads() {
		reply.Send(&statusReply{})
		return
	}
	p.answers.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		content, err := json.Marshal(p.status(ctx))
		if err != nil {
			reply.Fail(err)
			return
		}
		reply.Send(&statusReply{Status: content})
	})
}

func (p *Plane) askStatus(ctx context.Context) (seen status.Status, err error) {
	address, known := p.Core.Leader()
	if !known {
		return seen, errNoLeader
	}
	conn, err := rpc.Dial(ctx, address, rpc.Options{})
	if err != nil {
		return seen, err
	}
	defer conn.Close()
	var reply statusReply
	if err := conn.Call(ctx, wire.MethodStatus, &statusRequest{}, &reply); err != nil {
		return seen, err
	}
	if len(reply.Status) == 0 {
		return seen, errNoLeader
	}
	return seen, json.Unmarshal(reply.Status, &seen)
}
