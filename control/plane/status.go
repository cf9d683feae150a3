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

// statusTimeout is the timeout for answering another process's statusRequest.
const statusTimeout = 3 * time.Second

var errNoLeader = errors.New("plane: no leader is known")

// statusRequest requests the status document from the leader.
type statusRequest struct{}

// statusReply has the status document as JSON; it is empty if the process does not lead.
type statusReply struct {
	Status []byte
}

// Status returns the status document of this process. A process without a disk has no state of its own: it requests the
// document from the leader, and returns its own, mostly empty one if the leader can't be reached.
func (p *Plane) Status(ctx context.Context) status.Status {
	if p.config.DataDir == "" {
		if seen, err := p.requestStatus(ctx); err == nil {
			seen.Node = p.config.Settings.Node
			seen.Core.Disk, seen.Core.Attached, seen.Core.Leading = "", false, false
			return seen
		}
	}
	return p.status(ctx)
}

func (p *Plane) status(ctx context.Context) status.Status {
	snapshot := p.Machine.Current()
	document := status.Status{
		Node:      p.config.Settings.Node,
		Core:      status.CoreOf(p.Core.Status(), snapshot.Term),
		Config:    status.ConfigOf(snapshot),
		Placement: status.PlacementOf(snapshot.Placement),
	}
	if members, err := p.Leader.Members(ctx); err == nil {
		document.Members = members
	}
	return document
}

// serveStatus answers another process's request in a new goroutine, for which Run waits.
func (p *Plane) serveStatus(ctx context.Context, reply rpc.Reply) {
	if !p.Core.Leads() {
		reply.Send(&statusReply{})
		return
	}
	p.pendingAnswers.Go(func() {
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

func (p *Plane) requestStatus(ctx context.Context) (seen status.Status, err error) {
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
