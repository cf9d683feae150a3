package catalog

import "strings"

// parsedPatch is a decoded patch: upserts, deletions and the new version.
type parsedPatch struct {
	version         string // JSON text
	routes          upsertedItems
	services        upsertedItems
	limits          string // JSON text; empty: unchanged
	deletedRoutes   map[string]bool
	deletedServices map[string]bool
}

// upsertedItems are the items that a patch adds to a list or replaces in it, in the patch's order.
type upsertedItems struct {
	names []string
	texts []string
}

// CheckPatch checks a patch as far as possible without the configuration that it will be applied to.
func CheckPatch(patch []byte) error {
	_, err := readPatch(patch)
	return err
}

// Apply returns the configuration that results from applying a patch to c. An upserted item replaces the item with the
// same name in place, or is appended to the list; deleting an unknown name is not an error. The complete result is
// checked; the error is of type Findings.
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
	return base.reload(base.merge(p), &reader{fieldsChecked: true})
}

func readPatch(patch []byte) (*parsedPatch, error) {
	text, findings := checkJSON(patch)
	if findings != nil {
		return nil, findings
	}
	r := &reader{}
	p := &parsedPatch{}
	in := &cursor{text: text}
	members := r.members(in, "document", rootPath, func(key string) {
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
		r.requireMembers(members, rootPath, fieldVersion)
	}
	r.checkUpsertsNotDeleted(p.routes.names, p.deletedRoutes, fieldRoutes)
	r.checkUpsertsNotDeleted(p.services.names, p.deletedServices, fieldServices)
	if err := r.result(); err != nil {
		return nil, err
	}
	return p, nil
}

func (r *reader) upserts(in *cursor, p *parsedPatch) {
	at := path{fieldUpsert, -1}
	r.optionalMembers(in, fieldUpsert, at, func(key string) {
		name := at.field(key)
		switch key {
		case fieldRoutes:
			routes, texts := r.routes(in, name)
			p.routes = upsertedItems{make([]string, len(routes)), texts}
			for i := range routes {
				p.routes.names[i] = routes[i].Name
			}
			r.checkUniqueNames(p.routes.names, name)
		case fieldServices:
			services, texts := r.services(in, name)
			p.services = upsertedItems{make([]string, len(services)), texts}
			for i := range services {
				p.services.names[i] = services[i].Name
			}
			r.checkUniqueNames(p.services.names, name)
		case fieldLimits:
			from := in.offset
			r.limits(in, name)
			if written := in.text[from:in.offset]; written != null {
				p.limits = written
			}
		default:
			r.add(name, "unknown: nothing of this kind can be changed")
			in.value()
		}
	})
}

// optionalMembers is members for a value that may be null.
func (r *reader) optionalMembers(in *cursor, name string, at path, visit func(key string)) {
	if in.next() == 'n' { // null
		in.value()
		return
	}
	r.members(in, name, at, visit)
}

func (r *reader) checkUniqueNames(names []string, list string) {
	first := make(map[string]int, len(names))
	for i, name := range names {
		r.checkUnique(first, name, list, i)
	}
}

func (r *reader) deletes(in *cursor, p *parsedPatch) {
	at := path{fieldDelete, -1}
	r.optionalMembers(in, fieldDelete, at, func(key string) {
		name := at.field(key)
		switch key {
		case fieldRoutes:
			p.deletedRoutes = r.names(in, name)
		case fieldServices:
			p.deletedServices = r.names(in, name)
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
			r.add(path{name, index}.String(), "%s is not a string", truncate(value))
			return
		}
		names[unquote(value)] = true
	})
	return names
}

// checkUpsertsNotDeleted reports names that a patch both upserts and deletes.
func (r *reader) checkUpsertsNotDeleted(names []string, deleted map[string]bool, list string) {
	for i, name := range names {
		if deleted[name] {
			r.add(path{fieldUpsert + "." + list, i}.field(fieldName), "%q is deleted by the same change", name)
		}
	}
}

// merge returns the document with the patch applied.
func (c *Config) merge(p *parsedPatch) string {
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
			mergeList(&document, c.routeTexts, routeName, p.routes, p.deletedRoutes)
		case m.key == fieldServices:
			mergeList(&document, c.serviceTexts, serviceName, p.services, p.deletedServices)
		case m.key == fieldLimits && p.limits != "":
			document.WriteString(p.limits)
		default:
			document.WriteString(m.value)
		}
	}
	document.WriteByte('}')
	return document.String()
}

func (i upsertedItems) size() int {
	size := 0
	for _, text := range i.texts {
		size += len(text) + 1
	}
	return size
}

// mergeList writes a list: the existing items without the deleted ones and with replacements in place, then the new
// items.
func mergeList(document *strings.Builder, texts []string, name func(int) string, upserts upsertedItems, deleted map[string]bool) {
	replacements := make(map[string]string, len(upserts.names))
	for i, name := range upserts.names {
		replacements[name] = upserts.texts[i]
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
		if replacement, ok := replacements[key]; ok {
			present[key] = true
			text = replacement
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
