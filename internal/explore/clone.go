package explore

import (
	"fmt"
	"reflect"
	"unsafe"
)

// Clone copies a value with all that it points to, unexported fields included. Pointers that were equal stay equal to one another.
// Functions are shared: those that depend on something copied are the caller's to replace. Channels can't be copied.
// What keep holds is shared, not copied: pointers to what never changes.
func Clone[T any](value T, keep ...any) T {
	c := &cloner{copies: make(map[pointer]reflect.Value)}
	for _, shared := range keep {
		original := reflect.ValueOf(shared)
		c.copies[pointer{original.Type(), original.Pointer()}] = original
	}
	var result T
	c.copy(reflect.ValueOf(&result).Elem(), reflect.ValueOf(&value).Elem())
	return result
}

type pointer struct {
	kind    reflect.Type
	address uintptr
}

type cloner struct {
	copies map[pointer]reflect.Value
}

// writable lets an unexported field be read and set.
func writable(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

// copy fills to, which is addressable as from is.
func (c *cloner) copy(to, from reflect.Value) {
	switch from.Kind() {
	case reflect.Pointer:
		c.pointer(to, from)
	case reflect.Interface:
		c.face(to, from)
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
		c.table(to, from)
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
	at := pointer{from.Type(), from.Pointer()}
	copied, known := c.copies[at]
	if !known {
		copied = reflect.New(from.Type().Elem())
		c.copies[at] = copied
		c.copy(copied.Elem(), from.Elem())
	}
	to.Set(copied)
}

func (c *cloner) face(to, from reflect.Value) {
	if !from.IsNil() {
		to.Set(c.copied(from.Elem()))
	}
}

// copied copies a value that is not addressable.
func (c *cloner) copied(value reflect.Value) reflect.Value {
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
	if flat(from.Type().Elem().Kind()) {
		reflect.Copy(to, from)
		return
	}
	for i := range from.Len() {
		c.copy(to.Index(i), from.Index(i))
	}
}

func (c *cloner) table(to, from reflect.Value) {
	if from.IsNil() {
		return
	}
	to.Set(reflect.MakeMapWithSize(from.Type(), from.Len()))
	for entries := from.MapRange(); entries.Next(); {
		to.SetMapIndex(c.copied(entries.Key()), c.copied(entries.Value()))
	}
}

// flat says whether values of a kind hold all of themselves.
func flat(kind reflect.Kind) bool {
	return kind >= reflect.Bool && kind <= reflect.Complex128 || kind == reflect.String
}
