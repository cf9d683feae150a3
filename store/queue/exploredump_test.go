package queue

import (
	"encoding/binary"
	"log/slog"
	"reflect"
	"slices"
	"strings"
)

func reflectOf(value any) reflect.Value { return reflect.ValueOf(value) }

// dumper encodes a state, with everything that it points to, canonically: equal states have equal encodings. Each
// pointer is followed once, and encoded as a number when it occurs again, so that cycles end.
type dumper struct {
	data []byte
	seen map[uintptr]int
}

var loggerType = reflect.TypeFor[*slog.Logger]()

func (d *dumper) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		d.number(boolNumber(v.Bool()))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		d.number(v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		d.number(int64(v.Uint()))
	case reflect.String:
		d.number(int64(v.Len()))
		d.data = append(d.data, v.String()...)
	case reflect.Pointer:
		d.pointer(v)
	case reflect.Interface:
		if v.IsNil() {
			d.number(0)
			return
		}
		d.value(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			d.value(v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		d.number(int64(v.Len()))
		for i := range v.Len() {
			d.value(v.Index(i))
		}
	case reflect.Map:
		d.table(v)
	}
}

func boolNumber(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (d *dumper) number(n int64) { d.data = binary.AppendVarint(d.data, n) }

func (d *dumper) pointer(v reflect.Value) {
	if v.IsNil() || v.Type() == loggerType {
		d.number(-1)
		return
	}
	if at, known := d.seen[v.Pointer()]; known {
		d.number(int64(at))
		return
	}
	d.seen[v.Pointer()] = len(d.seen)
	d.number(-2)
	d.value(v.Elem())
}

// table encodes a map in the order of its keys. A key that is a pointer is an end of a connection, and is ordered by
// its field name.
func (d *dumper) table(v reflect.Value) {
	type item struct {
		name  string
		value reflect.Value
	}
	var items []item
	for at := v.MapRange(); at.Next(); {
		items = append(items, item{name: keyName(at.Key()), value: at.Value()})
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.name, b.name) })
	d.number(int64(len(items)))
	for _, i := range items {
		d.number(int64(len(i.name)))
		d.data = append(d.data, i.name...)
		d.value(i.value)
	}
}

func keyName(key reflect.Value) string {
	switch key.Kind() {
	case reflect.Interface:
		return keyName(key.Elem())
	case reflect.Pointer:
		return key.Elem().FieldByName("name").String()
	case reflect.String:
		return key.String()
	}
	return string(binary.BigEndian.AppendUint64(nil, key.Uint()))
}
