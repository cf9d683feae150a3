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

// Config is all that a scheduler is given.
type Config struct {
	Name, Listen, Discovery string
	Management              string // where operators call, "" for no such place
	Descriptor              int    // of the listener for clients where that is inherited, else 0
	Seed                    uint64
	MemoryMB, Sockets       int
	Cores                   int             // that it serves on; the operator's, not the platform's
	Known                   json.RawMessage // the list as last held, in discovery's form
	Settings                ravendale.Settings
	Names                   Names
	ConnectTimeout          time.Duration
	IdleClose               time.Duration // a backend server closes what has been idle so long

	Warnings []string // what is legal, and poor: the program runs

	Handover string // the Unix socket at which a new process takes over from an old one, "" for none

	inFile string // discovery as the file had it, whatever came before it
	shape  *shape // of the start's file
}

// Names are the names that stand for the indices in Settings.
type Names = wire.Names

// file is the form of the JSON file.
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

// Getenv is os.Getenv, or what a test puts in its place.
type Getenv = func(string) string

// ReadFile is os.ReadFile, or what a test puts in its place.
type ReadFile = func(string) ([]byte, error)

// Load reads the file that PROXY_CONFIG names, by way of the two functions given.
func Load(getenv Getenv, read ReadFile) (*Config, error) { return loadAs(getenv, read, nil) }

// Patched has a read function put a merge of settings in the place of those of the file that PROXY_CONFIG names.
func Patched(getenv Getenv, read ReadFile, merge func(settings []byte) ([]byte, error)) ReadFile {
	return func(name string) ([]byte, error) {
		text, err := read(name)
		if err != nil || name != getenv("PROXY_CONFIG") {
			return text, err
		}
		var all map[string]json.RawMessage
		if err := json.Unmarshal(text, &all); err != nil {
			return text, nil // Load says what is wrong with it
		}
		if all["settings"], err = merge(all["settings"]); err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		return json.Marshal(all)
	}
}

// loadAs reads the file, which is to have the shape given.
func loadAs(getenv Getenv, read ReadFile, s *shape) (*Config, error) {
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
		if err := s.lacks(text); err != nil {
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

// InFile is discovery as the file had it, whatever came before it.
func (c *Config) InFile() string { return c.inFile }

// Again reads the file once more for a program that runs. The file is judged alone: it must have every key that the
// start's file had, which a PROXY_ variable or a default would hide otherwise. The discovery of a changed file is followed, also
// where PROXY_DISCOVERY came before the old one, since a process keeps the environment of its start. Its settings are
// taken, but for what the process is built on. Of all that, ignored names what differs and waits for a restart; seed
// and known are only for a start anyway.
func (c *Config) Again(getenv Getenv, read ReadFile) (next *Config, ignored []string, err error) {
	if next, err = loadAs(getenv, read, c.shape); err != nil {
		return nil, nil, err
	}
	if next.inFile == c.inFile || next.inFile == "" {
		next.Discovery = c.Discovery
	} else if _, _, err := net.SplitHostPort(next.inFile); err != nil {
		return nil, nil, fmt.Errorf("discovery: %w", err)
	} else {
		next.Discovery = next.inFile
	}
	now, later := &c.Settings, &next.Settings
	for _, field := range []struct {
		name     string
		old, new any // pointers
	}{
		{"name", &c.Name, &next.Name},
		{"listen", &c.Listen, &next.Listen},
		{"management", &c.Management, &next.Management},
		{"limits.memory_mb", &c.MemoryMB, &next.MemoryMB},
		{"limits.sockets", &c.Sockets, &next.Sockets},
		{"settings.balancers", &now.Dispatchers, &later.Dispatchers},
		{"settings.me", &now.Me, &later.Me},
		{"settings.discovery", &now.MustAsk, &later.MustAsk},
		{"settings.dcs", &c.Names.Zones, &next.Names.Zones},
		{"settings.locality", &now.Zone, &later.Zone},
		{"settings.host-types", &c.Names.Kinds, &next.Names.Kinds},
		{"settings.projects", &now.Tenants, &later.Tenants},
		{"settings.ceilings.connect-timeout-us", &c.ConnectTimeout, &next.ConnectTimeout},
		{"settings.ceilings.idle-close-us", &c.IdleClose, &next.IdleClose},
	} {
		if !reflect.DeepEqual(field.old, field.new) {
			ignored = append(ignored, field.name)
			reflect.ValueOf(field.new).Elem().Set(reflect.ValueOf(field.old).Elem())
		}
	}
	later.Zones, next.Names.Tenants = now.Zones, c.Names.Tenants
	return next, ignored, nil
}

// config checks what the file says, in the order of its keys; the error is the first thing that is wrong.
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

// readSettings reads the settings, those of the decision module and two of the platform's connections.
func (c *Config) readSettings(text []byte) (err error) {
	var pairs map[string]string
	if c.Settings, c.Names, pairs, err = wire.ReadJSONSettings(text); err != nil {
		return err
	}
	c.Settings.WrittenCount = true // "an attempt counts when its last byte has come"
	if err := c.Settings.Validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	for i := range c.Settings.Classes {
		if err := c.checkClass(i); err != nil {
			return err
		}
	}
	if how := pairs["discovery"]; how != "" && how != "ask" && how != "push" {
		return fmt.Errorf("settings.discovery: %q is neither ask nor push", how)
	}
	if c.ConnectTimeout, err = micros(pairs, "ceilings.connect-timeout-us", 250*time.Millisecond); err != nil {
		return err
	}
	c.IdleClose, err = micros(pairs, "ceilings.idle-close-us", 5*time.Second)
	return err
}

// checkClass checks a class, and warns of what is legal and poor.
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

func micros(pairs map[string]string, name string, otherwise time.Duration) (time.Duration, error) {
	text, given := pairs[name]
	if !given {
		return otherwise, nil
	}
	n, err := strconv.ParseInt(text, 10, 40)
	if err != nil || n <= 0 {
		return 0, fmt.Errorf("settings.%s: %q is no time in microseconds", name, text)
	}
	return time.Duration(n) * time.Microsecond, nil
}
