package config

import (
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"time"

	"ravendale"
	"ravendale/internal/wire"
)

// Config is the configuration of a scheduler.
type Config struct {
	Name, Listen, Discovery string
	Management              string // address of the operators' interface, "" for none
	Descriptor              int    // descriptor of the inherited listener for clients, or 0
	Seed                    uint64
	MemoryMB, Sockets       int
	Cores                   int             // number of cores to serve on; set by the operator's file, not by the platform's
	Known                   json.RawMessage // the last known server list, in the format of the discovery service
	Settings                ravendale.Settings
	Names                   Names
	ConnectTimeout          time.Duration
	IdleClose               time.Duration // time after which a backend server closes an idle connection

	Warnings []string // settings that are valid but bad; the program runs nevertheless

	Handover string // path of the Unix socket on which a new process takes over from an old one, "" for none

	inFile string // discovery in the file, even if PROXY_DISCOVERY takes precedence
	shape  *shape // shape of the file read at the start
}

// Names holds the names that belong to the indices in Settings.
type Names = wire.Names

// file is the structure of the JSON file.
type file struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	Discovery  string `json:"discovery"`
	Management string `json:"management"`
	Seed       string `json:"seed"`
	Limits     struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Getenv is os.Getenv, or a substitute in tests.
type Getenv = func(string) string

// ReadFile is os.ReadFile, or a substitute in tests.
type ReadFile = func(string) ([]byte, error)

// Load reads the file that PROXY_CONFIG names, with the given functions.
func Load(getenv Getenv, read ReadFile) (*Config, error) { return loadWithShape(getenv, read, nil) }

// Patched returns a read function that replaces the settings in the file that PROXY_CONFIG names by the result of merge.
func Patched(getenv Getenv, read ReadFile, merge func(settings []byte) ([]byte, error)) ReadFile {
	return func(name string) ([]byte, error) {
		text, err := read(name)
		if err != nil || name != getenv("PROXY_CONFIG") {
			return text, err
		}
		var all map[string]json.RawMessage
		if err := json.Unmarshal(text, &all); err != nil {
			return text, nil // Load reports the error
		}
		if all["settings"], err = merge(all["settings"]); err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		return json.Marshal(all)
	}
}

// loadWithShape reads the file. If s is not nil, the file must have that shape.
func loadWithShape(getenv Getenv, read ReadFile, s *shape) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("PROXY_CONFIG is not set")
	}
	text, err := read(path)
	if err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %s: %w", path, err)
	}
	if s != nil {
		if err := s.check(text); err != nil {
			return nil, fmt.Errorf("PROXY_CONFIG: %s: %w", path, err)
		}
	} else if s, err = shapeOf(text); err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %s: %w", path, err)
	}
	inFile := f.Discovery
	for name, field := range map[string]*string{"PROXY_NAME": &f.Name, "PROXY_LISTEN": &f.Listen, "PROXY_DISCOVERY": &f.Discovery,
		"PROXY_MANAGEMENT": &f.Management} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	c, err := f.config()
	if err != nil {
		return nil, err
	}
	c.inFile, c.shape = inFile, s
	if dir := getenv("TMPDIR"); dir != "" {
		c.Handover = filepath.Join(dir, "ravendale-"+c.Name+".sock")
	}
	if fd := getenv("PROXY_FD"); fd != "" {
		if c.Descriptor, err = strconv.Atoi(fd); err != nil || c.Descriptor < 3 {
			return nil, fmt.Errorf("PROXY_FD: %q is no descriptor", fd)
		}
	}
	return c, nil
}

// FileDiscovery returns discovery as in the file, even if PROXY_DISCOVERY takes precedence.
func (c *Config) FileDiscovery() string { return c.inFile }

// Reload reads the file again while the program runs. The file must have every key that the file had at the start:
// otherwise a PROXY_ variable or a default could hide a missing key. If discovery changed in the file, the new value is
// used, even if PROXY_DISCOVERY took precedence over the old one, since a process keeps the environment of its start.
// The settings are used, except for those that can't change while the process runs. The result ignored names the values
// that differ but need a restart; seed and known are used only at a start, and not named.
func (c *Config) Reload(getenv Getenv, read ReadFile) (next *Config, ignored []string, err error) {
	if next, err = loadWithShape(getenv, read, c.shape); err != nil {
		return nil, nil, err
	}
	if next.inFile == c.inFile || next.inFile == "" {
		next.Discovery = c.Discovery
	} else if _, _, err := net.SplitHostPort(next.inFile); err != nil {
		return nil, nil, fmt.Errorf("discovery: %w", err)
	} else {
		next.Discovery = next.inFile
	}
	current, reloaded := &c.Settings, &next.Settings
	for _, field := range []struct {
		name     string
		old, new any // pointers
	}{
		{"name", &c.Name, &next.Name},
		{"listen", &c.Listen, &next.Listen},
		{"management", &c.Management, &next.Management},
		{"limits.memory_mb", &c.MemoryMB, &next.MemoryMB},
		{"limits.sockets", &c.Sockets, &next.Sockets},
		{"settings.balancers", &current.Dispatchers, &reloaded.Dispatchers},
		{"settings.me", &current.Me, &reloaded.Me},
		{"settings.discovery", &current.MustAsk, &reloaded.MustAsk},
		{"settings.dcs", &c.Names.Zones, &next.Names.Zones},
		{"settings.locality", &current.Zone, &reloaded.Zone},
		{"settings.host-types", &c.Names.Kinds, &next.Names.Kinds},
		{"settings.projects", &current.Tenants, &reloaded.Tenants},
		{"settings.ceilings.connect-timeout-us", &c.ConnectTimeout, &next.ConnectTimeout},
		{"settings.ceilings.idle-close-us", &c.IdleClose, &next.IdleClose},
	} {
		if !reflect.DeepEqual(field.old, field.new) {
			ignored = append(ignored, field.name)
			reflect.ValueOf(field.new).Elem().Set(reflect.ValueOf(field.old).Elem())
		}
	}
	reloaded.Zones, next.Names.Tenants = current.Zones, c.Names.Tenants
	return next, ignored, nil
}

// config validates the file in the order of its keys. The error names the first invalid value.
func (f *file) config() (*Config, error) {
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Management: f.Management, Known: f.Known,
		MemoryMB: int(f.Limits.MemoryMB), Sockets: f.Limits.Sockets, Cores: 1}
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	var err error
	if f.Seed != "" {
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %q is no hex number of 64 bits", f.Seed)
		}
	}
	if c.MemoryMB < 0 || c.MemoryMB > 0 && c.MemoryMB < 32 {
		return nil, fmt.Errorf("limits.memory_mb: %d is too little to run in", c.MemoryMB)
	}
	if c.Sockets == 0 {
		c.Sockets = 1024
	}
	if c.Sockets < 64 {
		return nil, fmt.Errorf("limits.sockets: %d is too few to run with", c.Sockets)
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("settings is missing")
	}
	if err := c.readSettings(f.Settings); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) checkAddresses() error {
	if c.Name == "" {
		return fmt.Errorf("name is missing")
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if c.Management != "" {
		if _, _, err := net.SplitHostPort(c.Management); err != nil {
			return fmt.Errorf("management: %w", err)
		}
	}
	return nil
}

// readSettings reads the settings: those of the decision module, and two for the platform's connections.
func (c *Config) readSettings(text []byte) (err error) {
	var pairs map[string]string
	if c.Settings, c.Names, pairs, err = wire.ReadJSONSettings(text); err != nil {
		return err
	}
	c.Settings.WrittenCount = true // the platform's rule: "an attempt counts when its last byte has come"
	if err := c.Settings.Validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	for i := range c.Settings.Classes {
		if err := c.checkClass(i); err != nil {
			return err
		}
	}
	if mode := pairs["discovery"]; mode != "" && mode != "ask" && mode != "push" {
		return fmt.Errorf("settings.discovery: %q is neither ask nor push", mode)
	}
	if c.ConnectTimeout, err = parseMicroseconds(pairs, "ceilings.connect-timeout-us", 250*time.Millisecond); err != nil {
		return err
	}
	c.IdleClose, err = parseMicroseconds(pairs, "ceilings.idle-close-us", 5*time.Second)
	return err
}

// checkClass validates a class, and adds warnings for values that are valid but bad.
func (c *Config) checkClass(i int) error {
	class := &c.Settings.Classes[i]
	if class.Deadline <= 0 {
		return fmt.Errorf("settings.request-classes.%d.give-up-us: %q has no time to be answered in", i, class.Name)
	}
	if class.Kind < -1 || class.Kind >= len(c.Names.Kinds) {
		return fmt.Errorf("settings.specifics.class-kind: class %q runs on kind %d of %d", class.Name, class.Kind, len(c.Names.Kinds))
	}
	if class.Effect == ravendale.Keyed && class.Window < class.Deadline {
		c.Warnings = append(c.Warnings, fmt.Sprintf("settings.request-classes.%d.window-us: %q waits for %v, and a repeat is dropped for %v only",
			i, class.Name, class.Deadline, class.Window))
	}
	if class.Name == "" || slices.Index(c.Names.Classes, class.Name) != i {
		return fmt.Errorf("settings.request-classes.%d.name: %q is empty or there twice", i, class.Name)
	}
	return nil
}

func parseMicroseconds(pairs map[string]string, name string, defaultValue time.Duration) (time.Duration, error) {
	text, given := pairs[name]
	if !given {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(text, 10, 40)
	if err != nil || n <= 0 {
		return 0, fmt.Errorf("settings.%s: %q is no time in microseconds", name, text)
	}
	return time.Duration(n) * time.Microsecond, nil
}
