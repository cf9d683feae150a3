package workers

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ravendale/test/standin/history"
	"ravendale/test/standin/protocol"
)

// Fleet holds all workers of all services.
type Fleet struct {
	record *history.Recorder
	serial atomic.Uint64
	seed   string

	mutex    sync.Mutex
	services map[string]*serviceState
	workers  []*Worker
}

// NewFleet returns a fleet without services and workers.
func NewFleet(record *history.Recorder) *Fleet {
	return &Fleet{record: record, seed: fmt.Sprintf("%x", time.Now().UnixNano()), services: make(map[string]*serviceState)}
}

// AddService adds a service. Its workers can be started after that.
func (f *Fleet) AddService(service Service) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.services[service.Name] = newServiceState(service)
}

// Listen describes a worker to start.
type Listen struct {
	Service  string
	Zone     string
	Address  string // host:port; empty: a free port of 127.0.0.1
	Unlisted bool   // it is the single endpoint of a service and not on the platform's list
}

// Start starts a worker.
func (f *Fleet) Start(listen Listen) (*Worker, error) {
	f.mutex.Lock()
	state, found := f.services[listen.Service]
	f.mutex.Unlock()
	if !found {
		return nil, fmt.Errorf("workers: unknown service %q", listen.Service)
	}
	address := listen.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("workers: %w", err)
	}
	worker := newWorker(f, state, listen, listener)
	f.mutex.Lock()
	f.workers = append(f.workers, worker)
	f.mutex.Unlock()
	go worker.accept()
	return worker, nil
}

// Workers lists the workers of a service that have not ended.
func (f *Fleet) Workers(service string) []*Worker {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var running []*Worker
	for _, worker := range f.workers {
		if worker.service.Name == service && !worker.hasEnded() {
			running = append(running, worker)
		}
	}
	return running
}

// Close ends all workers.
func (f *Fleet) Close() {
	f.mutex.Lock()
	workers := append([]*Worker(nil), f.workers...)
	f.mutex.Unlock()
	for _, worker := range workers {
		worker.Crash()
	}
}

func (f *Fleet) instanceID() string {
	return fmt.Sprintf("i-%s-%x", f.seed[len(f.seed)-6:], f.serial.Add(1))
}

func (f *Fleet) signature() string { return fmt.Sprintf("s.%s.%x", f.seed, f.serial.Add(1)) }

// Instance returns the worker's entry for the platform's list.
func (w *Worker) Instance() protocol.Instance {
	return protocol.Instance{
		ID:       w.id,
		Service:  w.service.Name,
		Address:  w.Address(),
		Zone:     w.zone,
		Version:  "v1",
		Capacity: w.service.Capacity,
		State:    protocol.InstanceReady,
	}
}
