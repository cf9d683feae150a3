package catalog

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"unsafe"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// generatePatch returns a random patch of routes and services, whose names may exist or not. Many such patches are
// invalid.
func generatePatch(t *rapid.T, version uint64) string {
	number := func(name string, limit int) int { return rapid.IntRange(0, limit).Draw(t, name) }
	var routes, services, deletedRoutes []string
	for range number("routes", 3) {
		i := number("route", 30)
		routes = append(routes, fmt.Sprintf(`{"name":"r-%07d","host":"lode%d.example","pathPrefix":"/vobo%d/","backend":"huvo%d","timeoutMs":%d,"more":{"a":["}",{"b":"\\\""}]}}`,
			i, i%20, i, number("service", 52), number("timeout", 900)))
	}
	for range number("services", 2) {
		services = append(services, fmt.Sprintf(`{"name":"huvo%d","maxConns":%d}`, number("service", 55), number("connections", 100)))
	}
	for range number("deleted", 3) {
		deletedRoutes = append(deletedRoutes, fmt.Sprintf(`"r-%07d"`, number("route", 30)))
	}
	return fmt.Sprintf(`{"version":%d,"upsert":{"routes":[%s],"backends":[%s]},"delete":{"routes":[%s]}}`,
		version, strings.Join(routes, ","), strings.Join(services, ","), strings.Join(deletedRoutes, ","))
}

// Through any sequence of patches, Reload must give the same configuration as parsing the document alone.
func TestReloadEqualsLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		control, err := Parse(manyRoutes(25))
		require.NoError(t, err)
		edge := control
		for version := uint64(2); version < 8; version++ {
			next, err := control.Apply([]byte(generatePatch(t, version)))
			if err != nil {
				continue
			}
			control = next
			if rapid.Bool().Draw(t, "missed") {
				continue // the edge misses this version and receives a later one
			}
			parsed, err := Parse(control.Document())
			require.NoError(t, err)
			require.Equal(t, parsed, control)
			edge, err = edge.Reload(control.Document())
			require.NoError(t, err)
			require.Equal(t, parsed, edge)
		}
	})
}

// For a damaged document, or one with another layout than Apply writes, Reload must return the same result or error as
// Load.
func TestReloadDamagedDocumentEqualsLoad(t *testing.T) {
	before, err := Parse(manyRoutes(6))
	require.NoError(t, err)
	before, err = before.Apply([]byte(`{"version":2}`))
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		document := slices.Clone(before.Document())
		for range rapid.IntRange(1, 3).Draw(t, "faults") {
			at := rapid.IntRange(0, len(document)-1).Draw(t, "at")
			char := rapid.SampledFrom([]byte(`{}[]",:\0 9anull`)).Draw(t, "char")
			switch rapid.IntRange(0, 2).Draw(t, "fault") {
			case 0:
				document[at] = char
			case 1:
				document = slices.Delete(document, at, at+1)
			default:
				document = slices.Insert(document, at, char)
			}
		}
		loaded, loadErr := Load(document)
		reloaded, reloadErr := before.Reload(document)
		require.Equal(t, loadErr, reloadErr)
		require.Equal(t, loaded, reloaded)
	})
}

func TestReloadWithoutPreviousConfig(t *testing.T) {
	var none *Config
	c, err := none.Reload(manyRoutes(3))
	require.NoError(t, err)
	require.Len(t, c.Routes, 3)
	_, err = none.Reload([]byte(`{"version":1}`))
	require.Equal(t, []string{"routes", "backends", "limits"}, findingPlaces(t, err))
}

// A route that a patch added must not keep the whole document of that version in memory.
func TestReloadCopiesNewRoutes(t *testing.T) {
	c, err := Parse(manyRoutes(20))
	require.NoError(t, err)
	changed, err := c.Apply([]byte(`{"version":2,"upsert":{"routes":[{"name":"new","host":"h.example","pathPrefix":"/n/","backend":"huvo1","timeoutMs":5}]}}`))
	require.NoError(t, err)
	reloaded, err := c.Reload(changed.Document())
	require.NoError(t, err)
	require.Equal(t, "new", reloaded.Routes[20].Name)
	require.False(t, sharesMemory(reloaded.text, reloaded.Routes[20].Name))
	require.True(t, sharesMemory(reloaded.text, reloaded.routeTexts[20]))
}

// BenchmarkReload measures the reload after a change of one route.
func BenchmarkReload(b *testing.B) {
	for _, size := range sizes {
		c, err := Parse(manyRoutes(size))
		if err != nil {
			b.Fatal(err)
		}
		var documents [][]byte
		for version := range 2 {
			changed, err := c.Apply(fmt.Appendf(nil, `{"version":%d,"upsert":{"routes":[{"name":"r-0000003","host":"lode3.example","pathPrefix":"/vobo3/","backend":"huvo3","timeoutMs":%d}]}}`, version+2, version+1))
			if err != nil {
				b.Fatal(err)
			}
			documents = append(documents, changed.Document())
		}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if c, err = c.Reload(documents[i%2]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// sharesMemory reports whether a text is stored in the memory of another.
func sharesMemory(whole, text string) bool {
	start, at := uintptr(unsafe.Pointer(unsafe.StringData(whole))), uintptr(unsafe.Pointer(unsafe.StringData(text)))
	return at >= start && at < start+uintptr(len(whole))
}
