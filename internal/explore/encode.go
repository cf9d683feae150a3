package explore

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"reflect"
	"slices"
)

// Encoder encodes values, including unexported fields and everything they point to, in a form that does not depend on
// addresses or on the order of maps. It follows pointers, so the values must not be cyclic. It skips functions and
// channels.
type Encoder struct {
	// Scalars maps values of a type to those encoded instead, such as a time to its distance from now, or an ID to
	// its name in the model.
	Scalars map[reflect.Type]func(int64) int64
	// Omit lists fields to skip, by struct type and field name: those that are constant or don't influence the
	// behaviour.
	Omit map[reflect.Type][]string
}

// Append appends the encoding of a value to buffer.
func (e *Encoder) Append(buffer []byte, value any) []byte {
	return e.value(buffer, reflect.ValueOf(value))
}

func (e *Encoder) value(b []byte, v reflect.Value) []byte {
	if !v.IsValid() {
		return append(b, 0)
	}
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			return append(b, 1)
		}
		return append(b, 0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return e.scalar(b, v.Type(), v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		return e.scalar(b, v.Type(), int64(v.Uint()))
	case reflect.Float32, reflect.Float64:
		return binary.BigEndian.AppendUint64(b, math.Float64bits(v.Float()))
	case reflect.String:
		b = binary.AppendUvarint(b, uint64(v.Len()))
		return append(b, v.String()...)
	case reflect.Pointer:
		if v.IsNil() {
			return append(b, 0)
		}
		return e.value(append(b, 1), v.Elem())
	case reflect.Interface:
		return e.interfaceValue(b, v)
	case reflect.Struct:
		return e.fields(b, v)
	case reflect.Slice, reflect.Array:
		return e.list(b, v)
	case reflect.Map:
		return e.mapValue(b, v)
	case reflect.Func, reflect.Chan:
		return b
	}
	panic(fmt.Sprintf("explore: %v can't be encoded", v.Type()))
}

func (e *Encoder) scalar(b []byte, kind reflect.Type, value int64) []byte {
	if replace := e.Scalars[kind]; replace != nil {
		value = replace(value)
	}
	return binary.AppendVarint(b, value)
}

func (e *Encoder) interfaceValue(b []byte, v reflect.Value) []byte {
	if v.IsNil() {
		return append(b, 0)
	}
	b = append(append(b, 1), v.Elem().Type().String()...)
	return e.value(append(b, 0), v.Elem())
}

func (e *Encoder) fields(b []byte, v reflect.Value) []byte {
	omitted := e.Omit[v.Type()]
	for i := range v.NumField() {
		if len(omitted) == 0 || !slices.Contains(omitted, v.Type().Field(i).Name) {
			b = e.value(b, v.Field(i))
		}
	}
	return b
}

func (e *Encoder) list(b []byte, v reflect.Value) []byte {
	b = binary.AppendUvarint(b, uint64(v.Len()))
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
		return append(b, v.Bytes()...)
	}
	for i := range v.Len() {
		b = e.value(b, v.Index(i))
	}
	return b
}

func (e *Encoder) mapValue(b []byte, v reflect.Value) []byte {
	entries := make([][]byte, 0, v.Len())
	for at := v.MapRange(); at.Next(); {
		entries = append(entries, e.value(e.value(nil, at.Key()), at.Value()))
	}
	return AppendSorted(b, entries)
}

// AppendSorted appends parts whose order is irrelevant, such as messages on a network that may reorder them.
func AppendSorted(buffer []byte, parts [][]byte) []byte {
	slices.SortFunc(parts, bytes.Compare)
	buffer = binary.AppendUvarint(buffer, uint64(len(parts)))
	for _, part := range parts {
		buffer = binary.AppendUvarint(buffer, uint64(len(part)))
		buffer = append(buffer, part...)
	}
	return buffer
}

// Canonical returns the lexically smallest of several forms of one state, given the forms under all renamings of
// interchangeable members. States that differ only in such names have the same canonical form.
func Canonical(forms ...[]byte) []byte { return slices.MinFunc(forms, bytes.Compare) }

// Permutations returns all permutations of the numbers below count, the identity first.
func Permutations(count int) [][]int {
	if count == 0 {
		return [][]int{nil}
	}
	var all [][]int
	for _, shorter := range Permutations(count - 1) {
		for at := len(shorter); at >= 0; at-- {
			all = append(all, slices.Insert(slices.Clone(shorter), at, count-1))
		}
	}
	return all
}
