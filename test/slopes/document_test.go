package slopes

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/catalog"
)

const (
	routesPerHost = 16  // routes
	minTimeout    = 500 // ms
	timeoutRange  = 1000
)

// document returns an encoded configuration with the given numbers of routes and services; the routes use the services in turn.
func document(version uint64, routes, services int) []byte {
	config := map[string]any{
		"version": version,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	routeList := make([]any, 0, routes)
	for i := range routes {
		routeList = append(routeList, route(i, services, version))
	}
	backends := make([]any, 0, services)
	for i := range services {
		backends = append(backends, map[string]any{
			"name": service(i), "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false, "ratePerS": 0.0,
			"idempotent": true, "pull": false, "endpoint": nil,
		})
	}
	config["routes"], config["backends"] = routeList, backends
	return encode(config)
}

func service(i int) string { return fmt.Sprintf("service-%d", i) }

func route(i, services int, version uint64) map[string]any {
	return map[string]any{
		"name": fmt.Sprintf("route-%d", i), "host": fmt.Sprintf("host-%d.example", i/routesPerHost), "pathPrefix": fmt.Sprintf("/path-%d/", i),
		"type": "deferred", "timeoutMs": minTimeout + version%timeoutRange, "targetMs": 80, "priority": 1, "backend": service(i % services),
		"retries": 4, "fifo": false, "retentionS": 90.0, "callbackUrl": false, "startTargetMs": 600,
	}
}

// routePatch returns an encoded patch that changes the timeout of one route.
func routePatch(version uint64, routes, services int) []byte {
	return encode(map[string]any{
		"version": version,
		"upsert":  map[string]any{"routes": []any{route(int(version)%routes, services, version)}},
	})
}

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: the value contains only types that JSON can encode
	}
	return encoded
}

func TestDocumentsAreValidAndChangeOneRoute(t *testing.T) {
	config, err := catalog.Parse(document(1, 40, 5))
	require.NoError(t, err)
	require.Len(t, config.Routes, 40)
	require.Len(t, config.Services, 5)
	next, err := config.Apply(routePatch(2, 40, 5))
	require.NoError(t, err)
	changedRoutes := 0
	for i := range next.Routes {
		if next.Routes[i] != config.Routes[i] {
			changedRoutes++
		}
	}
	require.Equal(t, 1, changedRoutes)
}
