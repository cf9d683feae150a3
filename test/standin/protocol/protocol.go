package protocol

import "strings"

// Headers of requests and answers.
const (
	HeaderRequestID      = "Request-Id"
	HeaderMessageID      = "Msg-Id"
	HeaderOrderKey       = "Order-Key"
	HeaderDelay          = "Delay-Ms"
	HeaderDeadline       = "Deadline-Ms"
	HeaderExpectInstance = "Expect-Instance"
	HeaderInstance       = "Instance-Id"
	HeaderSignature      = "Signature"
	HeaderNotExecuted    = "Not-Executed"
	HeaderBaseVersion    = "Base-Version"
)

// States of a message.
const (
	StatePending = "pending"
	StateDone    = "done"
	StateDead    = "dead_letter"
)

// States of a worker on the platform's list.
const (
	InstanceReady    = "ready"
	InstanceDraining = "draining"
)

// TypeDeferred is the type of routes that accept messages for later delivery.
const TypeDeferred = "deferred"

// Instance is an entry of the platform's list.
type Instance struct {
	ID       string `json:"id"`
	Service  string `json:"backend"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
	WarmupMs int64  `json:"warmupMs"`
}

// Page is one page of the platform's list.
type Page struct {
	Instances []Instance `json:"instances"`
	NextToken *string    `json:"nextToken"`
}

// Route is a route of a configuration. The names of times end with their unit.
type Route struct {
	Name          string  `json:"name"`
	Host          string  `json:"host"`
	PathPrefix    string  `json:"pathPrefix"`
	Type          string  `json:"type"`
	TimeoutMs     float64 `json:"timeoutMs"`
	TargetMs      float64 `json:"targetMs"`
	Priority      int     `json:"priority"`
	Service       string  `json:"backend"`
	Retries       int     `json:"retries"`
	Ordered       bool    `json:"fifo"`
	RetentionS    float64 `json:"retentionS"`
	CallbackURL   bool    `json:"callbackUrl"`
	StartTargetMs float64 `json:"startTargetMs"`
}

// Service is a service of a configuration.
type Service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	RatePerS   float64 `json:"ratePerS"`
	Idempotent bool    `json:"idempotent"`
	Pull       bool    `json:"pull"`
	Endpoint   *string `json:"endpoint"`
}

// Limits are the limits on clients' requests.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`
	MaxBodyBytes    int     `json:"maxBodyBytes"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`
}

// Config is a whole configuration.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"backends"`
	Limits   Limits    `json:"limits"`
}

// Patch changes named items of a configuration.
type Patch struct {
	Version uint64 `json:"version"`
	Upsert  Upsert `json:"upsert"`
	Delete  Delete `json:"delete"`
}

// Upsert lists the items that a patch adds or replaces.
type Upsert struct {
	Routes   []Route   `json:"routes,omitempty"`
	Services []Service `json:"backends,omitempty"`
}

// Delete lists the names of the items that a patch removes.
type Delete struct {
	Routes   []string `json:"routes,omitempty"`
	Services []string `json:"backends,omitempty"`
}

// Apply returns the configuration that results from applying a patch to c. It does not change c.
func (c Config) Apply(patch Patch) Config {
	routeName := func(route Route) string { return route.Name }
	serviceName := func(service Service) string { return service.Name }
	return Config{
		Version:  patch.Version,
		Routes:   merge(c.Routes, patch.Upsert.Routes, patch.Delete.Routes, routeName),
		Services: merge(c.Services, patch.Upsert.Services, patch.Delete.Services, serviceName),
		Limits:   c.Limits,
	}
}

func merge[T any](old, upsert []T, remove []string, name func(T) string) []T {
	changed := make(map[string]bool, len(upsert)+len(remove))
	for _, item := range upsert {
		changed[name(item)] = true
	}
	for _, gone := range remove {
		changed[gone] = true
	}
	var merged []T
	for _, item := range old {
		if !changed[name(item)] {
			merged = append(merged, item)
		}
	}
	return append(merged, upsert...)
}

// Match finds the route of a request: with the same host and the longest prefix of the target.
func (c Config) Match(host, target string) (Route, bool) {
	var best Route
	found := false
	for _, route := range c.Routes {
		if !strings.EqualFold(route.Host, host) || !strings.HasPrefix(target, route.PathPrefix) {
			continue
		}
		if !found || len(route.PathPrefix) > len(best.PathPrefix) {
			best, found = route, true
		}
	}
	return best, found
}

// Route finds a route by its name.
func (c Config) Route(name string) (Route, bool) {
	for _, route := range c.Routes {
		if route.Name == name {
			return route, true
		}
	}
	return Route{}, false
}
