package catalog

import (
	"slices"
	"strings"
)

// Index looks up routes and services. It is immutable.
type Index struct {
	config   *Config
	routes   map[string]*Route
	services map[string]*Service
	byPrefix map[routeKey]*Route
	lengths  map[string][]int // distinct lengths of a host's prefixes, longest first
}

// NewIndex indexes a configuration, which must not be modified afterwards. A nil configuration is treated as empty.
func NewIndex(c *Config) *Index {
	if c == nil {
		c = &Config{}
	}
	x := &Index{
		config:   c,
		routes:   make(map[string]*Route, len(c.Routes)),
		services: make(map[string]*Service, len(c.Services)),
		byPrefix: make(map[routeKey]*Route, len(c.Routes)),
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
	x.byPrefix[routeKey{host, route.PathPrefix}] = route
	lengths := x.lengths[host]
	at, found := slices.BinarySearchFunc(lengths, len(route.PathPrefix), func(have, want int) int { return want - have })
	if !found {
		x.lengths[host] = slices.Insert(lengths, at, len(route.PathPrefix))
	}
}

// Config returns the indexed configuration.
func (x *Index) Config() *Config { return x.config }

// Route returns the route with a name, or nil.
func (x *Index) Route(name string) *Route { return x.routes[name] }

// Service returns the service with a name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Match returns the route of a request, or nil: among the routes of the host, the one with the longest prefix of the
// path. The host is the value of a Host header; its case and port are ignored.
func (x *Index) Match(host, path string) *Route {
	host = normalHost(host)
	for _, length := range x.lengths[host] {
		if length > len(path) {
			continue
		}
		if route := x.byPrefix[routeKey{host, path[:length]}]; route != nil {
			return route
		}
	}
	return nil
}

// normalHost removes the port and converts to lower case. It allocates only if the host has upper-case letters.
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

// insideBrackets reports whether a colon belongs to a bracketed IPv6 address rather than preceding a port.
func insideBrackets(host string, colon int) bool {
	return strings.IndexByte(host[colon:], ']') >= 0
}
