package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// Change is one difference between two configurations.
type Change struct {
	Path   string `json:"path"`   // a field, or an item by its name: routes/r-1/timeoutMs
	Before string `json:"before"` // as JSON; empty: it was not there
	After  string `json:"after"`  // as JSON; empty: it is gone
}

// String renders the change in one line: + is new, - is gone, ~ is other than before.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s %s", c.Path, c.Before)
	}
	return fmt.Sprintf("~ %s %s -> %s", c.Path, c.Before, c.After)
}

// Diff lists what differs between two configurations, item by item and field by field. The order of items, and space, don't count.
// No document is an empty one.
func Diff(before, after []byte) ([]Change, error) {
	old, err := fieldsOf(before)
	if err != nil {
		return nil, fmt.Errorf("document: before: %w", err)
	}
	new, err := fieldsOf(after)
	if err != nil {
		return nil, fmt.Errorf("document: after: %w", err)
	}
	return compareFields("", old, new, compareTop), nil
}

type fields map[string]json.RawMessage

func fieldsOf(document []byte) (fields, error) {
	if len(bytes.TrimSpace(document)) == 0 {
		return fields{}, nil
	}
	var f fields
	if err := json.Unmarshal(document, &f); err != nil {
		return nil, err
	}
	return f, nil
}

// compare lists the differences of two values, both of which are there.
type compare func(path string, before, after json.RawMessage) []Change

func compareFields(prefix string, before, after fields, inside compare) []Change {
	names := make([]string, 0, len(before)+len(after))
	for name := range before {
		names = append(names, name)
	}
	for name := range after {
		if _, both := before[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var changes []Change
	for _, name := range names {
		old, had := before[name]
		new, has := after[name]
		if had && has {
			changes = append(changes, inside(prefix+name, old, new)...)
			continue
		}
		changes = append(changes, Change{Path: prefix + name, Before: compact(old), After: compact(new)})
	}
	return changes
}

// compareTop compares fields of the whole document: lists of items by the items' names, objects by their fields.
func compareTop(path string, before, after json.RawMessage) []Change {
	if old, ok := itemsOf(before); ok {
		if new, ok := itemsOf(after); ok {
			return compareFields(path+"/", old, new, compareObjects)
		}
	}
	return compareObjects(path, before, after)
}

func compareObjects(path string, before, after json.RawMessage) []Change {
	var old, new fields
	if json.Unmarshal(before, &old) == nil && json.Unmarshal(after, &new) == nil && old != nil && new != nil {
		return compareFields(path+"/", old, new, compareValues)
	}
	return compareValues(path, before, after)
}

func compareValues(path string, before, after json.RawMessage) []Change {
	if old, new := compact(before), compact(after); old != new {
		return []Change{{Path: path, Before: old, After: new}}
	}
	return nil
}

// itemsOf reads a list of objects that all have different names.
func itemsOf(list json.RawMessage) (fields, bool) {
	var items []json.RawMessage
	if json.Unmarshal(list, &items) != nil || items == nil {
		return nil, false
	}
	named := make(fields, len(items))
	for _, item := range items {
		var head struct {
			Name string `json:"name"`
		}
		if json.Unmarshal(item, &head) != nil || head.Name == "" || named[head.Name] != nil {
			return nil, false
		}
		named[head.Name] = item
	}
	return named, true
}

func compact(value json.RawMessage) string {
	var compacted bytes.Buffer
	if json.Compact(&compacted, value) != nil {
		return string(value)
	}
	return compacted.String()
}
