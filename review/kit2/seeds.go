package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"ravendale/test/standin/cluster"
	"ravendale/test/standin/operator"
	"ravendale/test/standin/protocol"
)

// seedMachines is the number of machines that the list of seeds names.
const seedMachines = 3

// playSeeds kills all processes at the same moment. All machines come back with their disks, except the three that the
// seeds name, which have none. It judges whether the configuration can be read back from the control process that is
// left.
func playSeeds(ctx context.Context, r *rig, trouble bool) (broken bool, err error) {
	next := protocol.Patch{Version: r.config.Version + 2, Upsert: protocol.Upsert{Routes: []protocol.Route{{
		Name: "saldo", Host: host, PathPrefix: "/saldo/", Type: protocol.TypeDeferred, Service: "canje", TimeoutMs: 500, TargetMs: 80,
		StartTargetMs: 500, Retries: 6, RetentionS: 90,
	}}}}
	within, cancel := context.WithTimeout(ctx, ackTime)
	defer cancel()
	answer, err := r.operator.Patch(within, r.config, next)
	if err != nil || answer.Status != http.StatusOK {
		return false, errors.Join(fmt.Errorf("the change was answered %d", answer.Status), err)
	}
	r.config = r.config.Apply(next)
	r.note("version %d is acknowledged", r.config.Version)
	r.load(ctx, 60, 5*time.Second, 0, 0)
	all := r.system.Processes()
	if err := cluster.Each(all, (*cluster.Process).Kill); err != nil {
		return false, err
	}
	r.note("all %d processes are killed", len(all))
	time.Sleep(time.Second)
	gone := make(map[string]bool)
	if trouble {
		for _, control := range r.system.Controls[:seedMachines] {
			gone[control.Node()] = true
			r.note("%s does not come back", control.Node())
		}
	}
	for _, process := range all {
		if gone[process.Node()] {
			continue
		}
		if err := process.Start(false); err != nil {
			return false, err
		}
	}
	r.note("the other machines are back")
	time.Sleep(recovery + catchUp)
	left := r.system.Controls[seedMachines]
	r.operator = operator.New([]string{r.system.Admin()[seedMachines]}, r.world.Record)
	r.note("the configuration is asked for at %s", left.Node())
	return !r.readBack(ctx, 30*time.Second), nil
}
