package catalog

import (
	"fmt"
	"math"
	"slices"
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

// path names a JSON value. It is put together only when something is to be reported.
type path struct {
	list  string
	index int // in the list; negative: the list itself
}

func (p path) field(name string) string {
	if p.list == "" {
		return name
	}
	return p.String() + "." + name
}

// String is the path as findings have it.
func (p path) String() string {
	if p.index < 0 {
		return p.list
	}
	return fmt.Sprintf("%s[%d]", p.list, p.index)
}

var top = path{index: -1}

func (r *reader) config(text string) *Config {
	c := &Config{text: text}
	in := &cursor{text: text}
	c.members = r.members(in, "document", top, func(key string) {
		switch key {
		case fieldVersion:
			c.Version = r.version(in.value())
		case fieldRoutes:
			c.Routes, c.routes = r.routes(in, fieldRoutes)
		case fieldServices:
			c.Services, c.backs = r.services(in, fieldServices)
		case fieldLimits:
			c.Limits = r.limits(in, fieldLimits)
		default:
			in.value()
		}
	})
	if c.members != nil {
		r.require(c.members, top, fieldVersion, fieldRoutes, fieldServices, fieldLimits)
	}
	return c
}

// members reads the object that comes next, each field of which may stand there once. The visitor has to take the value. The list is
// nil if there is no object.
func (r *reader) members(in *cursor, name string, at path, visit func(key string)) []member {
	if in.next() != '{' {
		r.add(name, "not an object")
		in.value()
		return nil
	}
	members := []member{}
	seen := make(map[string]bool)
	in.members(func(key string) {
		if seen[key] {
			r.add(at.field(key), "stands there twice")
		}
		seen[key] = true
		in.next()
		from := in.at
		visit(key)
		members = append(members, member{key, in.text[from:in.at]})
	})
	return members
}

func (r *reader) require(members []member, at path, names ...string) {
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
	if err != nil || !isInteger(version) || version <= 0 {
		r.add(fieldVersion, "%s is not a whole number above 0", shorten(value))
		return 0
	}
	return uint64(version)
}

func (r *reader) routes(in *cursor, name string) ([]Route, []string) {
	var routes []Route
	var texts []string
	r.objects(in, name, func(at path, left int) {
		from := in.at
		route := r.route(in, at)
		routes = append(slices.Grow(routes, left), route)
		texts = append(slices.Grow(texts, left), in.text[from:in.at])
	})
	return routes, texts
}

func (r *reader) services(in *cursor, name string) ([]Service, []string) {
	var services []Service
	var texts []string
	r.objects(in, name, func(at path, left int) {
		from := in.at
		service := r.service(in, at)
		services = append(slices.Grow(services, left), service)
		texts = append(slices.Grow(texts, left), in.text[from:in.at])
	})
	return services, texts
}

// sampleSize is after how many items of a list the number of all is estimated, to make room for them at once.
const sampleSize = 32

// objects visits the items of the list of objects that comes next. The visitor has to take the item, and is told once about how many
// are left.
func (r *reader) objects(in *cursor, name string, visit func(at path, left int)) {
	first := in.next()
	if first != '[' {
		if in.value() != null {
			r.add(name, "not a list")
		}
		return
	}
	from := in.at
	in.elements(func(index int) {
		at := path{name, index}
		if in.next() != '{' {
			r.add(at.String(), "not an object")
			in.value()
			return
		}
		left := 0
		if index == sampleSize {
			left = (len(in.text) - in.at) * sampleSize / (in.at - from)
		}
		visit(at, left)
	})
}

func (r *reader) route(in *cursor, at path) Route {
	var route Route
	var seen fieldSet
	in.members(func(key string) {
		value := in.value()
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

func (r *reader) service(in *cursor, at path) Service {
	var service Service
	var seen fieldSet
	in.members(func(key string) {
		value := in.value()
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

func (r *reader) limits(in *cursor, name string) Limits {
	var limits Limits
	if in.next() == 'n' { // null
		in.value()
		return limits
	}
	at := path{name, -1}
	r.members(in, name, at, func(key string) {
		value := in.value()
		switch key {
		case "maxHeaderBytes":
			limits.MaxHeaderBytes = r.integer(value, at, key)
		case "maxBodyBytes":
			limits.MaxBodyBytes = r.integer(value, at, key)
		case "headerTimeoutMs":
			limits.HeaderTimeoutMs = r.number(value, at, key)
		case "idleTimeoutMs":
			limits.IdleTimeoutMs = r.number(value, at, key)
		}
	})
	r.check(&limits, at)
	return limits
}

// fieldSet holds which of an item's known fields have been met.
type fieldSet uint32

func (r *reader) once(seen *fieldSet, field uint, at path, key string) {
	if *seen&(1<<field) != 0 {
		r.add(at.field(key), "stands there twice")
	}
	*seen |= 1 << field
}

func (r *reader) text(value string, at path, key string) string {
	if value == null {
		return ""
	}
	if value[0] != '"' {
		r.add(at.field(key), "%s is not a string", shorten(value))
		return ""
	}
	return unquote(value)
}

func (r *reader) truth(value string, at path, key string) bool {
	switch value {
	case "true":
		return true
	case "false", null:
	default:
		r.add(at.field(key), "%s is neither true nor false", shorten(value))
	}
	return false
}

func (r *reader) number(value string, at path, key string) float64 {
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
func (r *reader) integer(value string, at path, key string) int {
	if number, err := strconv.Atoi(value); err == nil {
		return number
	}
	number := r.number(value, at, key)
	if !isInteger(number) {
		r.add(at.field(key), "%s is not a whole number", shorten(value))
		return 0
	}
	return int(number)
}

func isInteger(number float64) bool {
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
