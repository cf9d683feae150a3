package config

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ravendale"
)

const validFile = `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.0.0.9:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"seq":41,"whole":true,"hosts":[]},
 "settings":{"balancers":2,"me":1,"workload":"jobs","dcs":["east","west"],"locality":"west","host-types":["big","small"],"discovery":"ask",
 "ceilings":{"attempts-cap":6,"connect-timeout-us":250000,"idle-close-us":5000000,"retry-after":true},
 "specifics":{"class-kind":[-1,1],"class-stretch":[2.0,1.5],"report-x0":"free slots"},"tick-us":2000,"projects":[],
 "request-classes":[{"name":"view","effect":"idempotent","aim-us":75000,"give-up-us":5000000},
 {"name":"pay","effect":"deduplicated","group":"zone","window-us":7500000,"give-up-us":5000000}]}}`

func load(text string, env map[string]string) (*Config, error) {
	return Load(func(name string) string {
		if name == "PROXY_CONFIG" {
			return "file"
		}
		return env[name]
	}, func(string) ([]byte, error) { return []byte(text), nil })
}

func TestLoadCompleteFile(t *testing.T) {
	c, err := load(validFile, map[string]string{"PROXY_NAME": "n4"})
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
	poor, err := load(strings.Replace(validFile, `"window-us":7500000`, `"window-us":2500000`, 1), nil)
	if err != nil || len(c.Warnings) > 0 || len(poor.Warnings) != 1 || !strings.HasPrefix(poor.Warnings[0], "settings.request-classes.1.window-us: ") {
		t.Errorf("%v; warnings %q for a valid file, and %q if repeats are dropped for less time than the client waits", err, c.Warnings, poor.Warnings)
	}
	if pay := s.Classes[1]; pay.Effect != ravendale.Keyed || pay.Group != ravendale.GroupZone || pay.Kind != 1 || pay.Stretch != 1.5 {
		t.Errorf("second class is %+v", pay)
	}
}

func TestLoadErrorNamesField(t *testing.T) {
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
		"lists":         {`"ask"`, `"told"`, "settings.discovery"},
		"kind":          {"[-1,1]", "[-1,2]", "settings.specifics.class-kind"},
		"no settings":   {`"settings"`, `"unsettled"`, "settings"},
		"deadline":      {`"give-up-us":5000000}]`, `"give-up-us":0}]`, "request-classes.1.give-up-us"},
		"attempts":      {`"attempts-cap":6`, `"attempts-cap":0`, "MaxAttempts"},
		"two of a name": {`"pay"`, `"view"`, "request-classes.1.name"},
		"descriptor":    {"", "", "PROXY_FD"},
		"management":    {`"discovery"`, `"management":"here","discovery"`, "management"},
		"not an object": {validFile, `[]`, "file"},
	} {
		env := map[string]string{}
		if tc.from == "" {
			env[tc.want] = "x"
		}
		_, err := load(strings.Replace(validFile, tc.from, tc.to, 1), env)
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, tc.want)
		}
	}
	if _, err := Load(func(string) string { return "" }, nil); err == nil {
		t.Error("a missing PROXY_CONFIG is accepted")
	}
	gone := errors.New("gone")
	if _, err := Load(func(string) string { return "f" }, func(string) ([]byte, error) { return nil, gone }); !errors.Is(err, gone) {
		t.Errorf("an unreadable file gives %v", err)
	}
}

func TestReload(t *testing.T) {
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
		"known of another form": {`"known":{"seq":41,"whole":true,"hosts":[]}`, `"known":{}`, nil, "127.0.0.9:8500", nil},
		"limits":                {"1024", "512", nil, "127.0.0.9:8500", []string{"limits.sockets"}},
		"settings":              {`"idempotent"`, `"at_most_once"`, nil, "127.0.0.9:8500", nil},
		"a class less": {validFile[strings.Index(validFile, `,
 {"name":"pay"`):], "]}}", nil, "127.0.0.9:8500", nil},
		"what it is built on": {`"east","west"`, `"west","east"`, nil, "127.0.0.9:8500", []string{"settings.dcs", "settings.locality"}},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := load(validFile, tc.env)
			if err != nil {
				t.Fatal(err)
			}
			next, ignored, err := c.Reload(func(name string) string {
				if name == "PROXY_CONFIG" {
					return "file"
				}
				return tc.env[name]
			}, func(string) ([]byte, error) { return []byte(strings.Replace(validFile, tc.from, tc.to, 1)), nil })
			if err != nil {
				t.Fatal(err)
			}
			if next.Settings.Zone != 1 || next.Names.Zones[1] != "west" {
				t.Errorf("zone %d of %v", next.Settings.Zone, next.Names.Zones)
			}
			if diff := cmp.Diff(tc.ignored, ignored); diff != "" || next.Discovery != tc.discovery {
				t.Errorf("discovery %s, ignored (-want +got):\n%s", next.Discovery, diff)
			}
		})
	}
}

// A file that lacks a key that the file had at the start is rejected, even if a variable or a default would replace the
// key.
func TestReloadRejectsInvalidFile(t *testing.T) {
	env := map[string]string{"PROXY_CONFIG": "file", "PROXY_NAME": "n3", "PROXY_LISTEN": "127.0.0.4:9000", "PROXY_DISCOVERY": "127.0.0.9:1"}
	c, err := load(validFile, env)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"empty": "", "blank": " \n", "no keys": "{}", "null": "null", "cut off": validFile[:len(validFile)-1], "two": validFile + "{}",
		"no name":             strings.Replace(validFile, `"name":"n3",`, "", 1),
		"no discovery":        strings.Replace(validFile, `"discovery":"127.0.0.9:8500",`, "", 1),
		"no known":            strings.Replace(validFile, `"known":{"seq":41,"whole":true,"hosts":[]},`, "", 1),
		"no settings":         strings.Replace(validFile, `"settings"`, `"unsettled"`, 1),
		"no zones":            strings.Replace(validFile, `"dcs":["east","west"],`, "", 1),
		"no workload":         strings.Replace(validFile, `"workload":"jobs",`, "", 1),
		"no cores":            strings.Replace(validFile, `"cores":1.0,`, "", 1),
		"no time-out":         strings.Replace(validFile, `"connect-timeout-us":250000,`, "", 1),
		"no attempts":         strings.Replace(validFile, `"attempts-cap":6,`, "", 1),
		"no classes":          strings.Replace(validFile, `"request-classes"`, `"others"`, 1),
		"none of the classes": validFile[:strings.Index(validFile, `{"name":"view"`)] + "]}}",
		"no effect":           strings.Replace(validFile, `"effect":"idempotent",`, "", 1),
		"no deadline":         strings.Replace(validFile, `,"give-up-us":5000000},`, "},", 1),
		"deadline of 0":       strings.Replace(validFile, `"give-up-us":5000000},`, `"give-up-us":0},`, 1),
		"deadline below 0":    strings.Replace(validFile, `"give-up-us":5000000},`, `"give-up-us":-5000000},`, 1),
		"deadline in words":   strings.Replace(validFile, `"give-up-us":5000000},`, `"give-up-us":"5000000"},`, 1),
		"no number":           strings.Replace(validFile, `"give-up-us":5000000},`, `"give-up-us":null},`, 1),
		"attempts of 0":       strings.Replace(validFile, `"attempts-cap":6`, `"attempts-cap":0`, 1),
		"attempts below 0":    strings.Replace(validFile, `"attempts-cap":6`, `"attempts-cap":-6`, 1),
		"attempts in words":   strings.Replace(validFile, `"attempts-cap":6`, `"attempts-cap":"6"`, 1),
		"half an attempt":     strings.Replace(validFile, `"attempts-cap":6`, `"attempts-cap":1.5`, 1),
	} {
		if _, _, err := c.Reload(func(name string) string { return env[name] },
			func(string) ([]byte, error) { return []byte(text), nil }); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
