package client

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Edge holds the addresses of one edge, for clients and for readiness probes.
type Edge struct {
	HTTP      string // host:port
	Readiness string // host:port
}

// Parameters of the readiness probes.
const (
	probeInterval = time.Second
	allowedMisses = 1
	readyPath     = "/v1/readyz"
)

// Balancer chooses among the ready edges for new connections.
type Balancer struct {
	edges  []Edge
	client *http.Client

	mutex  sync.Mutex
	misses []int
}

// NewBalancer returns a balancer that considers no edge ready yet.
func NewBalancer(edges []Edge) *Balancer {
	misses := make([]int, len(edges))
	for i := range misses {
		misses[i] = allowedMisses + 1
	}
	transport := &http.Transport{DisableKeepAlives: true}
	return &Balancer{
		edges:  edges,
		client: &http.Client{Transport: transport, Timeout: probeInterval},
		misses: misses,
	}
}

// Run probes the edges until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		for i := range b.edges {
			go b.probe(ctx, i)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Ready probes all edges once, and returns how many are ready.
func (b *Balancer) Ready(ctx context.Context) int {
	var group sync.WaitGroup
	for i := range b.edges {
		group.Go(func() { b.probe(ctx, i) })
	}
	group.Wait()
	return len(b.inRotation())
}

func (b *Balancer) probe(ctx context.Context, i int) {
	ready := b.isReady(ctx, b.edges[i])
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if ready {
		b.misses[i] = 0
	} else {
		b.misses[i]++
	}
}

func (b *Balancer) isReady(ctx context.Context, edge Edge) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+edge.Readiness+readyPath, nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// inRotation lists the edges that get new connections.
func (b *Balancer) inRotation() []Edge {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var ready []Edge
	for i, edge := range b.edges {
		if b.misses[i] <= allowedMisses {
			ready = append(ready, edge)
		}
	}
	return ready
}

// Pick chooses the edge of a new connection at random: among the ready ones or, if fewer than half are ready, among
// all.
func (b *Balancer) Pick() Edge {
	ready := b.inRotation()
	if len(ready)*2 < len(b.edges) {
		ready = b.edges
	}
	return ready[rand.IntN(len(ready))]
}
