package catalog

import (
	"errors"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("json") })
	return v
}

// check validates the fields of one item by their validate tags.
func (r *reader) check(item any, at path) {
	if r.fieldsChecked {
		return
	}
	err := validate.Struct(item)
	if err == nil {
		return
	}
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		r.add(at.String(), "%v", err)
		return
	}
	for _, field := range fields {
		r.add(at.field(field.Field()), "%s", validationReason(field))
	}
}

func validationReason(field validator.FieldError) string {
	switch field.Tag() {
	case "required":
		return "missing or empty"
	case "startswith":
		return "does not start with " + field.Param()
	case "gt":
		return "must be above " + field.Param()
	case "gte":
		return "must be at least " + field.Param()
	}
	return "does not meet " + strings.TrimSpace(field.Tag()+" "+field.Param())
}

// routeKey identifies a route by host and path prefix. No two routes may share it.
type routeKey struct {
	host   string
	prefix string
}

// crossCheck reports duplicate names, duplicate route keys and routes to unknown services in a complete configuration.
func (r *reader) crossCheck(c *Config) {
	services := make(map[string]int, len(c.Services))
	for i := range c.Services {
		r.checkUnique(services, c.Services[i].Name, fieldServices, i)
	}
	routes := make(map[string]int, len(c.Routes))
	addresses := make(map[routeKey]int, len(c.Routes))
	for i := range c.Routes {
		route := &c.Routes[i]
		at := path{fieldRoutes, i}
		r.checkUnique(routes, route.Name, fieldRoutes, i)
		if _, ok := services[route.Service]; !ok {
			r.add(at.field("backend"), "route %q names the unknown service %q", route.Name, route.Service)
		}
		key := routeKey{normalHost(route.Host), route.PathPrefix}
		if first, exists := addresses[key]; exists {
			r.add(at.String(), "route %q has the host and prefix of route %q", route.Name, c.Routes[first].Name)
			continue
		}
		addresses[key] = i
	}
}

func (r *reader) checkUnique(names map[string]int, name, list string, index int) {
	if first, exists := names[name]; exists {
		r.add(path{list, index}.field(fieldName), "%q is the name of %s[%d] too", name, list, first)
		return
	}
	names[name] = index
}
