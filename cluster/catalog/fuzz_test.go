package catalog

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse compares Parse with encoding/json: it must accept no document that encoding/json rejects, and decode the
// same values.
func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte(`{"version":1,"routes":[],"backends":[],"limits":{}}`))
	f.Add([]byte(`{"version":1e0,"routes":null,"backends":[{"name":"\ud800"}],"limits":{"maxBodyBytes":1.0}}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		c, err := Parse(document)
		if err != nil {
			require.NotEmpty(t, findingPlaces(t, err))
			return
		}
		var reference struct {
			Routes   []struct{ Name, Host, PathPrefix, Backend string }
			Backends []struct{ Name string }
		}
		require.NoError(t, json.Unmarshal(document, &reference))
		require.Len(t, c.Routes, len(reference.Routes))
		require.Len(t, c.Services, len(reference.Backends))
		again, err := Parse(c.Document())
		require.NoError(t, err)
		require.Equal(t, c, again)
		for i := range c.Routes {
			require.NotNil(t, NewIndex(c).Match(c.Routes[i].Host, c.Routes[i].PathPrefix))
		}
	})
}

// FuzzApply checks that the document of every patched configuration parses to an equal one.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"version":9,"upsert":{"routes":[{"name":"r-3","host":"n","pathPrefix":"/","backend":"kafi","timeoutMs":1}],"limits":{}},"delete":{"routes":["r-2"]}}`))
	f.Add([]byte(`{"version":9,"upsert":{"backends":[{"name":"x"}]},"delete":{"backends":["y"]}}`))
	base, err := Parse([]byte(example))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, patch []byte) {
		changed, err := base.Apply(patch)
		if err != nil {
			require.NotEmpty(t, findingPlaces(t, err))
			return
		}
		again, err := Parse(changed.Document())
		require.NoError(t, err)
		require.Equal(t, changed, again)
	})
}
