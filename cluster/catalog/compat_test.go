package catalog

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestConfigCompatibility checks that the documents of a configuration and of a patched one, which are stored and
// returned to operators, equal byte for byte those of the previous version.
func TestConfigCompatibility(t *testing.T) {
	golden, err := os.ReadFile("testdata/compat/config.json")
	require.NoError(t, err)
	config, err := Parse(golden)
	require.NoError(t, err)
	require.Equal(t, string(golden), string(config.Document()))
	loaded, err := Load(golden)
	require.NoError(t, err)
	require.Equal(t, string(golden), string(loaded.Document()))

	patch, err := os.ReadFile("testdata/compat/patch.json")
	require.NoError(t, err)
	require.NoError(t, CheckPatch(patch))
	patched, err := config.Apply(patch)
	require.NoError(t, err)
	result, err := os.ReadFile("testdata/compat/config-patched.json")
	require.NoError(t, err)
	require.Equal(t, string(result), string(patched.Document()))
}

// TestConfigBuiltInCodeCompatibility checks the document of a configuration that was built in code, not parsed.
func TestConfigBuiltInCodeCompatibility(t *testing.T) {
	golden, err := os.ReadFile("testdata/compat/config-made.json")
	require.NoError(t, err)
	config := &Config{
		Version: 3,
		Routes: []Route{{
			Name: "r", Host: "h", PathPrefix: "/p/", Type: "deferred", Service: "s", Priority: 1, TargetMs: 2.5, StartTargetMs: 3, TimeoutMs: 4, Retries: 5,
			Ordered: true, RetentionS: 6, CallbackURL: true,
		}},
		Services: []Service{{
			Name: "s", HealthPath: "/h", MaxConns: 7, Protocol: "h1", TLS: true, RatePerS: 8.5, Idempotent: true, Pull: true, Endpoint: "10.0.0.1:80",
		}},
		Limits: Limits{MaxHeaderBytes: 9, MaxBodyBytes: 10, HeaderTimeoutMs: 11, IdleTimeoutMs: 12},
	}
	require.Equal(t, string(golden), string(config.Document()))
	read, err := Parse(golden)
	require.NoError(t, err)
	require.Equal(t, config.Routes, read.Routes)
	require.Equal(t, config.Services, read.Services)
	require.Equal(t, config.Limits, read.Limits)
}
