package catalog

import (
	"slices"
	"strings"
)

// Index finds routes and services. It is immutable.
type Index struct {
	config   *Config
	routes   map[string]*Route
	services map[string]*Service
	byPrefix map[address]*Route
	lengths  map[string][]int // of the prefixes of a host, longest first
}

// NewIndex indexes a configuration, which must not be changed any more. Nil is an empty one.
func NewIndex(c *Config) *Index {
	if c == nil {
		c = &Config{}
	}
	x := &Index{
		config:   c,
		routes:   make(map[string]*Route, len(c.Routes)),
		services: make(map[string]*Service, len(c.Services)),
		byPrefix: make(map[address]*Route, len(c.Routes)),
		lengths:  make(map[string][]int),
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		x.addRoute(&c.Routes[i])
	}
	return x
}

func (x *Index) addRoute(route *Route) {
	host := normalHost(route.Host)
	x.routes[route.Name] = route
	x.byPrefix[address{host, route.PathPrefix}] = route
	lengths := x.lengths[host]
	at, found := slices.BinarySearchFunc(lengths, len(route.PathPrefix), func(have, want int) int { return want - have })
	if !found {
		x.lengths[host] = slices.Insert(lengths, at, len(route.PathPrefix))
	}
}

// Config is the configuration that the index was made of.
func (x *Index) Config() *Config { return x.config }

// Route returns the route of a name, or nil.
func (x *Index) Route(name string) *Route { return x.routes[name] }

// Service returns the service of a name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Match returns the route of a request: of those with its host, the one with the longest prefix that the path starts with. Nil
// is none. The host is a Host header: its case and its port don't matter.
func (x *Index) Match(host, path string) *Route {
	host = normalHost(host)
	for _, length := range x.lengths[host] {
		if length > len(path) {
			continue
		}
		if route := x.byPrefix[address{host, path[:length]}]; route != nil {
			return route
		}
	}
	return nil
}

// normalHost strips the port and lowers the case. It allocates for upper case only.
func normalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && isPort(host[colon+1:]) && !insideBrackets(host, colon) {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

func isPort(text string) bool {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return false
		}
	}
	return true
}

// insideBrackets says whether a colon is a part of an IPv6 address and not in front of a port.
func insideBrackets(host string, colon int) bool {
	return strings.IndexByte(host[colon:], ']') >= 0
}
