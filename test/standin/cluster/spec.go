package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sort"
	"strconv"
	"strings"
)

// Spec describes a cluster.
type Spec struct {
	Programs        string   // folder with the programs
	Folder          string   // for settings files, data and logs
	Provider        string   // address of the platform
	ProviderRate    float64  // calls per second that the platform accepts; 0: defaultProviderRate
	Zones           []string // each has the machines below
	EdgesPerZone    int
	StoresPerZone   int
	ControlsPerZone int  // control processes run on the first edge machines of a zone; 0: one
	ToleratedNodes  int  // machines that may fail at once
	DisklessControl bool // the control processes have no disk
	Settings        map[string]string
}

// Classes of machines.
const (
	ClassEdge    = "edge"
	ClassStorage = "storage"
)

// Defaults and limits of a cluster.
const (
	defaultProviderRate = 20
	portsInRange        = 16
	fixedPorts          = 3 // http, readiness and admin, in front of the port range
	firstPort           = 20000
	lastPort            = 32000 // below the ephemeral ports of outgoing connections
	portAttempts        = 50
	maxMachines         = 200
	maxSpares           = 3 // machines that may replace others
)

// machine is one simulated machine.
type machine struct {
	name  string
	class string
	zone  string
	ip    string
}

// ports are the listen ports, the same on all machines.
type ports struct {
	http, ready, admin, first, last int
}

// layout lists the machines of a spec.
func (s Spec) layout() ([]machine, error) {
	if len(s.Zones) == 0 || s.EdgesPerZone < 1 || s.StoresPerZone < 1 {
		return nil, errors.New("cluster: spec needs at least one zone, with at least one edge and one store per zone")
	}
	var machines []machine
	for _, zone := range s.Zones {
		for i := range s.EdgesPerZone {
			machines = append(machines, machine{name: fmt.Sprintf("edge-%s-%d", zone, i+1), class: ClassEdge, zone: zone})
		}
		for i := range s.StoresPerZone {
			machines = append(machines, machine{name: fmt.Sprintf("storage-%s-%d", zone, i+1), class: ClassStorage, zone: zone})
		}
	}
	if len(machines) > maxMachines {
		return nil, fmt.Errorf("cluster: %d machines, limit is %d", len(machines), maxMachines)
	}
	for i := range machines {
		machines[i].ip = ipOf(i)
	}
	return machines, nil
}

func ipOf(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }

// spares returns the machines that may replace others, with the addresses that follow those of the given number of
// machines.
func spares(machines int) []machine {
	spares := make([]machine, maxSpares)
	for i := range spares {
		spares[i].ip = ipOf(machines + i)
	}
	return spares
}

// freePorts draws a range of ports that is free on all machines.
func freePorts(machines []machine) (ports, error) {
	for range portAttempts {
		first := firstPort + rand.IntN(lastPort-firstPort)
		drawn := ports{http: first, ready: first + 1, admin: first + 2, first: first + fixedPorts, last: first + fixedPorts + portsInRange - 1}
		if drawn.free(machines) {
			return drawn, nil
		}
	}
	return ports{}, errors.New("cluster: found no port range that is free on all machines")
}

func (p ports) free(machines []machine) bool {
	for _, machine := range machines {
		for port := p.http; port <= p.last; port++ {
			listener, err := net.Listen("tcp4", address(machine.ip, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// settings returns the content of a process's settings file.
func (c *Cluster) settings(p *Process, bootstrap bool) string {
	lines := map[string]string{
		"nodeName":               p.machine.name,
		"role":                   p.program,
		"machineClass":           p.machine.class,
		"ip":                     p.machine.ip,
		"zone":                   p.machine.zone,
		"region":                 "loopback",
		"portRange":              fmt.Sprintf("%d,%d", c.ports.first, c.ports.last),
		"seeds":                  strings.Join(c.seeds(), ","),
		"bootstrap":              strconv.FormatBool(bootstrap),
		"limits.cpuQuota":        "1",
		"limits.cpus":            "1",
		"limits.memoryMb":        "256",
		"limits.maxFds":          "4096",
		"limits.diskMb":          "64",
		"discovery":              "provider",
		"entrypoint":             "vip",
		"heartbeatMs":            "1000",
		"faultTolerance.nodes":   strconv.Itoa(c.spec.ToleratedNodes),
		"faultTolerance.zones":   "0",
		"faultTolerance.regions": "0",
		"provider.address":       c.spec.Provider,
		"provider.ratePerS":      strconv.FormatFloat(c.spec.ProviderRate, 'f', -1, 64),
		"provider.maxLagMs":      "800",
	}
	for _, zone := range c.spec.Zones {
		lines["zones."+zone] = "loopback"
	}
	p.addProgramSettings(lines, c.ports)
	for key, value := range c.spec.Settings {
		lines[key] = value
	}
	return encode(lines)
}

// addProgramSettings adds the settings that depend on the program of a process.
func (p *Process) addProgramSettings(lines map[string]string, ports ports) {
	ip := p.machine.ip
	counts := p.program == ProgramStore || p.program == ProgramControl && !p.cluster.spec.DisklessControl
	lines["countsForQuorum"] = strconv.FormatBool(counts)
	if counts {
		lines["dataDir"] = p.dataPath
	}
	switch p.program {
	case ProgramControl:
		lines["serves"] = "control_plane"
		lines["listen.admin"] = address(ip, ports.admin)
	case ProgramEdge:
		lines["serves"] = "edge"
		lines["listen.http"] = address(ip, ports.http)
		lines["listen.readiness"] = address(ip, ports.ready)
	case ProgramStore:
		lines["serves"] = "storage"
	}
}

func encode(lines map[string]string) string {
	keys := make([]string, 0, len(lines))
	for key := range lines {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	var out strings.Builder
	for _, key := range keys {
		out.WriteString(key + "=" + lines[key] + "\n")
	}
	return out.String()
}
