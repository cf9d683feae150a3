package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// model is a simple model of the configuration: its values after the changes applied so far.
type model struct {
	version         uint64
	routes          map[string]int // timeout by name
	versionByChange map[string]uint64
}

// change is one configuration change that the test submits.
type change struct {
	patch   bool
	base    uint64
	version uint64
	upserts map[string]int
	deletes []string
}

func (c change) key() string { return fmt.Sprint(c.patch, c.base, c.version, c.upserts, c.deletes) }

func (c change) command(t require.TestingT) Command {
	routes := []map[string]any{}
	for _, name := range routeNames {
		if timeout, ok := c.upserts[name]; ok {
			routes = append(routes, map[string]any{"name": name, "host": name, "pathPrefix": "/", "backend": "s", "timeoutMs": timeout})
		}
	}
	content := map[string]any{"version": c.version}
	if c.patch {
		content["upsert"] = map[string]any{"routes": routes}
		content["delete"] = map[string]any{"routes": c.deletes}
	} else {
		content["routes"], content["backends"], content["limits"] = routes, []map[string]any{{"name": "s"}}, map[string]any{}
	}
	body, err := json.Marshal(content)
	require.NoError(t, err)
	if c.patch {
		return &Patch{Base: c.base, Body: body}
	}
	return &Set{Base: c.base, Body: body}
}

func (m *model) valid(c change) bool {
	for _, timeout := range c.upserts {
		if timeout <= 0 {
			return false
		}
	}
	for _, name := range c.deletes {
		if _, both := c.upserts[name]; both {
			return false
		}
	}
	return c.version > m.version && (!c.patch || m.version > 0)
}

func (m *model) apply(c change) Outcome {
	if _, ok := m.versionByChange[c.key()]; ok {
		return OutcomeDuplicate
	}
	if c.base != m.version {
		return OutcomeRefusedVersion
	}
	if !m.valid(c) {
		return OutcomeInvalid
	}
	if !c.patch {
		m.routes = map[string]int{}
	}
	for name, timeout := range c.upserts {
		m.routes[name] = timeout
	}
	for _, name := range c.deletes {
		delete(m.routes, name)
	}
	m.version = c.version
	m.versionByChange[c.key()] = c.version
	return OutcomeApplied
}

var routeNames = []string{"a", "b", "c"}

func drawChange(t *rapid.T, current uint64) change {
	name := rapid.SampledFrom(routeNames)
	c := change{
		patch:   rapid.Bool().Draw(t, "patch"),
		base:    current - min(current, rapid.Uint64Range(0, 1).Draw(t, "behind")),
		version: current + rapid.Uint64Range(0, 2).Draw(t, "step"),
		upserts: rapid.MapOfN(name, rapid.IntRange(0, 9), 0, 3).Draw(t, "upserts"),
	}
	if c.patch {
		c.deletes = rapid.SliceOfNDistinct(name, 0, 1, rapid.ID[string]).Draw(t, "deletes")
	}
	if c.version == 0 {
		c.version = 1
	}
	return c
}

func TestMachineMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := NewMachine()
		expected := &model{routes: map[string]int{}, versionByChange: map[string]uint64{}}
		var sent []change
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			var c change
			if len(sent) > 0 && rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				c = rapid.SampledFrom(sent).Draw(t, "again")
			} else {
				c = drawChange(t, expected.version)
			}
			sent = append(sent, c)
			encoded, err := Encode(c.command(t))
			require.NoError(t, err)
			result, err := DecodeResult(machine.Apply(encoded))
			require.NoError(t, err)
			require.Equal(t, expected.apply(c), result.Outcome, "%+v: %v", c, result.Findings)
			compare(t, expected, machine)
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				snapshot := machine.Snapshot()
				machine = NewMachine()
				require.NoError(t, machine.Restore(snapshot))
			}
		}
	})
}

func compare(t require.TestingT, expected *model, machine *Machine) {
	now := machine.Current()
	require.Equal(t, expected.version, now.Version)
	require.Equal(t, uint64(len(expected.versionByChange)), now.Sequence)
	if now.Version == 0 {
		require.Nil(t, now.Document)
		return
	}
	var content struct {
		Version uint64
		Routes  []struct {
			Name      string
			TimeoutMs int
		}
	}
	require.NoError(t, json.Unmarshal(now.Document, &content))
	routes := map[string]int{}
	for _, route := range content.Routes {
		routes[route.Name] = route.TimeoutMs
	}
	require.Equal(t, expected.version, content.Version)
	require.Equal(t, expected.routes, routes)
}
