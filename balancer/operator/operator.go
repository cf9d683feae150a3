package operator

import (
	"cmp"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"ravendale/balancer/xmlfile"
)

// File is the content of the file. Each element configures a subsystem; if it is absent, the field is nil and the
// subsystem off.
type File struct {
	Cores *Cores `xml:"cores"`
	Log   *Log   `xml:"log"`
	Fleet *Fleet `xml:"fleet"`
}

// MaxCores is the maximum of Cores.Count.
const MaxCores = 64

// Cores sets the number of cores that the scheduler serves on: see docs/cores.md.
type Cores struct {
	Count int `xml:"count,attr" required:"true"`
}

// Check implements xmlfile.Checker.
func (c *Cores) Check(bad func(string)) {
	if c.Count < 1 || c.Count > MaxCores {
		bad(fmt.Sprintf("count: %d is not between 1 and %d", c.Count, MaxCores))
	}
}

// Fleet makes the scheduler a member of a fleet, which agrees on a policy epoch: see docs/fleet.md.
type Fleet struct {
	Name      string        `xml:"name,attr" required:"true"`
	Listen    string        `xml:"listen,attr" required:"true"`
	Dir       string        `xml:"dir,attr" required:"true"`  // directory of its state and its record; several members on one disk may share it
	Keys      string        `xml:"keys,attr" required:"true"` // name of a key file, in the format of package frames
	Heartbeat time.Duration `xml:"beat,attr"`                 // default 500ms
	Trust     time.Duration `xml:"trust,attr"`                // default 5s
	Span      time.Duration `xml:"span,attr"`                 // default 10s
	Record    int64         `xml:"record,attr"`               // maximum size in bytes, default 16 MiB
	Alone     Alone         `xml:"alone,attr"`
	ShutOut   ShutOut       `xml:"shut-out,attr"`
	Members   []Member      `xml:"member"`
}

// Member is a scheduler of a fleet.
type Member struct {
	Name    string `xml:"name,attr" required:"true"`
	Address string `xml:"address,attr" required:"true"`
}

// Alone is what a member does while it is not in contact with a majority: mark (the default) continues and marks the
// spans in the record, stop takes no new requests.
type Alone string

// ShutOut is what a member does when it must not take requests any more, because its epoch is too old: wait (the
// default) until it has adopted a newer one, or exit.
type ShutOut string

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Alone) UnmarshalText(text []byte) error {
	if *a = Alone(text); *a != "mark" && *a != "stop" {
		return fmt.Errorf("%q is neither mark nor stop", text)
	}
	return nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *ShutOut) UnmarshalText(text []byte) error {
	if *s = ShutOut(text); *s != "wait" && *s != "exit" {
		return fmt.Errorf("%q is neither wait nor exit", text)
	}
	return nil
}

// MaxMembers is the maximum number of members of a fleet; MinRecord and MaxRecord are the limits of Fleet.Record in bytes.
const (
	MaxMembers = 300
	MinRecord  = 1 << 20
	MaxRecord  = 1 << 40
)

// isMemberName reports whether a text is a valid name of a member, which is part of file names. It uses no regexp,
// since its tables would take memory pages in every process.
func isMemberName(text string) bool {
	return text != "" && len(text) <= 64 && !strings.ContainsFunc(text, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '_' && r != '-'
	})
}

// Defaults sets the fields that the file omits.
func (f *Fleet) Defaults() {
	f.Heartbeat = cmp.Or(f.Heartbeat, 500*time.Millisecond)
	f.Trust = cmp.Or(f.Trust, 5*time.Second)
	f.Span = cmp.Or(f.Span, 10*time.Second)
	f.Record = cmp.Or(f.Record, 16<<20)
	f.Alone, f.ShutOut = cmp.Or(f.Alone, "mark"), cmp.Or(f.ShutOut, "wait")
}

// Check implements xmlfile.Checker.
func (f *Fleet) Check(bad func(string)) {
	d := *f
	d.Defaults()
	if d.Heartbeat < 10*time.Millisecond || d.Heartbeat > time.Minute {
		bad(fmt.Sprintf("beat: %v is not between 10ms and 1m", d.Heartbeat))
	}
	if d.Trust < 4*d.Heartbeat || d.Trust > time.Hour {
		bad(fmt.Sprintf("trust: %v is not between four beats and 1h", d.Trust))
	}
	if d.Span < 100*time.Millisecond || d.Span > time.Hour {
		bad(fmt.Sprintf("span: %v is not between 100ms and 1h", d.Span))
	}
	if d.Record < MinRecord || d.Record > MaxRecord {
		bad(fmt.Sprintf("record: %d is not between %d and %d", d.Record, MinRecord, int64(MaxRecord)))
	}
	names := make(map[string]bool)
	for _, m := range f.Members {
		if names[m.Name] {
			bad(fmt.Sprintf("the member %q stands twice", m.Name))
		}
		names[m.Name] = true
	}
	switch {
	case len(f.Members) == 0 || len(f.Members) > MaxMembers:
		bad(fmt.Sprintf("%d members are not between 1 and %d", len(f.Members), MaxMembers))
	case !names[f.Name]:
		bad(fmt.Sprintf("name: %q is none of the members", f.Name))
	}
}

// Check implements xmlfile.Checker.
func (m *Member) Check(bad func(string)) {
	if !isMemberName(m.Name) {
		bad(fmt.Sprintf("name: %q is not 1 to 64 letters, digits, - and _", m.Name))
	}
}

// Log configures logging.
type Log struct {
	Level  Level  `xml:"level,attr"`
	Format Format `xml:"format,attr"`
}

// Level is the minimum level that is logged: debug, info (the default), warn or error.
type Level slog.Level

// UnmarshalText implements encoding.TextUnmarshaler.
func (l *Level) UnmarshalText(text []byte) error {
	level, known := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn,
		"error": slog.LevelError}[string(text)]
	if !known {
		return fmt.Errorf("%q is none of debug, info, warn and error", text)
	}
	*l = Level(level)
	return nil
}

// Format is the format of log lines: text (the default) or json.
type Format string

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Format) UnmarshalText(text []byte) error {
	if *f = Format(text); *f != "text" && *f != "json" {
		return fmt.Errorf("%q is neither text nor json", text)
	}
	return nil
}

// Load reads a file; an empty name yields an empty File. The error lists all problems with their positions.
func Load(name string) (*File, error) {
	f := &File{}
	if name == "" {
		return f, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return f, Parse(name, text, f)
}

// Parse parses the text of a file into f.
func Parse(name string, text []byte, f *File) error { return xmlfile.Read(name, text, "ravendale", f) }
