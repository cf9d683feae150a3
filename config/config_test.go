package config

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ravendale"
)

const whole = `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.0.0.9:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"seq":41,"whole":true,"hosts":[]},
 "settings":{"balancers":2,"me":1,"dcs":["east","west"],"locality":"west","host-types":["big","small"],"discovery":"ask",
 "ceilings":{"attempts-cap":6,"connect-timeout-us":250000,"idle-close-us":5000000,"retry-after":true},
 "specifics":{"class-kind":[-1,1],"class-stretch":[2.0,1.5],"report-x0":"free slots"},"tick-us":2000,"projects":[],
 "request-classes":[{"name":"view","effect":"idempotent","aim-us":75000},
 {"name":"pay","effect":"deduplicated","group":"zone","window-us":7500000}]}}`

func load(text string, env map[string]string) (*Config, error) {
	return Load(func(name string) string {
		if name == "PROXY_CONFIG" {
			return "file"
		}
		return env[name]
	}, func(string) ([]byte, error) { return []byte(text), nil })
}

func TestAWholeFile(t *testing.T) {
	c, err := load(whole, map[string]string{"PROXY_NAME": "n4"})
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Name != "n4" || c.Seed != 0x8c1f30d27a5be964 || c.ConnectTimeout != 250*time.Millisecond || c.IdleClose != 5*time.Second {
		t.Errorf("config is %+v", c)
	}
	if s.Dispatchers != 2 || s.Me != 1 || s.Zone != 1 || !s.MustAsk || !s.RetryAfter || s.Tick != 2*time.Millisecond || len(s.Tenants) != 0 {
		t.Errorf("settings are %+v", s)
	}
	if pay := s.Classes[1]; pay.Effect != ravendale.Keyed || pay.Group != ravendale.GroupZone || pay.Kind != 1 || pay.Stretch != 1.5 {
		t.Errorf("second class is %+v", pay)
	}
}

func TestBadValuesNameTheirField(t *testing.T) {
	for name, tc := range map[string]struct{ from, to, want string }{
		"no name":       {`"n3"`, `""`, "name"},
		"listen":        {"127.0.0.4:9000", "127.0.0.4", "listen"},
		"discovery":     {"127.0.0.9:8500", "", "discovery"},
		"seed":          {"8c1f30d27a5be964", "xyz", "seed"},
		"sockets":       {"1024", "3", "limits.sockets"},
		"type":          {"1024", `"many"`, "limits.sockets"},
		"memory":        {"192", "1", "limits.memory_mb"},
		"balancers":     {`"balancers":2`, `"balancers":"x"`, "balancers"},
		"effect":        {"idempotent", "maybe", "request-classes.0.effect"},
		"idle":          {"5000000", "0", "ceilings.idle-close-us"},
		"no settings":   {`"settings"`, `"unsettled"`, "settings"},
		"not an object": {whole, `[]`, "file"},
	} {
		_, err := load(strings.Replace(whole, tc.from, tc.to, 1), nil)
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, tc.want)
		}
	}
	if _, err := Load(func(string) string { return "" }, nil); err == nil {
		t.Error("no PROXY_CONFIG is taken")
	}
	gone := errors.New("gone")
	if _, err := Load(func(string) string { return "f" }, func(string) ([]byte, error) { return nil, gone }); !errors.Is(err, gone) {
		t.Errorf("an unreadable file gives %v", err)
	}
}

func TestAgain(t *testing.T) {
	for name, tc := range map[string]struct {
		from, to  string
		env       map[string]string
		discovery string
		ignored   []string
	}{
		"nothing new":           {"", "", nil, "127.0.0.9:8500", nil},
		"discovery":             {"127.0.0.9:8500", "127.0.0.9:8501", nil, "127.0.0.9:8501", nil},
		"discovery, once given": {"127.0.0.9:8500", "127.0.0.9:8501", map[string]string{"PROXY_DISCOVERY": "127.0.0.9:1"}, "127.0.0.9:8501", nil},
		"discovery as given":    {"", "", map[string]string{"PROXY_DISCOVERY": "127.0.0.9:1"}, "127.0.0.9:1", nil},
		"seed and known":        {`"seed":"8c1f30d27a5be964"`, `"seed":"1"`, nil, "127.0.0.9:8500", nil},
		"limits":                {"1024", "512", nil, "127.0.0.9:8500", []string{"limits.sockets"}},
		"settings":              {`"idempotent"`, `"at_most_once"`, nil, "127.0.0.9:8500", []string{"settings"}},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := load(whole, tc.env)
			if err != nil {
				t.Fatal(err)
			}
			next, ignored, err := c.Again(func(name string) string {
				if name == "PROXY_CONFIG" {
					return "file"
				}
				return tc.env[name]
			}, func(string) ([]byte, error) { return []byte(strings.Replace(whole, tc.from, tc.to, 1)), nil })
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.ignored, ignored); diff != "" || next.Discovery != tc.discovery {
				t.Errorf("discovery %s, ignored (-want +got):\n%s", next.Discovery, diff)
			}
		})
	}
}
