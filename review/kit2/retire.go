package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"ravendale/test/standin/protocol"
)

// playRetire empties one of three storage machines by the operator's order and removes it. Later another one is gone
// for good, and an empty one comes in its place. It judges whether the configuration can be read back.
func playRetire(ctx context.Context, r *rig, trouble bool) (broken bool, err error) {
	go r.load(ctx, 60, 60*time.Second, 0.4, 4*time.Second)
	time.Sleep(3 * time.Second)
	leaving, lost := r.system.Stores[2], r.system.Stores[1]
	if err := r.retire(ctx, leaving.Node()); err != nil {
		return false, err
	}
	if err := leaving.Kill(); err != nil {
		return false, err
	}
	r.note("%s is emptied, and its machine is removed", leaving.Node())
	time.Sleep(contact + catchUp)
	next := protocol.Patch{Version: r.config.Version + 2, Upsert: protocol.Upsert{Routes: []protocol.Route{{
		Name: "saldo", Host: host, PathPrefix: "/saldo/", Type: protocol.TypeDeferred, Service: "canje", TimeoutMs: 500, TargetMs: 80,
		StartTargetMs: 500, Retries: 6, RetentionS: 90,
	}}}}
	within, cancel := context.WithTimeout(ctx, ackTime)
	defer cancel()
	answer, err := r.operator.Patch(within, r.config, next)
	if err != nil || answer.Status != http.StatusOK {
		return false, fmt.Errorf("the change was answered %d: %w", answer.Status, err)
	}
	r.config = r.config.Apply(next)
	r.note("version %d is acknowledged", r.config.Version)
	time.Sleep(contact)
	if trouble {
		if err := lost.Kill(); err != nil {
			return false, err
		}
		r.note("%s is gone for good", lost.Node())
		time.Sleep(2 * time.Second)
		if err := r.startReplacement(lost, "127.0.1.7"); err != nil {
			return false, err
		}
		r.note("an empty storage machine comes in its place")
	}
	time.Sleep(recovery + catchUp)
	return !r.readBack(ctx, 15*time.Second), nil
}

// retire orders that a store be emptied, and waits until that is done.
func (r *rig) retire(ctx context.Context, node string) error {
	within, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	answer := r.operator.StartRetire(within, node, 8*time.Second)
	r.note("the order to empty %s is answered %d", node, answer.Status)
	if answer.Status != http.StatusOK {
		return errors.New("the order was not taken")
	}
	for within.Err() == nil {
		if state, err := r.operator.RetireState(within, node); err == nil && state == "done" {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the store was not emptied in time")
}

// readBack asks for the configuration again and again for a time, and reports whether the newest acknowledged one came.
func (r *rig) readBack(ctx context.Context, length time.Duration) bool {
	within, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	shown, err := r.operator.Show(within)
	if err != nil {
		r.note("the configuration did not come within %v: %v", length, err)
		return false
	}
	r.note("the configuration came, version %d", shown.Version)
	return shown.Version == r.config.Version
}
