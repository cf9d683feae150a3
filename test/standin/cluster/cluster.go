package cluster

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"ravendale/test/standin/client"
)

// Cluster is the system under test on the loopback network.
type Cluster struct {
	spec     Spec
	ports    ports
	machines []machine
	Controls []*Process
	Edges    []*Process
	Stores   []*Process
	replaced []*Process // processes on machines that were replaced
}

// New creates a cluster. No process runs yet.
func New(spec Spec) (*Cluster, error) {
	spec.ControlsPerZone = max(spec.ControlsPerZone, 1)
	if spec.ProviderRate == 0 {
		spec.ProviderRate = defaultProviderRate
	}
	machines, err := spec.layout()
	if err != nil {
		return nil, err
	}
	drawn, err := freePorts(append(machines[:len(machines):len(machines)], spares(len(machines))...))
	if err != nil {
		return nil, err
	}
	c := &Cluster{spec: spec, ports: drawn, machines: machines}
	controls := make(map[string]int)
	for _, machine := range machines {
		if machine.class == ClassStorage {
			c.Stores = append(c.Stores, c.newProcess(machine, ProgramStore))
			continue
		}
		c.Edges = append(c.Edges, c.newProcess(machine, ProgramEdge))
		if controls[machine.zone] < spec.ControlsPerZone {
			controls[machine.zone]++
			c.Controls = append(c.Controls, c.newProcess(machine, ProgramControl))
		}
	}
	return c, nil
}

func (c *Cluster) newProcess(machine machine, program string) *Process {
	base := filepath.Join(c.spec.Folder, machine.name+"."+program)
	return &Process{
		cluster:      c,
		machine:      machine,
		program:      program,
		settingsPath: base + ".conf",
		dataPath:     base + ".data",
		logPath:      base + ".log",

		programs: c.spec.Programs,
	}
}

// ReplaceControl replaces the machine of a control process with a new one that has an empty disk, another name and
// another address. The old process must have ended. The new one is not started.
func (c *Cluster) ReplaceControl(i int) error {
	removed := c.Controls[i]
	if err := removed.Wipe(); err != nil {
		return err
	}
	if len(c.replaced) == maxSpares {
		return fmt.Errorf("cluster: at most %d machines can be replaced", maxSpares)
	}
	machine := spares(len(c.machines))[len(c.replaced)]
	machine.name, machine.class, machine.zone = removed.machine.name+"-new", removed.machine.class, removed.machine.zone
	c.replaced = append(c.replaced, removed)
	c.Controls[i] = c.newProcess(machine, ProgramControl)
	return nil
}

// Processes lists all processes.
func (c *Cluster) Processes() []*Process {
	all := append([]*Process(nil), c.Controls...)
	all = append(all, c.Edges...)
	return append(all, c.Stores...)
}

// Start starts all processes for the first time.
func (c *Cluster) Start() error {
	if err := os.MkdirAll(c.spec.Folder, 0o755); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return Each(c.Processes(), func(p *Process) error { return p.Start(true) })
}

// Kill ends all processes that run.
func (c *Cluster) Kill() {
	_ = Each(c.Processes(), func(p *Process) error {
		if p.PID() == 0 {
			return nil
		}
		return p.Kill()
	})
}

// Each calls do for all processes concurrently, and joins the errors.
func Each(processes []*Process, do func(*Process) error) error {
	found := make([]error, len(processes))
	var group sync.WaitGroup
	for i, process := range processes {
		group.Go(func() { found[i] = do(process) })
	}
	group.Wait()
	return errors.Join(found...)
}

// UnexpectedExits describes the processes that ended by themselves, including those on replaced machines.
func (c *Cluster) UnexpectedExits() []string {
	var exits []string
	for _, process := range append(c.Processes(), c.replaced...) {
		exits = append(exits, process.UnexpectedExits()...)
	}
	return exits
}

// Admin lists the addresses of the operator's API.
func (c *Cluster) Admin() []string {
	var addresses []string
	for _, control := range c.Controls {
		addresses = append(addresses, address(control.machine.ip, c.ports.admin))
	}
	return addresses
}

const maxSeeds = 3

func (c *Cluster) seeds() []string {
	admin := c.Admin()
	return admin[:min(len(admin), maxSeeds)]
}

// EdgeAddresses lists the addresses of the edges.
func (c *Cluster) EdgeAddresses() []client.Edge {
	var edges []client.Edge
	for _, edge := range c.Edges {
		edges = append(edges, client.Edge{
			HTTP:      address(edge.machine.ip, c.ports.http),
			Readiness: address(edge.machine.ip, c.ports.ready),
		})
	}
	return edges
}

// ControlRPC returns the address where a control process listens for the other processes.
func (c *Cluster) ControlRPC(p *Process) string { return address(p.machine.ip, c.ports.first) }
