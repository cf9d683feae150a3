package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/magiconair/properties"
)

// PathVariable names the environment variable that holds the path of the settings file.
const PathVariable = "RAVENDALE_SETTINGS"

// Settings are the settings of a process. The unit of a duration is the suffix of its key.
type Settings struct {
	Node             string   `properties:"nodeName" validate:"required"`
	Role             string   `properties:"role,default="`
	Class            string   `properties:"machineClass,default="`
	Serves           []string `properties:"serves,default="`
	IP               string   `properties:"ip" validate:"required,ip4_addr"`
	Zone             string   `properties:"zone" validate:"required"`
	Region           string   `properties:"region,default="`
	ListenHTTP       string   `properties:"listen.http,default=" validate:"omitempty,hostname_port"`
	ListenReady      string   `properties:"listen.readiness,default=" validate:"omitempty,hostname_port"`
	ListenAdmin      string   `properties:"listen.admin,default=" validate:"omitempty,hostname_port"`
	PortRange        []int    `properties:"portRange" validate:"len=2,dive,min=1,max=65535"`
	Seeds            []string `properties:"seeds,default=" validate:"dive,hostname_port"`
	Bootstrap        bool     `properties:"bootstrap,default=false"`
	Counts           bool     `properties:"countsForQuorum,default=false"`
	DataDir          string   `properties:"dataDir,default="`
	Discovery        string   `properties:"discovery,default="`
	HeartbeatMs      int      `properties:"heartbeatMs,default=1000" validate:"min=1"`
	CPUQuota         float64  `properties:"limits.cpuQuota,default=1" validate:"gt=0"`
	CPUs             int      `properties:"limits.cpus,default=1" validate:"min=1"`
	MemoryMb         int      `properties:"limits.memoryMb,default=256" validate:"min=16"`
	MaxFds           int      `properties:"limits.maxFds,default=1024" validate:"min=64"`
	DiskMb           int      `properties:"limits.diskMb,default=0" validate:"min=0"`
	BandwidthMbps    float64  `properties:"limits.bandwidthMbps,default=0" validate:"min=0"` // of the machine's network link; 0: unknown
	ToleratedNodes   int      `properties:"faultTolerance.nodes,default=0" validate:"min=0"`
	ToleratedZones   int      `properties:"faultTolerance.zones,default=0" validate:"min=0"`
	ToleratedRegions int      `properties:"faultTolerance.regions,default=0" validate:"min=0"`
	ProviderAddress  string   `properties:"provider.address,default=" validate:"omitempty,hostname_port"`
	ProviderRate     float64  `properties:"provider.ratePerS,default=1" validate:"gt=0"`
	ProviderLagMs    int      `properties:"provider.maxLagMs,default=0" validate:"min=0"`

	Bounds Bounds            `properties:"bounds"`
	Zones  map[string]string `properties:"-" validate:"required"` // region of each zone
}

// Bounds are the time limits and ratios that the system must observe.
type Bounds struct {
	SeedLagS         float64 `properties:"seedLagS,default=3" validate:"gte=0"`
	ReuseAfterS      float64 `properties:"reuseAfterS,default=2" validate:"gte=0"`
	ContactMs        float64 `properties:"contactMs,default=4000" validate:"gt=0"`
	AckMs            float64 `properties:"ackMs,default=5000" validate:"gt=0"`
	CatchupS         float64 `properties:"catchupS,default=5" validate:"gt=0"`
	DrainMs          float64 `properties:"drainMs,default=3000" validate:"gt=0"`
	GraceS           float64 `properties:"graceS,default=6" validate:"gt=0"`
	LossSlackMs      float64 `properties:"lossSlackMs,default=200" validate:"gte=0"`
	ConvergeMs       float64 `properties:"convergeMs,default=3000" validate:"gt=0"`
	RecoveryS        float64 `properties:"recoveryS,default=12" validate:"gt=0"`
	StatusS          float64 `properties:"statusS,default=120" validate:"gte=0"`
	RateLimitWindowS float64 `properties:"ceilingWindowS,default=5" validate:"gt=0"`
	OriginOvershoot  float64 `properties:"originOvershoot,default=1.1" validate:"gte=1"`
}

// The surfaces that a process may serve: values of Settings.Serves.
const (
	ServesEdge    = "edge"
	ServesControl = "control_plane"
	ServesStorage = "storage"
)

// ServesSurface reports whether the process serves a surface.
func (s *Settings) ServesSurface(surface string) bool {
	for _, name := range s.Serves {
		if name == surface {
			return true
		}
	}
	return false
}

// Offsets into the port range, which is shared by all processes of a machine.
const (
	controlPort = iota
	edgePort
	storagePort
	portsUsed
)

// ControlAddress returns the rpc address of the control process on a machine. All machines use the same ports.
func (s *Settings) ControlAddress(ip string) string { return s.rpcAddress(ip, controlPort) }

// EdgeAddress returns the rpc address of this machine's edge process.
func (s *Settings) EdgeAddress() string { return s.rpcAddress(s.IP, edgePort) }

// StorageAddress returns the rpc address of this machine's storage process.
func (s *Settings) StorageAddress() string { return s.rpcAddress(s.IP, storagePort) }

func (s *Settings) rpcAddress(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]+offset))
}

// SeedAddresses returns the rpc addresses of the control processes on the seed machines.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			addresses = append(addresses, s.ControlAddress(host))
		}
	}
	return addresses
}

// Copies returns how many disks must hold acknowledged data: one more than the number of node failures to tolerate.
func (s *Settings) Copies() int { return s.ToleratedNodes + 1 }

// BytesPerSecond returns the bandwidth of the machine's network link; 0 if it is unknown.
func (s *Settings) BytesPerSecond() float64 { return s.BandwidthMbps * 1e6 / 8 }

// Seconds converts a number of seconds to a duration.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// Load reads and checks a settings file. The error lists every invalid field.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse reads and checks the content of a settings file.
func Parse(data []byte) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	pairs, err := loader.LoadBytes(data)
	if err != nil {
		return nil, err
	}
	for _, key := range listKeys { // the properties package splits lists at semicolons; an absent list stays empty
		if value, ok := pairs.Get(key); ok {
			_, _, _ = pairs.Set(key, strings.ReplaceAll(value, ",", ";"))
		}
	}
	s := &Settings{Zones: make(map[string]string)}
	if err := pairs.Decode(s); err != nil {
		return nil, err
	}
	for _, key := range pairs.Keys() {
		if zone, found := strings.CutPrefix(key, "zones."); found {
			s.Zones[zone], _ = pairs.Get(key)
		}
	}
	return s, check(s)
}

var listKeys = []string{"serves", "portRange", "seeds"}

var validate = validator.New(validator.WithRequiredStructEnabled())

func check(s *Settings) error {
	var problems []error
	err := validate.Struct(s)
	var fields validator.ValidationErrors
	if errors.As(err, &fields) {
		for _, field := range fields {
			problems = append(problems, fmt.Errorf("%s: %v does not meet %s %s", field.Namespace(), field.Value(), field.Tag(), field.Param()))
		}
	} else if err != nil {
		problems = append(problems, err)
	}
	if len(s.PortRange) == 2 && s.PortRange[1]-s.PortRange[0]+1 < portsUsed {
		problems = append(problems, fmt.Errorf("Settings.PortRange: %v has fewer than %d ports", s.PortRange, portsUsed))
	}
	if _, ok := s.Zones[s.Zone]; !ok && s.Zone != "" {
		problems = append(problems, fmt.Errorf("Settings.Zones: does not list the own zone %q", s.Zone))
	}
	if s.ServesSurface(ServesStorage) && s.DataDir == "" {
		problems = append(problems, errors.New("Settings.DataDir: a process that serves storage needs one"))
	}
	return errors.Join(problems...)
}
