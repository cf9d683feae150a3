package standin_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/test/standin"
	"ravendale/test/standin/protocol"
	"ravendale/test/standin/workers"
)

func options() standin.Options {
	return standin.Options{
		Zones: []string{"east", "west"},
		Services: []standin.Service{
			{Service: workers.Service{Name: "listed"}, Workers: 2, Routes: []protocol.Route{{Name: "a", Host: "h", PathPrefix: "/a/"}}},
			{Service: workers.Service{Name: "single"}, Endpoint: true, Routes: []protocol.Route{{Name: "b", Host: "h", PathPrefix: "/b/"}}},
		},
	}
}

func TestConfig(t *testing.T) {
	world, err := standin.Start(options())
	require.NoError(t, err)
	t.Cleanup(world.Close)

	config := world.Config(3, protocol.Limits{MaxBodyBytes: 10})
	assert.EqualValues(t, 3, config.Version)
	require.Len(t, config.Services, 2)
	assert.Nil(t, config.Services[0].Endpoint)
	require.NotNil(t, config.Services[1].Endpoint)
	assert.Equal(t, world.Fleet.Workers("single")[0].Address(), *config.Services[1].Endpoint)
	route, found := config.Match("h", "/b/x")
	require.True(t, found)
	assert.Equal(t, "single", route.Service)
	assert.Len(t, world.Fleet.Workers("listed"), 4)

	response, err := http.Get("http://" + world.Platform.Address() + "/instances")
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, http.StatusOK, response.StatusCode)
}

func TestReplace(t *testing.T) {
	world, err := standin.Start(options())
	require.NoError(t, err)
	t.Cleanup(world.Close)

	old := world.Fleet.Workers("listed")[0]
	replacement, err := world.Replace(old, 20*time.Millisecond)
	require.NoError(t, err)
	assert.NotEqual(t, old.ID(), replacement.ID())
	assert.Eventually(t, func() bool { return len(world.Fleet.Workers("listed")) == 4 }, 2*time.Second, 5*time.Millisecond)
	drains := world.Record.History().Drains
	require.Len(t, drains, 1)
	assert.Equal(t, old.ID(), drains[0].Worker)
}

func TestValidate(t *testing.T) {
	assert.NoError(t, options().Validate())
	assert.ErrorContains(t, standin.Options{}.Validate(), "no services")
	invalid := options()
	invalid.Services[0].Workers = 0
	assert.ErrorContains(t, invalid.Validate(), "services[0] listed")
}
