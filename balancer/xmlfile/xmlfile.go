package xmlfile

import (
	"bytes"
	"encoding"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxSize is the maximum size of a file in bytes, maxDepth the maximum nesting of its elements.
const (
	MaxSize  = 1 << 20
	maxDepth = 16
)

// Problem is one error in a file.
type Problem struct {
	File    string
	Line    int    // from 1
	Element string // "" if the error does not concern one element
	Reason  string
}

// Error returns the file, the line, the element if there is one, and the reason.
func (p *Problem) Error() string {
	if p.Element == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason)
	}
	return fmt.Sprintf("%s:%d: <%s>: %s", p.File, p.Line, p.Element, p.Reason)
}

// Problems holds all errors in a file, in the order of their lines.
type Problems []*Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Checker is implemented by values with further constraints. Check is called once the value has been read without
// problems, and calls bad for each violation.
type Checker interface{ Check(bad func(reason string)) }

// Read decodes text into the struct that v points to. A field is an attribute (tag `xml:"name,attr"`), a child element
// (`xml:"name"`: a struct, a pointer to a struct if the element is optional, or a slice for any number), or not read
// (no tag). A second tag `required:"true"` makes it mandatory. Attributes are strings, numbers, true or false,
// durations with a unit ("250ms"), or implement encoding.TextUnmarshaler. Values that v already has are the defaults.
// The error is of type Problems.
func Read(file string, text []byte, root string, v any) error {
	r := &reader{file: file}
	top := r.parse(text)
	switch {
	case top == nil:
	case top.name != root:
		r.addProblem(top.line, top.name, "the file's element is to be <%s>", root)
	default:
		r.fill(top, reflect.ValueOf(v).Elem())
	}
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b *Problem) int { return a.Line - b.Line })
	return r.problems
}

// element is an element of the file with its line.
type element struct {
	name     string
	line     int
	attrs    []xml.Attr
	children []*element
	text     bool // it contains text other than white space
}

type reader struct {
	file     string
	problems Problems
}

func (r *reader) addProblem(line int, element, reason string, args ...any) {
	r.problems = append(r.problems, &Problem{r.file, line, element, fmt.Sprintf(reason, args...)})
}

// parse parses the elements and returns the root element, or adds a problem and returns nil.
func (r *reader) parse(text []byte) (top *element) {
	if len(text) > MaxSize {
		r.addProblem(1, "", "the file is larger than %d bytes", MaxSize)
		return nil
	}
	dec := xml.NewDecoder(bytes.NewReader(text))
	var open []*element
	for {
		line, _ := dec.InputPos()
		token, err := dec.Token()
		switch {
		case errors.Is(err, io.EOF) && top != nil:
			return top
		case errors.Is(err, io.EOF):
			r.addProblem(1, "", "the file holds no element")
			return nil
		case err != nil:
			line, _ = dec.InputPos()
			var syntax *xml.SyntaxError
			if errors.As(err, &syntax) {
				line, err = syntax.Line, errors.New(syntax.Msg)
			}
			r.addProblem(line, "", "not XML: %v", err)
			return nil
		}
		switch t := token.(type) {
		case xml.StartElement:
			e := r.start(t, line, open, top != nil)
			if e == nil {
				return nil
			}
			if top == nil {
				top = e
			}
			open = append(open, e)
		case xml.EndElement:
			open = open[:len(open)-1]
		case xml.CharData:
			if len(open) > 0 && len(bytes.TrimSpace(t)) > 0 {
				open[len(open)-1].text = true
			}
		case xml.Directive:
			r.addProblem(line, "", "declarations of types and entities are not read")
			return nil
		}
	}
}

// start creates an element as a child of the innermost open one. It returns nil if the element is not allowed there.
func (r *reader) start(t xml.StartElement, line int, open []*element, hasTop bool) *element {
	e := &element{name: t.Name.Local, line: line, attrs: t.Attr}
	if t.Name.Space != "" {
		r.addProblem(line, e.name, "names of another space are not known here")
	}
	switch {
	case len(open) == maxDepth:
		r.addProblem(line, e.name, "elements are more than %d deep", maxDepth)
		return nil
	case len(open) > 0:
		in := open[len(open)-1]
		in.children = append(in.children, e)
	case hasTop:
		r.addProblem(line, e.name, "the file has a second element at its top")
		return nil
	}
	return e
}

// taggedField is a field of a struct with the meaning of its tags.
type taggedField struct {
	name           string
	attr, required bool
	value          reflect.Value
}

func taggedFields(v reflect.Value) (ps []taggedField) {
	for i := range v.NumField() {
		tags := v.Type().Field(i).Tag
		tag, given := tags.Lookup("xml")
		if !given || tag == "-" {
			continue
		}
		options := strings.Split(tag, ",")
		ps = append(ps, taggedField{options[0], slices.Contains(options[1:], "attr"), tags.Get("required") == "true", v.Field(i)})
	}
	return ps
}

func (r *reader) fill(e *element, v reflect.Value) {
	problemsBefore := len(r.problems)
	ps := taggedFields(v)
	given := make(map[string]bool)
	if e.text {
		r.addProblem(e.line, e.name, "text has no place here")
	}
	r.fillAttrs(e, ps, given)
	r.fillChildren(e, ps, given)
	for _, p := range ps {
		switch {
		case !p.required:
		case p.attr && !given["@"+p.name]:
			r.addProblem(e.line, e.name, "the attribute %s is missing", p.name)
		case !p.attr && !given[p.name]:
			r.addProblem(e.line, e.name, "the element <%s> is missing", p.name)
		}
	}
	if c, ok := v.Addr().Interface().(Checker); ok && len(r.problems) == problemsBefore {
		c.Check(func(reason string) { r.addProblem(e.line, e.name, "%s", reason) })
	}
}

// fillAttrs sets the fields for an element's attributes, and records in given which attributes it has.
func (r *reader) fillAttrs(e *element, ps []taggedField, given map[string]bool) {
	for _, a := range e.attrs {
		if a.Name.Space != "" || a.Name.Local == "xmlns" {
			// xsi:noNamespaceSchemaLocation and similar attributes are for other programs.
			if a.Name.Space != "xmlns" && !strings.HasSuffix(a.Name.Space, "/XMLSchema-instance") {
				r.addProblem(e.line, e.name, "%s: names of another space are not known here", a.Name.Local)
			}
			continue
		}
		i := slices.IndexFunc(ps, func(p taggedField) bool { return p.attr && p.name == a.Name.Local })
		if i < 0 {
			r.addProblem(e.line, e.name, "there is no attribute %s", a.Name.Local)
			continue
		}
		given["@"+a.Name.Local] = true
		if err := setField(ps[i].value, a.Value); err != nil {
			r.addProblem(e.line, e.name, "%s: %v", a.Name.Local, err)
		}
	}
}

// fillChildren fills the fields for an element's children, and records in given which children it has.
func (r *reader) fillChildren(e *element, ps []taggedField, given map[string]bool) {
	for _, c := range e.children {
		i := slices.IndexFunc(ps, func(p taggedField) bool { return !p.attr && p.name == c.name })
		if i < 0 {
			r.addProblem(c.line, c.name, "there is no such element in <%s>", e.name)
			continue
		}
		switch field := ps[i].value; {
		case field.Kind() == reflect.Slice:
			item := reflect.New(field.Type().Elem())
			if d, ok := item.Interface().(interface{ Defaults() }); ok {
				d.Defaults()
			}
			r.fill(c, item.Elem())
			field.Set(reflect.Append(field, item.Elem()))
		case given[c.name]:
			r.addProblem(c.line, c.name, "it stands twice in <%s>", e.name)
		case field.Kind() == reflect.Pointer:
			if field.IsNil() {
				field.Set(reflect.New(field.Type().Elem()))
				if d, ok := field.Interface().(interface{ Defaults() }); ok {
					d.Defaults()
				}
			}
			r.fill(c, field.Elem())
		default:
			r.fill(c, field)
		}
		given[c.name] = true
	}
}

// setField parses the text of an attribute into a field.
func setField(v reflect.Value, text string) error {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return u.UnmarshalText([]byte(text))
	}
	if v.Type() == reflect.TypeFor[time.Duration]() {
		d, err := parseDuration(text)
		v.SetInt(int64(d))
		return err
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		if text != "true" && text != "false" {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		v.SetBool(text == "true")
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 63)
		if err != nil {
			return fmt.Errorf("%q is no whole number", text)
		}
		v.SetInt(n)
	case reflect.Uint64:
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is no whole number from 0 on", text)
		}
		v.SetUint(n)
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || f != f || f > 1e300 || f < -1e300 || strings.ContainsAny(text, "xXpP_") {
			return fmt.Errorf("%q is no number", text)
		}
		v.SetFloat(f)
	default:
		return fmt.Errorf("a field of type %v can't be read", v.Type())
	}
	return nil
}

// parseDuration parses a number with one unit, as the schema defines it. time.ParseDuration also accepts signs and
// sums, which are mistakes in a file.
func parseDuration(text string) (time.Duration, error) {
	for _, unit := range []string{"us", "ms", "s", "min", "h"} {
		number, found := strings.CutSuffix(text, unit)
		if !found || number == "" || strings.Trim(number, "0123456789.") != "" {
			continue
		}
		f, err := strconv.ParseFloat(number, 64)
		size := map[string]time.Duration{"us": time.Microsecond, "ms": time.Millisecond, "s": time.Second, "min": time.Minute, "h": time.Hour}[unit]
		if err != nil || strings.HasPrefix(number, ".") || strings.HasSuffix(number, ".") || f*float64(size) > float64(1<<62) {
			break
		}
		return time.Duration(f * float64(size)), nil
	}
	return 0, fmt.Errorf("%q is no time: a number with us, ms, s, min or h", text)
}
