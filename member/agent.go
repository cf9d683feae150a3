// Package member is the agent that each scheduler and store runs: it holds the process's lease of membership at the leader,
// takes part in the relay tree, and gives the process the newest state of all topics as immutable snapshots.
package member

import (
	"context"
	"log/slog"

	"ravendale/catalog"
	"ravendale/rpc"
	"ravendale/settings"
	"ravendale/wire"
)

// Snapshot is what the process knows of all topics at one moment. It never changes; a newer one takes its place.
type Snapshot struct {
	Versions [wire.TopicCount]wire.Version
	Catalog  *catalog.Index  // nil until a configuration is known
	Workers  *wire.Workers   // nil until known
	Stores   *wire.StoreView // nil until known
	Members  *wire.Members   // nil until known
}

// Config of an Agent.
type Config struct {
	Settings *settings.Settings
	Self     wire.Member             // Ready and Leaving are filled in by the agent
	Mux      *rpc.Mux                // gets the handlers of the relay tree; the main program listens with it
	Status   func() wire.StoreStatus // stores only
	Ready    func() bool             // nil: always
	Log      *slog.Logger            // nil: the default
}

// Agent is a process's part in membership and distribution.
type Agent struct{ config Config }

// New makes an agent and registers its handlers on the Mux. Nothing else happens before Run.
func New(config Config) *Agent { return &Agent{config: config} }

// Run renews the lease and follows the topics until the context ends.
func (a *Agent) Run(ctx context.Context) { <-ctx.Done() }

// Snapshot is the newest state known, never nil.
func (a *Agent) Snapshot() *Snapshot { return &Snapshot{} }

// OnChange has f called after each change of a topic, in order, on one goroutine. It must be called before Run.
func (a *Agent) OnChange(f func(topic wire.Topic, s *Snapshot)) {}

// Current says whether each topic is at least as new as the leader said in this life's first granted renewal.
func (a *Agent) Current() bool { return false }

// Leased says whether the lease of membership holds now: without it the process may not be counted among the members.
func (a *Agent) Leased() bool { return false }

// Leave tells the leader that the process is being stopped, and returns once that was answered or the context ends.
func (a *Agent) Leave(ctx context.Context) {}

// RenewNow renews at once, as when a store's status or the process's readiness changed.
func (a *Agent) RenewNow() {}

// SetSettings gives the agent settings that were read again: the seeds are looked at anew.
func (a *Agent) SetSettings(s *settings.Settings) {}
