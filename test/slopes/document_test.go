package slopes

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/catalog"
)

const (
	perHost      = 16  // routes
	firstTimeout = 500 // ms
	timeouts     = 1000
)

// document is a configuration with so many routes, of which each has a service of its own up to a bound.
func document(version uint64, routes, services int) []byte {
	config := map[string]any{
		"version": version,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	listed := make([]any, 0, routes)
	for i := range routes {
		listed = append(listed, route(i, services, version))
	}
	backends := make([]any, 0, services)
	for i := range services {
		backends = append(backends, map[string]any{
			"name": service(i), "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false, "ratePerS": 0.0,
			"idempotent": true, "pull": false, "endpoint": nil,
		})
	}
	config["routes"], config["backends"] = listed, backends
	return encode(config)
}

func service(i int) string { return fmt.Sprintf("service-%d", i) }

func route(i, services int, version uint64) map[string]any {
	return map[string]any{
		"name": fmt.Sprintf("route-%d", i), "host": fmt.Sprintf("host-%d.example", i/perHost), "pathPrefix": fmt.Sprintf("/path-%d/", i),
		"type": "deferred", "timeoutMs": firstTimeout + version%timeouts, "targetMs": 80, "priority": 1, "backend": service(i % services),
		"retries": 4, "fifo": false, "retentionS": 90.0, "callbackUrl": false, "startTargetMs": 600,
	}
}

// change is a patch that gives one route another time-out.
func change(version uint64, routes, services int) []byte {
	return encode(map[string]any{
		"version": version,
		"upsert":  map[string]any{"routes": []any{route(int(version)%routes, services, version)}},
	})
}

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // can't be: strings and numbers only
	}
	return encoded
}

func TestDocumentsAreValidAndChangeOneRoute(t *testing.T) {
	config, err := catalog.Parse(document(1, 40, 5))
	require.NoError(t, err)
	require.Len(t, config.Routes, 40)
	require.Len(t, config.Services, 5)
	next, err := config.Apply(change(2, 40, 5))
	require.NoError(t, err)
	differ := 0
	for i := range next.Routes {
		if next.Routes[i] != config.Routes[i] {
			differ++
		}
	}
	require.Equal(t, 1, differ)
}
