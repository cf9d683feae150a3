package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// Change is one difference between two configurations.
type Change struct {
	Path   string `json:"path"`   // a field, or a named item, such as routes/r-1/timeoutMs
	Before string `json:"before"` // as JSON; empty if added
	After  string `json:"after"`  // as JSON; empty if removed
}

// String formats the change as one line, which starts with + for added, - for removed and ~ for modified.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s %s", c.Path, c.Before)
	}
	return fmt.Sprintf("~ %s %s -> %s", c.Path, c.Before, c.After)
}

// Diff lists the differences between two configurations by item and field. It ignores whitespace and the order of items, and treats
// missing input as an empty document.
func Diff(before, after []byte) ([]Change, error) {
	old, err := parseFields(before)
	if err != nil {
		return nil, fmt.Errorf("document: before: %w", err)
	}
	new, err := parseFields(after)
	if err != nil {
		return nil, fmt.Errorf("document: after: %w", err)
	}
	return compareFields("", old, new, compareTopLevel), nil
}

type fields map[string]json.RawMessage

func parseFields(document []byte) (fields, error) {
	if len(bytes.TrimSpace(document)) == 0 {
		return fields{}, nil
	}
	var f fields
	if err := json.Unmarshal(document, &f); err != nil {
		return nil, err
	}
	return f, nil
}

// compareFunc lists the differences between two present values.
type compareFunc func(path string, before, after json.RawMessage) []Change

func compareFields(prefix string, before, after fields, compareField compareFunc) []Change {
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
		old, inBefore := before[name]
		new, inAfter := after[name]
		if inBefore && inAfter {
			changes = append(changes, compareField(prefix+name, old, new)...)
			continue
		}
		changes = append(changes, Change{Path: prefix + name, Before: compact(old), After: compact(new)})
	}
	return changes
}

// compareTopLevel compares two values of a top-level field: lists by the names of their items, objects by their fields.
func compareTopLevel(path string, before, after json.RawMessage) []Change {
	if old, ok := parseItems(before); ok {
		if new, ok := parseItems(after); ok {
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

// parseItems parses a list of objects with unique names. It returns false for any other value.
func parseItems(list json.RawMessage) (fields, bool) {
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
