package catalog

import (
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Names of JSON fields in a configuration and in a patch.
const (
	fieldVersion  = "version"
	fieldRoutes   = "routes"
	fieldServices = "backends"
	fieldLimits   = "limits"
	fieldUpsert   = "upsert"
	fieldDelete   = "delete"
	fieldName     = "name"
)

// maxExactInteger is the limit up to which a float64 represents every integer exactly.
const maxExactInteger = 1 << 53

const null = "null"

// reader decodes valid JSON into typed values and collects findings.
type reader struct {
	collector
	fieldsChecked bool // skip the validation of single fields: it was done before
}

// path locates a JSON value. It is formatted only when a finding is reported.
type path struct {
	list  string
	index int // of an item in the list; negative: the list itself
}

func (p path) field(name string) string {
	if p.list == "" {
		return name
	}
	return p.String() + "." + name
}

// String formats the path for a finding.
func (p path) String() string {
	if p.index < 0 {
		return p.list
	}
	return fmt.Sprintf("%s[%d]", p.list, p.index)
}

var rootPath = path{index: -1}

func (r *reader) config(text string) *Config {
	c := &Config{text: text}
	in := &cursor{text: text}
	c.members = r.members(in, "document", rootPath, func(key string) {
		switch key {
		case fieldVersion:
			c.Version = r.version(in.value())
		case fieldRoutes:
			c.Routes, c.routeTexts = r.routes(in, fieldRoutes)
		case fieldServices:
			c.Services, c.serviceTexts = r.services(in, fieldServices)
		case fieldLimits:
			c.Limits = r.limits(in, fieldLimits)
		default:
			in.value()
		}
	})
	if c.members != nil {
		r.requireMembers(c.members, rootPath, fieldVersion, fieldRoutes, fieldServices, fieldLimits)
	}
	return c
}

// members reads the next object and reports duplicate fields. The visitor must consume each field's value. It returns
// nil if the next value is not an object.
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
		from := in.offset
		visit(key)
		members = append(members, member{key, in.text[from:in.offset]})
	})
	return members
}

func (r *reader) requireMembers(members []member, at path, names ...string) {
	for _, name := range names {
		if value, ok := findMember(members, name); !ok || value == null {
			r.add(at.field(name), "missing")
		}
	}
}

func findMember(members []member, name string) (string, bool) {
	for _, m := range members {
		if m.key == name {
			return m.value, true
		}
	}
	return "", false
}

func (r *reader) version(value string) uint64 {
	if value == null {
		return 0 // requireMembers reports it as missing
	}
	if version, err := strconv.ParseUint(value, 10, 64); err == nil && version > 0 {
		return version
	}
	version, err := strconv.ParseFloat(value, 64)
	if err != nil || !isInteger(version) || version <= 0 {
		r.add(fieldVersion, "%s is not a whole number above 0", truncate(value))
		return 0
	}
	return uint64(version)
}

func (r *reader) routes(in *cursor, name string) ([]Route, []string) {
	var routes []Route
	var texts []string
	r.objects(in, name, func(at path, remaining int) {
		from := in.offset
		route := r.route(in, at)
		routes = append(slices.Grow(routes, remaining), route)
		texts = append(slices.Grow(texts, remaining), in.text[from:in.offset])
	})
	return routes, texts
}

func (r *reader) services(in *cursor, name string) ([]Service, []string) {
	var services []Service
	var texts []string
	r.objects(in, name, func(at path, remaining int) {
		from := in.offset
		service := r.service(in, at)
		services = append(slices.Grow(services, remaining), service)
		texts = append(slices.Grow(texts, remaining), in.text[from:in.offset])
	})
	return services, texts
}

// sampleSize is the number of items after which the length of a list is estimated, to allocate the rest at once.
const sampleSize = 32

// objects calls visit for each item of the next value, a list of objects. The visitor must consume the item. It
// receives once, after sampleSize items, an estimate of how many remain, and 0 otherwise.
func (r *reader) objects(in *cursor, name string, visit func(at path, remaining int)) {
	first := in.next()
	if first != '[' {
		if in.value() != null {
			r.add(name, "not a list")
		}
		return
	}
	from := in.offset
	in.elements(func(index int) {
		at := path{name, index}
		if in.next() != '{' {
			r.add(at.String(), "not an object")
			in.value()
			return
		}
		remaining := 0
		if index == sampleSize {
			remaining = (len(in.text) - in.offset) * sampleSize / (in.offset - from)
		}
		visit(at, remaining)
	})
}

func (r *reader) route(in *cursor, at path) Route {
	var route Route
	var seen fieldSet
	in.members(func(key string) {
		value := in.value()
		switch key {
		case fieldName:
			r.checkDuplicate(&seen, 0, at, key)
			route.Name = r.text(value, at, key)
		case "host":
			r.checkDuplicate(&seen, 1, at, key)
			route.Host = r.text(value, at, key)
		case "pathPrefix":
			r.checkDuplicate(&seen, 2, at, key)
			route.PathPrefix = r.text(value, at, key)
		case "type":
			r.checkDuplicate(&seen, 3, at, key)
			route.Type = r.text(value, at, key)
		case "backend":
			r.checkDuplicate(&seen, 4, at, key)
			route.Service = r.text(value, at, key)
		case "priority":
			r.checkDuplicate(&seen, 5, at, key)
			route.Priority = r.integer(value, at, key)
		case "targetMs":
			r.checkDuplicate(&seen, 6, at, key)
			route.TargetMs = r.number(value, at, key)
		case "startTargetMs":
			r.checkDuplicate(&seen, 7, at, key)
			route.StartTargetMs = r.number(value, at, key)
		case "timeoutMs":
			r.checkDuplicate(&seen, 8, at, key)
			route.TimeoutMs = r.number(value, at, key)
		case "retries":
			r.checkDuplicate(&seen, 9, at, key)
			route.Retries = r.integer(value, at, key)
		case "fifo":
			r.checkDuplicate(&seen, 10, at, key)
			route.Ordered = r.boolean(value, at, key)
		case "retentionS":
			r.checkDuplicate(&seen, 11, at, key)
			route.RetentionS = r.number(value, at, key)
		case "callbackUrl":
			r.checkDuplicate(&seen, 12, at, key)
			route.CallbackURL = r.boolean(value, at, key)
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
			r.checkDuplicate(&seen, 0, at, key)
			service.Name = r.text(value, at, key)
		case "healthPath":
			r.checkDuplicate(&seen, 1, at, key)
			service.HealthPath = r.text(value, at, key)
		case "maxConns":
			r.checkDuplicate(&seen, 2, at, key)
			service.MaxConns = r.integer(value, at, key)
		case "protocol":
			r.checkDuplicate(&seen, 3, at, key)
			service.Protocol = r.text(value, at, key)
		case "tls":
			r.checkDuplicate(&seen, 4, at, key)
			service.TLS = r.boolean(value, at, key)
		case "ratePerS":
			r.checkDuplicate(&seen, 5, at, key)
			service.RatePerS = r.number(value, at, key)
		case "idempotent":
			r.checkDuplicate(&seen, 6, at, key)
			service.Idempotent = r.boolean(value, at, key)
		case "pull":
			r.checkDuplicate(&seen, 7, at, key)
			service.Pull = r.boolean(value, at, key)
		case "endpoint":
			r.checkDuplicate(&seen, 8, at, key)
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

// fieldSet is a bit set of an item's known fields that have been read.
type fieldSet uint32

func (r *reader) checkDuplicate(seen *fieldSet, field uint, at path, key string) {
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
		r.add(at.field(key), "%s is not a string", truncate(value))
		return ""
	}
	return unquote(value)
}

func (r *reader) boolean(value string, at path, key string) bool {
	switch value {
	case "true":
		return true
	case "false", null:
	default:
		r.add(at.field(key), "%s is neither true nor false", truncate(value))
	}
	return false
}

func (r *reader) number(value string, at path, key string) float64 {
	if value == null {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil {
		r.add(at.field(key), "%s is not a number", truncate(value))
		return 0
	}
	return number
}

// integer decodes a whole number, also when it is written as 7.0 or 7e0.
func (r *reader) integer(value string, at path, key string) int {
	if number, err := strconv.Atoi(value); err == nil {
		return number
	}
	number := r.number(value, at, key)
	if !isInteger(number) {
		r.add(at.field(key), "%s is not a whole number", truncate(value))
		return 0
	}
	return int(number)
}

func isInteger(number float64) bool {
	return number == math.Trunc(number) && math.Abs(number) <= maxExactInteger
}

// maxQuotedBytes is how many bytes of an invalid value a finding quotes.
const maxQuotedBytes = 60

func truncate(value string) string {
	if len(value) <= maxQuotedBytes {
		return value
	}
	return value[:maxQuotedBytes] + "..."
}
