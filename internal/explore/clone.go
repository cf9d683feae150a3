package explore

import (
	"fmt"
	"reflect"
	"unsafe"
)

// Clone returns a deep copy of a value, including unexported fields. Pointers that are equal in the original are
// equal in the copy. Functions are shared: the caller has to replace those that refer to copied data. Channels can't
// be copied. Pointers in keep, to data that never changes, are shared instead of copied.
func Clone[T any](value T, keep ...any) T {
	c := &cloner{copies: make(map[pointerKey]reflect.Value)}
	for _, shared := range keep {
		original := reflect.ValueOf(shared)
		c.copies[pointerKey{original.Type(), original.Pointer()}] = original
	}
	var result T
	c.copy(reflect.ValueOf(&result).Elem(), reflect.ValueOf(&value).Elem())
	return result
}

type pointerKey struct {
	kind    reflect.Type
	address uintptr
}

type cloner struct {
	copies map[pointerKey]reflect.Value
}

// writable returns a field as a value that can be read and set even if the field is unexported.
func writable(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

// copy sets to to a deep copy of from. Both are addressable.
func (c *cloner) copy(to, from reflect.Value) {
	switch from.Kind() {
	case reflect.Pointer:
		c.pointer(to, from)
	case reflect.Interface:
		c.interfaceValue(to, from)
	case reflect.Struct:
		for i := range from.NumField() {
			c.copy(writable(to.Field(i)), writable(from.Field(i)))
		}
	case reflect.Array:
		for i := range from.Len() {
			c.copy(to.Index(i), from.Index(i))
		}
	case reflect.Slice:
		c.slice(to, from)
	case reflect.Map:
		c.mapValue(to, from)
	case reflect.Chan, reflect.UnsafePointer:
		panic(fmt.Sprintf("explore: %v can't be copied", from.Type()))
	default:
		to.Set(from)
	}
}

func (c *cloner) pointer(to, from reflect.Value) {
	if from.IsNil() {
		return
	}
	at := pointerKey{from.Type(), from.Pointer()}
	copied, known := c.copies[at]
	if !known {
		copied = reflect.New(from.Type().Elem())
		c.copies[at] = copied
		c.copy(copied.Elem(), from.Elem())
	}
	to.Set(copied)
}

func (c *cloner) interfaceValue(to, from reflect.Value) {
	if !from.IsNil() {
		to.Set(c.copyOf(from.Elem()))
	}
}

// copyOf returns a deep copy of a value that is not addressable.
func (c *cloner) copyOf(value reflect.Value) reflect.Value {
	from, to := reflect.New(value.Type()).Elem(), reflect.New(value.Type()).Elem()
	from.Set(value)
	c.copy(to, from)
	return to
}

func (c *cloner) slice(to, from reflect.Value) {
	if from.IsNil() {
		return
	}
	to.Set(reflect.MakeSlice(from.Type(), from.Len(), from.Len()))
	if isFlat(from.Type().Elem().Kind()) {
		reflect.Copy(to, from)
		return
	}
	for i := range from.Len() {
		c.copy(to.Index(i), from.Index(i))
	}
}

func (c *cloner) mapValue(to, from reflect.Value) {
	if from.IsNil() {
		return
	}
	to.Set(reflect.MakeMapWithSize(from.Type(), from.Len()))
	for entries := from.MapRange(); entries.Next(); {
		to.SetMapIndex(c.copyOf(entries.Key()), c.copyOf(entries.Value()))
	}
}

// isFlat reports whether values of a kind can be copied without following references.
func isFlat(kind reflect.Kind) bool {
	return kind >= reflect.Bool && kind <= reflect.Complex128 || kind == reflect.String
}
