package catalog

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func mustApply(t *testing.T, c *Config, patch string) *Config {
	t.Helper()
	changed, err := c.Apply([]byte(patch))
	require.NoError(t, err)
	again := mustParse(t, string(changed.Document()))
	require.Equal(t, changed, again, "parsing the document gives an equal configuration")
	return changed
}

func TestApplyUpsertAndDelete(t *testing.T) {
	before := mustParse(t, example)
	after := mustApply(t, before, `{"version":9.0,
		"upsert":{"routes":[{"name":"r-3","host":"n","pathPrefix":"/","backend":"new","timeoutMs":1,"more":1.10},
			{"name":"r-1","host":"lode17.example","pathPrefix":"/other/","backend":"kafi","timeoutMs":700}],"backends":[{"name":"new"}]},
		"delete":{"routes":["r-2","r-none"],"backends":["wuno"]}}`)
	require.JSONEq(t, `{"version":9,"routes":[{"name":"r-1","host":"lode17.example","pathPrefix":"/other/","backend":"kafi","timeoutMs":700},
		{"name":"r-3","host":"n","pathPrefix":"/","backend":"new","timeoutMs":1,"more":1.10}],
		"backends":[{"name":"kafi","healthPath":"/healthz","maxConns":26,"ratePerS":39.0,"endpoint":"172.20.0.3:8043"},{"name":"new"}],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"future":[1e2]}`, string(after.Document()))
	require.Contains(t, string(after.Document()), `"version":9.0,`)
	require.Contains(t, string(after.Document()), `"more":1.10`)
	require.Equal(t, uint64(7), before.Version, "Apply must not change the original")
	require.Len(t, before.Routes, 2)
}

func TestApplyKeepsUnnamedItems(t *testing.T) {
	after := mustApply(t, mustParse(t, example), `{"version":8}`)
	require.JSONEq(t, strings.Replace(example, `"version":7`, `"version":8`, 1), string(after.Document()))
	require.Contains(t, string(after.Document()), `"note":{"a":[1.50,"}"]}`)
}

func TestApplyDeletesAllAndSetsLimits(t *testing.T) {
	after := mustApply(t, mustParse(t, example), `{"version":8,"upsert":{"limits":{"maxBodyBytes":5}},"delete":{"routes":["r-1","r-2"],"backends":["wuno","kafi"]}}`)
	require.JSONEq(t, `{"version":8,"routes":[],"backends":[],"limits":{"maxBodyBytes":5},"future":[1e2]}`, string(after.Document()))
}

func TestApplyMovesAddressToAnotherRoute(t *testing.T) {
	after := mustApply(t, mustParse(t, example), `{"version":8,"upsert":{"routes":[{"name":"r-9","host":"lode17.example","pathPrefix":"/noda/","backend":"kafi","timeoutMs":1}]},
		"delete":{"routes":["r-1"]}}`)
	require.Equal(t, "r-9", NewIndex(after).Match("lode17.example", "/noda/x").Name)
}

func TestApplyReportsAllFindings(t *testing.T) {
	c := mustParse(t, example)
	for name, test := range map[string]struct {
		patch      string
		places     []string
		standalone bool // the patch is invalid for every configuration
	}{
		"cut short":               {`{"version":8`, []string{"byte 12"}, true},
		"not an object":           {`7`, []string{"document"}, true},
		"no version":              {`{}`, []string{"version"}, true},
		"unknown kinds":           {`{"version":8,"upsert":{"keys":[]},"delete":{"limits":[]}}`, []string{"upsert.keys", "delete.limits"}, true},
		"wrong types":             {`{"version":8,"upsert":[],"delete":{"routes":"r-1","backends":[1]}}`, []string{"upsert", "delete.routes", "delete.backends[0]"}, true},
		"the same name twice":     {`{"version":8,"upsert":{"backends":[{"name":"a"},{"name":"a"}]}}`, []string{"upsert.backends[1].name"}, true},
		"upserted and deleted":    {`{"version":8,"upsert":{"backends":[{"name":"a"}]},"delete":{"backends":["a"]}}`, []string{"upsert.backends[0].name"}, true},
		"invalid items":           {`{"version":8,"upsert":{"routes":[{"name":"r-1","timeoutMs":0}],"limits":{"idleTimeoutMs":""}}}`, []string{"upsert.routes[0].host", "upsert.routes[0].pathPrefix", "upsert.routes[0].backend", "upsert.routes[0].timeoutMs", "upsert.limits.idleTimeoutMs"}, true},
		"a service in use":        {`{"version":8,"delete":{"backends":["wuno"]}}`, []string{"routes[0].backend"}, false},
		"an address that is used": {`{"version":8,"upsert":{"routes":[{"name":"r-3","host":"lode17.example","pathPrefix":"/noda/","backend":"kafi","timeoutMs":1}]}}`, []string{"routes[2]"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := c.Apply([]byte(test.patch))
			require.Equal(t, test.places, findingPlaces(t, err))
			require.Equal(t, test.standalone, CheckPatch([]byte(test.patch)) != nil)
		})
	}
}
