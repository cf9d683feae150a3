package config

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"ravendale"
)

// The file was written for version a08c060. It contains each key of the PROXY_CONFIG file outside settings; the keys of
// settings are tested in internal/wire.
func TestGoldenFileReadsToTheValue(t *testing.T) {
	env := map[string]string{"PROXY_CONFIG": filepath.Join("testdata", "compat", "config.json"), "PROXY_FD": "3", "TMPDIR": "/run/x"}
	got, err := Load(func(name string) string { return env[name] }, os.ReadFile)
	if err != nil {
		t.Fatal(err)
	}
	want := &Config{
		Name: "edge-1", Listen: "127.0.0.1:8000", Discovery: "127.0.0.1:8500", Management: "127.0.0.1:8001", Descriptor: 3, Seed: 0xabcdef0123456789,
		MemoryMB: 64, Sockets: 512, Cores: 1, Known: []byte(`{"seq": 1, "whole": true, "hosts": []}`),
		Settings: ravendale.Settings{
			Dispatchers: 1, Zone: -1, MaxAttempts: 2, WrittenCount: true,
			Classes: []ravendale.Class{{Name: "pay", Effect: ravendale.Keyed, LatencyTarget: time.Millisecond, Deadline: 2 * time.Second, Window: time.Second,
				Value: 1, Kind: -1}},
		},
		Names:          Names{Classes: []string{"pay"}},
		ConnectTimeout: 125 * time.Millisecond, IdleClose: 4 * time.Second,
		Warnings: []string{`settings.request-classes.0.window-us: "pay" waits for 2s, and a repeat is dropped for 1s only`},
		Handover: "/run/x/ravendale-edge-1.sock",
	}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(Config{})); diff != "" {
		t.Errorf("the file reads as another value (-want +got):\n%s", diff)
	}
	if got.FileDiscovery() != "127.0.0.1:8500" {
		t.Errorf("discovery in the file is %q", got.FileDiscovery())
	}
	for name, value := range map[string]string{"PROXY_NAME": "other", "PROXY_LISTEN": "127.0.0.1:1", "PROXY_DISCOVERY": "127.0.0.1:2",
		"PROXY_MANAGEMENT": "127.0.0.1:3"} {
		env[name] = value
	}
	got, err = Load(func(name string) string { return env[name] }, os.ReadFile)
	if err != nil {
		t.Fatal(err)
	}
	if got.Name != "other" || got.Listen != "127.0.0.1:1" || got.Discovery != "127.0.0.1:2" || got.Management != "127.0.0.1:3" {
		t.Errorf("the configuration with variables is %+v", got)
	}
}
