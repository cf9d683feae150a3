package standin

import (
	"errors"
	"fmt"
	"time"

	"ravendale/test/standin/history"
	"ravendale/test/standin/platform"
	"ravendale/test/standin/protocol"
	"ravendale/test/standin/workers"
)

// Service is a service with its workers and its routes.
type Service struct {
	workers.Service
	Workers  int              // number per zone
	Endpoint bool             // one unlisted worker, named in the configuration, in place of Workers
	Routes   []protocol.Route // Service and Type are filled in
}

// Options of a world.
type Options struct {
	Address  string        // listen address of the platform; empty: a free port of 127.0.0.1
	Zones    []string      // of the workers
	Lag      time.Duration // delay until the list shows a change
	RatePerS float64       // accepted calls per second; 0: no limit
	PageSize int           // entries per page; 0: the platform's default
	Services []Service
}

// World is the environment of the system under test, except for its clients and operators.
type World struct {
	Record   *history.Recorder
	Platform *platform.Platform
	Fleet    *workers.Fleet

	options   Options
	endpoints map[string]string // address by service
}

// Start starts the platform and all workers.
func Start(options Options) (*World, error) {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	record := history.NewRecorder()
	list, err := platform.Start(platform.Options{
		Address:  options.Address,
		PageSize: options.PageSize,
		RatePerS: options.RatePerS,
		Lag:      options.Lag,
		Record:   record,
	})
	if err != nil {
		return nil, err
	}
	w := &World{
		Record:    record,
		Platform:  list,
		Fleet:     workers.NewFleet(record),
		options:   options,
		endpoints: make(map[string]string),
	}
	if err := w.startServices(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *World) startServices() error {
	for _, service := range w.options.Services {
		w.Fleet.AddService(service.Service)
		if err := w.startService(service); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) startService(service Service) error {
	if service.Endpoint {
		worker, err := w.Fleet.Start(workers.Listen{Service: service.Name, Unlisted: true})
		if err == nil {
			w.endpoints[service.Name] = worker.Address()
		}
		return err
	}
	for _, zone := range w.options.Zones {
		for range service.Workers {
			worker, err := w.Fleet.Start(workers.Listen{Service: service.Name, Zone: zone})
			if err != nil {
				return err
			}
			w.Platform.AddListed(worker.Instance())
		}
	}
	return nil
}

// Add starts one more worker, which the platform lists after its lag.
func (w *World) Add(service, zone string) (*workers.Worker, error) {
	worker, err := w.Fleet.Start(workers.Listen{Service: service, Zone: zone})
	if err != nil {
		return nil, err
	}
	w.Platform.Add(worker.Instance(), 0)
	return worker, nil
}

// Crash ends a worker at once. The platform lists it for the given time longer.
func (w *World) Crash(worker *workers.Worker, listed time.Duration) {
	worker.Crash()
	time.AfterFunc(listed, func() { w.Platform.Remove(worker.ID()) })
}

// Drain marks a worker as draining, and ends it when the list has shown that for the given time.
func (w *World) Drain(worker *workers.Worker, serves time.Duration) {
	shown := w.Platform.Drain(worker.ID())
	worker.Drain()
	time.AfterFunc(shown+serves, func() {
		worker.Crash()
		w.Platform.Remove(worker.ID())
	})
}

// Replace starts another worker in the same zone and drains the old one.
func (w *World) Replace(worker *workers.Worker, serves time.Duration) (*workers.Worker, error) {
	instance := worker.Instance()
	replacement, err := w.Add(instance.Service, instance.Zone)
	if err != nil {
		return nil, err
	}
	w.Drain(worker, serves)
	return replacement, nil
}

// Config returns a configuration with the services and routes of the world.
func (w *World) Config(version uint64, limits protocol.Limits) protocol.Config {
	config := protocol.Config{Version: version, Limits: limits}
	for _, service := range w.options.Services {
		configured := service.Config()
		if address, found := w.endpoints[service.Name]; found {
			configured.Endpoint = &address
		}
		config.Services = append(config.Services, configured)
		for _, route := range service.Routes {
			route.Service = service.Name
			route.Type = protocol.TypeDeferred
			config.Routes = append(config.Routes, route)
		}
	}
	return config
}

// Close ends all workers and the platform.
func (w *World) Close() {
	w.Fleet.Close()
	_ = w.Platform.Close()
}

// errNoServices is returned for options without services.
var errNoServices = errors.New("no services")

// Validate returns all errors in the options.
func (o Options) Validate() error {
	var found []error
	if len(o.Services) == 0 {
		found = append(found, errNoServices)
	}
	for i, service := range o.Services {
		if service.Name == "" {
			found = append(found, fmt.Errorf("services[%d]: name is empty", i))
		}
		if !service.Endpoint && service.Workers < 1 {
			found = append(found, fmt.Errorf("services[%d] %s: has neither workers nor an endpoint", i, service.Name))
		}
	}
	return errors.Join(found...)
}
