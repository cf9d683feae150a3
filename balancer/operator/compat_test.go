package operator

import (
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The file was written for version a08c060. It contains each element and attribute.
func TestGoldenFileReadsToTheValue(t *testing.T) {
	got, err := Load(filepath.Join("testdata", "compat", "ravendale.xml"))
	if err != nil {
		t.Fatal(err)
	}
	want := &File{
		Cores: &Cores{Count: 3},
		Log:   &Log{Level: Level(slog.LevelWarn), Format: "json"},
		Fleet: &Fleet{Name: "a", Listen: "127.0.0.1:7001", Dir: "/var/lib/ravendale", Keys: "/etc/ravendale/keys", Heartbeat: 250 * time.Millisecond,
			Trust: 3 * time.Second, Span: 20 * time.Second, Record: 2 << 20, Alone: "stop", ShutOut: "exit",
			Members: []Member{{Name: "a", Address: "127.0.0.1:7001"}, {Name: "b", Address: "127.0.0.1:7002"}}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("the file reads as another value (-want +got):\n%s", diff)
	}
}
