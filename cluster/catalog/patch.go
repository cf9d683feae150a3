package catalog

import "strings"

// change is a patch as read.
type change struct {
	version       string // as written
	routes        items
	services      items
	limits        string // as written; empty: unchanged
	deletedRoutes map[string]bool
	deletedBacks  map[string]bool
}

// items are what is to be added to a list or replaced in it, in their order.
type items struct {
	names []string
	texts []string
}

// CheckPatch checks what can be said of a patch without the configuration that it is applied to.
func CheckPatch(patch []byte) error {
	_, err := readPatch(patch)
	return err
}

// Apply makes the configuration that a patch turns c into. Items are added at the end of their list, or replace the one of their
// name in its place; names to delete need not be there. The complete result is checked; the error is of type Findings.
func (c *Config) Apply(patch []byte) (*Config, error) {
	p, err := readPatch(patch)
	if err != nil {
		return nil, err
	}
	base := c
	if c.text == "" {
		if base, err = Parse(c.Document()); err != nil {
			return nil, err
		}
	}
	return base.reload(base.merge(p), &reader{checked: true})
}

func readPatch(patch []byte) (*change, error) {
	text, findings := readable(patch)
	if findings != nil {
		return nil, findings
	}
	r := &reader{}
	p := &change{}
	in := &cursor{text: text}
	members := r.members(in, "document", top, func(key string) {
		switch key {
		case fieldVersion:
			p.version = in.value()
			r.version(p.version)
		case fieldUpsert:
			r.upserts(in, p)
		case fieldDelete:
			r.deletes(in, p)
		default:
			in.value()
		}
	})
	if members != nil {
		r.require(members, top, fieldVersion)
	}
	r.contradictions(p.routes.names, p.deletedRoutes, fieldRoutes)
	r.contradictions(p.services.names, p.deletedBacks, fieldServices)
	if err := r.result(); err != nil {
		return nil, err
	}
	return p, nil
}

func (r *reader) upserts(in *cursor, p *change) {
	at := path{fieldUpsert, -1}
	r.optional(in, fieldUpsert, at, func(key string) {
		name := at.field(key)
		switch key {
		case fieldRoutes:
			routes, texts := r.routes(in, name)
			p.routes = items{make([]string, len(routes)), texts}
			for i := range routes {
				p.routes.names[i] = routes[i].Name
			}
			r.distinct(p.routes.names, name)
		case fieldServices:
			services, texts := r.services(in, name)
			p.services = items{make([]string, len(services)), texts}
			for i := range services {
				p.services.names[i] = services[i].Name
			}
			r.distinct(p.services.names, name)
		case fieldLimits:
			from := in.at
			r.limits(in, name)
			if written := in.text[from:in.at]; written != null {
				p.limits = written
			}
		default:
			r.add(name, "unknown: nothing of this kind can be changed")
			in.value()
		}
	})
}

// optional reads the members of an object that may be null.
func (r *reader) optional(in *cursor, name string, at path, visit func(key string)) {
	if in.next() == 'n' { // null
		in.value()
		return
	}
	r.members(in, name, at, visit)
}

func (r *reader) distinct(names []string, list string) {
	first := make(map[string]int, len(names))
	for i, name := range names {
		r.unique(first, name, list, i)
	}
}

func (r *reader) deletes(in *cursor, p *change) {
	at := path{fieldDelete, -1}
	r.optional(in, fieldDelete, at, func(key string) {
		name := at.field(key)
		switch key {
		case fieldRoutes:
			p.deletedRoutes = r.names(in, name)
		case fieldServices:
			p.deletedBacks = r.names(in, name)
		default:
			r.add(name, "unknown: nothing of this kind can be deleted")
			in.value()
		}
	})
}

func (r *reader) names(in *cursor, name string) map[string]bool {
	names := make(map[string]bool)
	if in.next() != '[' {
		if in.value() != null {
			r.add(name, "not a list")
		}
		return names
	}
	in.elements(func(index int) {
		value := in.value()
		if value[0] != '"' {
			r.add(path{name, index}.String(), "%s is not a string", shorten(value))
			return
		}
		names[unquote(value)] = true
	})
	return names
}

// contradictions reports names that are both given anew and deleted.
func (r *reader) contradictions(names []string, deleted map[string]bool, list string) {
	for i, name := range names {
		if deleted[name] {
			r.add(path{fieldUpsert + "." + list, i}.field(fieldName), "%q is deleted by the same change", name)
		}
	}
}

// merge writes the changed document.
func (c *Config) merge(p *change) string {
	var document strings.Builder
	document.Grow(len(c.text) + len(p.version) + p.routes.size() + p.services.size() + len(p.limits))
	routeName := func(i int) string { return c.Routes[i].Name }
	serviceName := func(i int) string { return c.Services[i].Name }
	document.WriteByte('{')
	for i, m := range c.members {
		if i > 0 {
			document.WriteByte(',')
		}
		document.WriteString(quote(m.key))
		document.WriteByte(':')
		switch {
		case m.key == fieldVersion:
			document.WriteString(p.version)
		case m.key == fieldRoutes:
			mergeList(&document, c.routes, routeName, p.routes, p.deletedRoutes)
		case m.key == fieldServices:
			mergeList(&document, c.backs, serviceName, p.services, p.deletedBacks)
		case m.key == fieldLimits && p.limits != "":
			document.WriteString(p.limits)
		default:
			document.WriteString(m.value)
		}
	}
	document.WriteByte('}')
	return document.String()
}

func (i items) size() int {
	size := 0
	for _, text := range i.texts {
		size += len(text) + 1
	}
	return size
}

// mergeList writes a list: what is there, without the deleted and with the replaced, then what is new.
func mergeList(document *strings.Builder, texts []string, name func(int) string, upserts items, deleted map[string]bool) {
	replaced := make(map[string]string, len(upserts.names))
	for i, name := range upserts.names {
		replaced[name] = upserts.texts[i]
	}
	separator := byte('[')
	write := func(text string) {
		document.WriteByte(separator)
		document.WriteString(text)
		separator = ','
	}
	present := make(map[string]bool, len(upserts.names))
	for i, text := range texts {
		key := name(i)
		if deleted[key] {
			continue
		}
		if other, ok := replaced[key]; ok {
			present[key] = true
			text = other
		}
		write(text)
	}
	for i, key := range upserts.names {
		if !present[key] {
			write(upserts.texts[i])
		}
	}
	if separator == '[' {
		document.WriteByte('[')
	}
	document.WriteByte(']')
}
