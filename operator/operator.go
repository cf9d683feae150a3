// Package operator reads the operator's own file, deploy/ravendale.xml or one like it: what the platform does not tell and
// permits on other installations alone. Without a file the program is what it is on the platform.
package operator

import (
	"fmt"
	"log/slog"
	"os"

	"ravendale/xmlfile"
)

// File is what the file says. Each element is one subsystem's; one that is absent is nil, and its subsystem off.
type File struct {
	Cores *Cores `xml:"cores"`
	Log   *Log   `xml:"log"`
}

// MostCores bounds Cores.Count.
const MostCores = 64

// Cores are what the scheduler serves on: see docs/cores.md.
type Cores struct {
	Count int `xml:"count,attr,required"`
}

// Check implements xmlfile.Checker.
func (c *Cores) Check(bad func(string)) {
	if c.Count < 1 || c.Count > MostCores {
		bad(fmt.Sprintf("count: %d is not between 1 and %d", c.Count, MostCores))
	}
}

// Log is how the program logs.
type Log struct {
	Level  Level  `xml:"level,attr"`
	Format Format `xml:"format,attr"`
}

// Level is the least level that is logged: debug, info (the default), warn or error.
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

// Format is the form of a line: text (the default) or json.
type Format string

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Format) UnmarshalText(text []byte) error {
	if *f = Format(text); *f != "text" && *f != "json" {
		return fmt.Errorf("%q is neither text nor json", text)
	}
	return nil
}

// Load reads a file; no name is no file. An error names each place at which something is wrong.
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

// Parse reads the text of a file.
func Parse(name string, text []byte, f *File) error { return xmlfile.Read(name, text, "ravendale", f) }
