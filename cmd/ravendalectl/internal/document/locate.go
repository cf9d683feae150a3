// Package document locates places in configuration files and compares configurations, for human-readable output.
package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Line returns the line, counted from 1, of a place in the form of catalog.Finding: a path such as routes[3].timeoutMs, or "byte 17".
// For a path that does not exist, it returns the line of the innermost enclosing value. ok is false if no part of the place exists.
func Line(document []byte, place string) (line int, ok bool) {
	offset, ok := findOffset(document, place)
	if !ok || offset > len(document) {
		return 0, false
	}
	return 1 + bytes.Count(document[:offset], []byte{'\n'}), true
}

func findOffset(document []byte, place string) (int, bool) {
	var offset int
	if n, _ := fmt.Sscanf(place, "byte %d", &offset); n == 1 {
		return max(offset-1, 0), true
	}
	path, ok := parsePath(place)
	if !ok || !json.Valid(document) {
		return 0, false
	}
	w := &walker{decoder: json.NewDecoder(bytes.NewReader(document)), document: document}
	return w.find(path)
}

// step is one element of a path: a field of an object or an item of a list.
type step struct {
	field string
	index int // of an item; -1 for a field
}

func parsePath(place string) ([]step, bool) {
	var path []step
	for _, part := range strings.Split(place, ".") {
		field, indices, _ := strings.Cut(part, "[")
		if field == "" {
			return nil, false
		}
		path = append(path, step{field: field, index: -1})
		for indices != "" {
			number, rest, found := strings.Cut(indices, "]")
			index, err := strconv.Atoi(number)
			if !found || err != nil || index < 0 {
				return nil, false
			}
			path = append(path, step{index: index})
			indices = strings.TrimPrefix(rest, "[")
		}
	}
	return path, true
}

// walker finds values in a valid JSON document.
type walker struct {
	decoder  *json.Decoder
	document []byte
}

// nextOffset returns the offset at which the next token starts.
func (w *walker) nextOffset() int {
	offset := int(w.decoder.InputOffset())
	for offset < len(w.document) && strings.IndexByte(" \t\r\n,:", w.document[offset]) >= 0 {
		offset++
	}
	return offset
}

// find returns the offset of the value at a path, or of its innermost enclosing value. It returns false if the first step does not exist.
func (w *walker) find(path []step) (int, bool) {
	offset := w.nextOffset()
	if len(path) == 0 {
		return offset, true
	}
	token, err := w.decoder.Token()
	if err != nil {
		return 0, false
	}
	found := false
	switch {
	case token == json.Delim('{') && path[0].index < 0:
		offset, found = w.findField(path, offset)
	case token == json.Delim('[') && path[0].index >= 0:
		offset, found = w.findItem(path, offset)
	}
	return offset, found
}

// findField looks for the last field with the name: if a field is repeated, the last one applies and is the duplicate to report.
func (w *walker) findField(path []step, fallback int) (offset int, found bool) {
	offset = fallback
	for w.decoder.More() {
		start := w.nextOffset()
		key, err := w.decoder.Token()
		if err != nil {
			return offset, found
		}
		if key != path[0].field {
			w.skipValue()
			continue
		}
		offset, found = start, true
		if len(path) == 1 {
			w.skipValue()
			continue
		}
		valueStart := w.nextOffset()
		value := w.skipValue()
		inner := &walker{decoder: json.NewDecoder(bytes.NewReader(value)), document: value}
		if innerOffset, ok := inner.find(path[1:]); ok {
			offset = valueStart + innerOffset
		}
	}
	return offset, found
}

func (w *walker) findItem(path []step, fallback int) (int, bool) {
	for index := 0; w.decoder.More(); index++ {
		valueStart := w.nextOffset()
		value := w.skipValue()
		if index != path[0].index {
			continue
		}
		inner := &walker{decoder: json.NewDecoder(bytes.NewReader(value)), document: value}
		if innerOffset, ok := inner.find(path[1:]); ok {
			return valueStart + innerOffset, true
		}
		return valueStart, true
	}
	return fallback, false
}

// skipValue skips the next value and returns it.
func (w *walker) skipValue() json.RawMessage {
	var value json.RawMessage
	if err := w.decoder.Decode(&value); err != nil {
		return nil
	}
	return value
}
