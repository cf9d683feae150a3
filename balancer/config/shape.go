package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// shape is the structure of a JSON value: its keys and their types. It serves to detect a file that lacks a key.
// Without it, most missing keys would read as zero, and some would be hidden by a PROXY_ variable or a default.
type shape struct {
	kind string            // type of the value, "" for any
	keys map[string]*shape // shapes of an object's values
	item *shape            // shape common to all items of a list, nil for an empty list
}

// shapeOf returns the shape of a file. The content of known, the server list, may differ, since it is used only at a start.
func shapeOf(text []byte) (*shape, error) {
	v, err := decode(text)
	if err != nil {
		return nil, err
	}
	s := shapeOfValue(v)
	if known := s.keys["known"]; known != nil {
		known.keys = nil
	}
	return s, nil
}

func decode(text []byte) (v any, err error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	err = dec.Decode(&v)
	return v, err
}

func kindOf(v any) string {
	switch v.(type) {
	case map[string]any:
		return "object"
	case []any:
		return "list"
	case json.Number:
		return "number"
	case string:
		return "string"
	case bool:
		return "true or false"
	}
	return ""
}

func shapeOfValue(v any) *shape {
	s := &shape{kind: kindOf(v)}
	switch v := v.(type) {
	case map[string]any:
		s.keys = make(map[string]*shape)
		for key, item := range v {
			s.keys[key] = shapeOfValue(item)
		}
	case []any:
		for _, item := range v {
			s.item = s.item.common(shapeOfValue(item))
		}
	}
	return s
}

// common returns the part that two shapes of list items have in common.
func (s *shape) common(t *shape) *shape {
	if s == nil || t == nil {
		return t
	}
	both := &shape{item: s.item.common(t.item)}
	if s.kind == t.kind {
		both.kind = s.kind
	}
	for key := range s.keys {
		if t.keys[key] != nil {
			if both.keys == nil {
				both.keys = make(map[string]*shape)
			}
			both.keys[key] = s.keys[key].common(t.keys[key])
		}
	}
	return both
}

// check returns an error that names the first part of the shape that a file doesn't have, or nil.
func (s *shape) check(text []byte) error {
	v, err := decode(text)
	if err != nil {
		return err
	}
	return s.checkValue(v, "the file")
}

func (s *shape) checkValue(v any, path string) error {
	if s.kind != "" && kindOf(v) != s.kind {
		return fmt.Errorf("%s is no %s", path, s.kind)
	}
	if object, ok := v.(map[string]any); ok {
		for _, key := range slices.Sorted(maps.Keys(s.keys)) {
			item, given := object[key]
			if !given {
				return fmt.Errorf("%s.%s is missing", path, key)
			}
			if err := s.keys[key].checkValue(item, path+"."+key); err != nil {
				return err
			}
		}
	}
	if list, ok := v.([]any); ok && s.item != nil {
		for i := range list {
			if err := s.item.checkValue(list[i], fmt.Sprintf("%s.%d", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}
