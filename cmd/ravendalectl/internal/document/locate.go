// Package document finds places in configurations and compares them, for people who read them.
package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Line returns the line, counted from 1, of a place as catalog.Finding has it: a path such as routes[3].timeoutMs, or "byte 17". Of
// what is not there, it is that of the innermost value around it that is. False: the place names nothing in the document.
func Line(document []byte, place string) (line int, ok bool) {
	offset, ok := offsetOf(document, place)
	if !ok || offset > len(document) {
		return 0, false
	}
	return 1 + bytes.Count(document[:offset], []byte{'\n'}), true
}

func offsetOf(document []byte, place string) (int, bool) {
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

// step is one part of a path: a field, or an item of a list.
type step struct {
	field string
	index int // of an item; -1: it is a field
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

// walker goes through a valid document.
type walker struct {
	decoder  *json.Decoder
	document []byte
}

// next is where the next token starts.
func (w *walker) next() int {
	offset := int(w.decoder.InputOffset())
	for offset < len(w.document) && strings.IndexByte(" \t\r\n,:", w.document[offset]) >= 0 {
		offset++
	}
	return offset
}

// find returns where the value of a path starts, or the innermost value around it. False: not even its first part is there.
func (w *walker) find(path []step) (int, bool) {
	at := w.next()
	if len(path) == 0 {
		return at, true
	}
	token, err := w.decoder.Token()
	if err != nil {
		return 0, false
	}
	inside := false
	switch {
	case token == json.Delim('{') && path[0].index < 0:
		at, inside = w.findField(path, at)
	case token == json.Delim('[') && path[0].index >= 0:
		at, inside = w.findItem(path, at)
	}
	return at, inside
}

// findField looks for the last field of a name, since that is the one that counts and the one that stands there twice.
func (w *walker) findField(path []step, around int) (at int, found bool) {
	at = around
	for w.decoder.More() {
		start := w.next()
		key, err := w.decoder.Token()
		if err != nil {
			return at, found
		}
		if key != path[0].field {
			w.skip()
			continue
		}
		at, found = start, true
		if len(path) == 1 {
			w.skip()
			continue
		}
		from := w.next()
		value := w.skip()
		inner := &walker{decoder: json.NewDecoder(bytes.NewReader(value)), document: value}
		if deeper, ok := inner.find(path[1:]); ok {
			at = from + deeper
		}
	}
	return at, found
}

func (w *walker) findItem(path []step, around int) (int, bool) {
	for index := 0; w.decoder.More(); index++ {
		from := w.next()
		value := w.skip()
		if index != path[0].index {
			continue
		}
		inner := &walker{decoder: json.NewDecoder(bytes.NewReader(value)), document: value}
		if deeper, ok := inner.find(path[1:]); ok {
			return from + deeper, true
		}
		return from, true
	}
	return around, false
}

// skip passes a value over and returns it.
func (w *walker) skip() json.RawMessage {
	var value json.RawMessage
	if err := w.decoder.Decode(&value); err != nil {
		return nil
	}
	return value
}
