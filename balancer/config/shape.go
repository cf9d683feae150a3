package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// shape is which keys a JSON value has, and of what kinds. It guards against a file that lacks a key: most would read
// as zero, and some be hidden by a PROXY_ variable or a default.
type shape struct {
	kind string            // "" where anything will do
	keys map[string]*shape // of an object
	item *shape            // of each item of a list, nil where it had none
}

// shapeOf returns the shape of a file. The list that is known is only for a start: what is in it may differ.
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
			s.item = s.item.with(shapeOfValue(item))
		}
	}
	return s
}

// with is what two items of a list have in common.
func (s *shape) with(t *shape) *shape {
	if s == nil || t == nil {
		return t
	}
	both := &shape{item: s.item.with(t.item)}
	if s.kind == t.kind {
		both.kind = s.kind
	}
	for key := range s.keys {
		if t.keys[key] != nil {
			if both.keys == nil {
				both.keys = make(map[string]*shape)
			}
			both.keys[key] = s.keys[key].with(t.keys[key])
		}
	}
	return both
}

// lacks names the first thing that a file does not have of the shape.
func (s *shape) lacks(text []byte) error {
	v, err := decode(text)
	if err != nil {
		return err
	}
	return s.lacked(v, "the file")
}

func (s *shape) lacked(v any, path string) error {
	if s.kind != "" && kindOf(v) != s.kind {
		return fmt.Errorf("%s is no %s", path, s.kind)
	}
	if object, ok := v.(map[string]any); ok {
		for _, key := range slices.Sorted(maps.Keys(s.keys)) {
			item, given := object[key]
			if !given {
				return fmt.Errorf("%s.%s is missing", path, key)
			}
			if err := s.keys[key].lacked(item, path+"."+key); err != nil {
				return err
			}
		}
	}
	if list, ok := v.([]any); ok && s.item != nil {
		for i := range list {
			if err := s.item.lacked(list[i], fmt.Sprintf("%s.%d", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}
