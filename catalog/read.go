package catalog

import (
	"fmt"
	"math"
	"strconv"
)

// The fields of a configuration and of a change.
const (
	fieldVersion  = "version"
	fieldRoutes   = "routes"
	fieldServices = "backends"
	fieldLimits   = "limits"
	fieldUpsert   = "upsert"
	fieldDelete   = "delete"
	fieldName     = "name"
)

// maxExactInteger is the largest whole number up to which a float64 holds each.
const maxExactInteger = 1 << 53

const null = "null"

// reader makes typed values of valid JSON, and gathers what is wrong with them.
type reader struct {
	collector
	checked bool // the fields have been checked before
}

// place names a JSON value. It is put together only when something is to be reported.
type place struct {
	list  string
	index int // in the list; negative: the list itself
}

func (p place) field(name string) string {
	if p.list == "" {
		return name
	}
	return p.String() + "." + name
}

func (p place) String() string {
	if p.index < 0 {
		return p.list
	}
	return fmt.Sprintf("%s[%d]", p.list, p.index)
}

var top = place{index: -1}

func (r *reader) config(text string) *Config {
	c := &Config{text: text}
	c.members = r.members(text, "document", top)
	if len(r.findings) > 0 {
		return c
	}
	for _, m := range c.members {
		switch m.key {
		case fieldVersion:
			c.Version = r.version(m.value)
		case fieldRoutes:
			c.Routes, c.routes = r.routes(m.value, fieldRoutes)
		case fieldServices:
			c.Services, c.backs = r.services(m.value, fieldServices)
		case fieldLimits:
			c.Limits = r.limits(m.value, fieldLimits)
		}
	}
	r.require(c.members, top, fieldVersion, fieldRoutes, fieldServices, fieldLimits)
	return c
}

// members lists the fields of an object, each of which may stand there once.
func (r *reader) members(object, name string, at place) []member {
	if object[0] != '{' {
		r.add(name, "not an object")
		return nil
	}
	var members []member
	seen := make(map[string]bool)
	eachMember(object, func(key, value string) {
		if seen[key] {
			r.add(at.field(key), "stands there twice")
		}
		seen[key] = true
		members = append(members, member{key, value})
	})
	return members
}

func (r *reader) require(members []member, at place, names ...string) {
	for _, name := range names {
		if value, ok := find(members, name); !ok || value == null {
			r.add(at.field(name), "missing")
		}
	}
}

func find(members []member, name string) (string, bool) {
	for _, m := range members {
		if m.key == name {
			return m.value, true
		}
	}
	return "", false
}

func (r *reader) version(value string) uint64 {
	if value == null {
		return 0 // reported as missing
	}
	if version, err := strconv.ParseUint(value, 10, 64); err == nil && version > 0 {
		return version
	}
	version, err := strconv.ParseFloat(value, 64)
	if err != nil || !isWhole(version) || version <= 0 {
		r.add(fieldVersion, "%s is not a whole number above 0", shorten(value))
		return 0
	}
	return uint64(version)
}

func (r *reader) routes(list, name string) ([]Route, []string) {
	var routes []Route
	var texts []string
	r.objects(list, name, func(at place, item string) {
		routes = append(routes, r.route(item, at))
		texts = append(texts, item)
	})
	return routes, texts
}

func (r *reader) services(list, name string) ([]Service, []string) {
	var services []Service
	var texts []string
	r.objects(list, name, func(at place, item string) {
		services = append(services, r.service(item, at))
		texts = append(texts, item)
	})
	return services, texts
}

// objects visits the items of a list of objects.
func (r *reader) objects(list, name string, visit func(at place, item string)) {
	if list == null {
		return
	}
	if list[0] != '[' {
		r.add(name, "not a list")
		return
	}
	eachElement(list, func(index int, item string) {
		at := place{name, index}
		if item[0] != '{' {
			r.add(at.String(), "not an object")
			return
		}
		visit(at, item)
	})
}

func (r *reader) route(item string, at place) Route {
	var route Route
	var seen fieldSet
	eachMember(item, func(key, value string) {
		switch key {
		case fieldName:
			r.once(&seen, 0, at, key)
			route.Name = r.text(value, at, key)
		case "host":
			r.once(&seen, 1, at, key)
			route.Host = r.text(value, at, key)
		case "pathPrefix":
			r.once(&seen, 2, at, key)
			route.PathPrefix = r.text(value, at, key)
		case "type":
			r.once(&seen, 3, at, key)
			route.Type = r.text(value, at, key)
		case "backend":
			r.once(&seen, 4, at, key)
			route.Service = r.text(value, at, key)
		case "priority":
			r.once(&seen, 5, at, key)
			route.Priority = r.integer(value, at, key)
		case "targetMs":
			r.once(&seen, 6, at, key)
			route.TargetMs = r.number(value, at, key)
		case "startTargetMs":
			r.once(&seen, 7, at, key)
			route.StartTargetMs = r.number(value, at, key)
		case "timeoutMs":
			r.once(&seen, 8, at, key)
			route.TimeoutMs = r.number(value, at, key)
		case "retries":
			r.once(&seen, 9, at, key)
			route.Retries = r.integer(value, at, key)
		case "fifo":
			r.once(&seen, 10, at, key)
			route.Ordered = r.truth(value, at, key)
		case "retentionS":
			r.once(&seen, 11, at, key)
			route.RetentionS = r.number(value, at, key)
		case "callbackUrl":
			r.once(&seen, 12, at, key)
			route.CallbackURL = r.truth(value, at, key)
		}
	})
	r.check(&route, at)
	return route
}

func (r *reader) service(item string, at place) Service {
	var service Service
	var seen fieldSet
	eachMember(item, func(key, value string) {
		switch key {
		case fieldName:
			r.once(&seen, 0, at, key)
			service.Name = r.text(value, at, key)
		case "healthPath":
			r.once(&seen, 1, at, key)
			service.HealthPath = r.text(value, at, key)
		case "maxConns":
			r.once(&seen, 2, at, key)
			service.MaxConns = r.integer(value, at, key)
		case "protocol":
			r.once(&seen, 3, at, key)
			service.Protocol = r.text(value, at, key)
		case "tls":
			r.once(&seen, 4, at, key)
			service.TLS = r.truth(value, at, key)
		case "ratePerS":
			r.once(&seen, 5, at, key)
			service.RatePerS = r.number(value, at, key)
		case "idempotent":
			r.once(&seen, 6, at, key)
			service.Idempotent = r.truth(value, at, key)
		case "pull":
			r.once(&seen, 7, at, key)
			service.Pull = r.truth(value, at, key)
		case "endpoint":
			r.once(&seen, 8, at, key)
			service.Endpoint = r.text(value, at, key)
		}
	})
	r.check(&service, at)
	return service
}

func (r *reader) limits(object, name string) Limits {
	var limits Limits
	if object == null {
		return limits
	}
	at := place{name, -1}
	for _, m := range r.members(object, name, at) {
		switch m.key {
		case "maxHeaderBytes":
			limits.MaxHeaderBytes = r.integer(m.value, at, m.key)
		case "maxBodyBytes":
			limits.MaxBodyBytes = r.integer(m.value, at, m.key)
		case "headerTimeoutMs":
			limits.HeaderTimeoutMs = r.number(m.value, at, m.key)
		case "idleTimeoutMs":
			limits.IdleTimeoutMs = r.number(m.value, at, m.key)
		}
	}
	r.check(&limits, at)
	return limits
}

// fieldSet holds which of an item's known fields have been met.
type fieldSet uint32

func (r *reader) once(seen *fieldSet, field uint, at place, key string) {
	if *seen&(1<<field) != 0 {
		r.add(at.field(key), "stands there twice")
	}
	*seen |= 1 << field
}

func (r *reader) text(value string, at place, key string) string {
	if value == null {
		return ""
	}
	if value[0] != '"' {
		r.add(at.field(key), "%s is not a string", shorten(value))
		return ""
	}
	return unquote(value)
}

func (r *reader) truth(value string, at place, key string) bool {
	switch value {
	case "true":
		return true
	case "false", null:
	default:
		r.add(at.field(key), "%s is neither true nor false", shorten(value))
	}
	return false
}

func (r *reader) number(value string, at place, key string) float64 {
	if value == null {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil {
		r.add(at.field(key), "%s is not a number", shorten(value))
		return 0
	}
	return number
}

// integer takes whole numbers, also when they are written as 7.0 or 7e0.
func (r *reader) integer(value string, at place, key string) int {
	if number, err := strconv.Atoi(value); err == nil {
		return number
	}
	number := r.number(value, at, key)
	if !isWhole(number) {
		r.add(at.field(key), "%s is not a whole number", shorten(value))
		return 0
	}
	return int(number)
}

func isWhole(number float64) bool {
	return number == math.Trunc(number) && math.Abs(number) <= maxExactInteger
}

// longestQuote bounds how much of a value a finding repeats, in bytes.
const longestQuote = 60

func shorten(value string) string {
	if len(value) <= longestQuote {
		return value
	}
	return value[:longestQuote] + "..."
}
