package client

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Edge is where one scheduler takes clients' connections and says that it is ready.
type Edge struct {
	HTTP      string // host:port
	Readiness string // host:port
}

// How the balancer probes.
const (
	probeInterval = time.Second
	missesAllowed = 1
	readyPath     = "/v1/readyz"
)

// Balancer gives new connections to the edges that are ready.
type Balancer struct {
	edges  []Edge
	client *http.Client

	mutex  sync.Mutex
	misses []int
}

// NewBalancer makes a balancer to which no edge is ready yet.
func NewBalancer(edges []Edge) *Balancer {
	misses := make([]int, len(edges))
	for i := range misses {
		misses[i] = missesAllowed + 1
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
	return len(b.in())
}

func (b *Balancer) probe(ctx context.Context, i int) {
	ready := b.ask(ctx, b.edges[i])
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if ready {
		b.misses[i] = 0
	} else {
		b.misses[i]++
	}
}

func (b *Balancer) ask(ctx context.Context, edge Edge) bool {
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

// in lists the edges that get new connections.
func (b *Balancer) in() []Edge {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var in []Edge
	for i, edge := range b.edges {
		if b.misses[i] <= missesAllowed {
			in = append(in, edge)
		}
	}
	return in
}

// Pick chooses the edge of a new connection: of all, if fewer than half are in.
func (b *Balancer) Pick() Edge {
	in := b.in()
	if len(in)*2 < len(b.edges) {
		in = b.edges
	}
	return in[rand.IntN(len(in))]
}
