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

// MaxSize bounds a file, in bytes, and maxDepth how deep its elements go.
const (
	MaxSize  = 1 << 20
	maxDepth = 16
)

// Problem is one thing that is wrong with a file.
type Problem struct {
	File    string
	Line    int    // from 1
	Element string // "" where the file is no XML at all
	Reason  string
}

// Error names file and line, the element where there is one, and what is wrong.
func (p *Problem) Error() string {
	if p.Element == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason)
	}
	return fmt.Sprintf("%s:%d: <%s>: %s", p.File, p.Line, p.Element, p.Reason)
}

// Problems are all that is wrong with a file, in the order of its lines.
type Problems []*Problem

// Error has a line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Checker is a value that knows what else must hold of it once it is read; bad tells one thing that does not.
type Checker interface{ Check(bad func(reason string)) }

// Read reads text into the struct that v points to. A field is an attribute (tag `xml:"name,attr"`), a child element
// (`xml:"name"`: a struct, a pointer to one for one that may be absent, a slice for any number), or not read (no tag). A
// second tag `required:"true"` asks for it. Attributes are strings, numbers, true or false, times with a unit ("250ms"), or
// whatever reads itself as encoding.TextUnmarshaler. Values that v has already are the defaults. The error is Problems.
func Read(file string, text []byte, root string, v any) error {
	r := &reader{file: file}
	top := r.parse(text)
	switch {
	case top == nil:
	case top.name != root:
		r.bad(top.line, top.name, "the file's element is to be <%s>", root)
	default:
		r.fill(top, reflect.ValueOf(v).Elem())
	}
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b *Problem) int { return a.Line - b.Line })
	return r.problems
}

// element is one of the file, with where it stands.
type element struct {
	name     string
	line     int
	attrs    []xml.Attr
	children []*element
	text     bool // it holds text that is no blank
}

type reader struct {
	file     string
	problems Problems
}

func (r *reader) bad(line int, element, reason string, args ...any) {
	r.problems = append(r.problems, &Problem{r.file, line, element, fmt.Sprintf(reason, args...)})
}

// parse reads the elements, or tells why it can't.
func (r *reader) parse(text []byte) (top *element) {
	if len(text) > MaxSize {
		r.bad(1, "", "the file is larger than %d bytes", MaxSize)
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
			r.bad(1, "", "the file holds no element")
			return nil
		case err != nil:
			line, _ = dec.InputPos()
			var syntax *xml.SyntaxError
			if errors.As(err, &syntax) {
				line, err = syntax.Line, errors.New(syntax.Msg)
			}
			r.bad(line, "", "not XML: %v", err)
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
			r.bad(line, "", "declarations of types and entities are not read")
			return nil
		}
	}
}

// start makes an element and puts it into the innermost open one; nil where it may not stand there.
func (r *reader) start(t xml.StartElement, line int, open []*element, hasTop bool) *element {
	e := &element{name: t.Name.Local, line: line, attrs: t.Attr}
	if t.Name.Space != "" {
		r.bad(line, e.name, "names of another space are not known here")
	}
	switch {
	case len(open) == maxDepth:
		r.bad(line, e.name, "elements are more than %d deep", maxDepth)
		return nil
	case len(open) > 0:
		in := open[len(open)-1]
		in.children = append(in.children, e)
	case hasTop:
		r.bad(line, e.name, "the file has a second element at its top")
		return nil
	}
	return e
}

// tagged is a field of a struct by its tag.
type tagged struct {
	name           string
	attr, required bool
	value          reflect.Value
}

func taggedFields(v reflect.Value) (ps []tagged) {
	for i := range v.NumField() {
		tags := v.Type().Field(i).Tag
		tag, given := tags.Lookup("xml")
		if !given || tag == "-" {
			continue
		}
		options := strings.Split(tag, ",")
		ps = append(ps, tagged{options[0], slices.Contains(options[1:], "attr"), tags.Get("required") == "true", v.Field(i)})
	}
	return ps
}

func (r *reader) fill(e *element, v reflect.Value) {
	before := len(r.problems)
	ps := taggedFields(v)
	given := make(map[string]bool)
	if e.text {
		r.bad(e.line, e.name, "text has no place here")
	}
	r.fillAttrs(e, ps, given)
	r.fillChildren(e, ps, given)
	for _, p := range ps {
		switch {
		case !p.required:
		case p.attr && !given["@"+p.name]:
			r.bad(e.line, e.name, "the attribute %s is missing", p.name)
		case !p.attr && !given[p.name]:
			r.bad(e.line, e.name, "the element <%s> is missing", p.name)
		}
	}
	if c, ok := v.Addr().Interface().(Checker); ok && len(r.problems) == before {
		c.Check(func(reason string) { r.bad(e.line, e.name, "%s", reason) })
	}
}

// fillAttrs sets the fields of an element's attributes, and notes in given which there were.
func (r *reader) fillAttrs(e *element, ps []tagged, given map[string]bool) {
	for _, a := range e.attrs {
		if a.Name.Space != "" || a.Name.Local == "xmlns" {
			// xsi:noNamespaceSchemaLocation and the like are for other readers.
			if a.Name.Space != "xmlns" && !strings.HasSuffix(a.Name.Space, "/XMLSchema-instance") {
				r.bad(e.line, e.name, "%s: names of another space are not known here", a.Name.Local)
			}
			continue
		}
		i := slices.IndexFunc(ps, func(p tagged) bool { return p.attr && p.name == a.Name.Local })
		if i < 0 {
			r.bad(e.line, e.name, "there is no attribute %s", a.Name.Local)
			continue
		}
		given["@"+a.Name.Local] = true
		if err := set(ps[i].value, a.Value); err != nil {
			r.bad(e.line, e.name, "%s: %v", a.Name.Local, err)
		}
	}
}

// fillChildren fills the fields of the elements in an element, and notes in given which there were.
func (r *reader) fillChildren(e *element, ps []tagged, given map[string]bool) {
	for _, c := range e.children {
		i := slices.IndexFunc(ps, func(p tagged) bool { return !p.attr && p.name == c.name })
		if i < 0 {
			r.bad(c.line, c.name, "there is no such element in <%s>", e.name)
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
			r.bad(c.line, c.name, "it stands twice in <%s>", e.name)
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

// set reads the text of an attribute.
func set(v reflect.Value, text string) error {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return u.UnmarshalText([]byte(text))
	}
	if v.Type() == reflect.TypeFor[time.Duration]() {
		d, err := duration(text)
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

// duration reads one number with one unit, as the schema has it: time.ParseDuration takes signs and sums as well, which
// are slips in a file.
func duration(text string) (time.Duration, error) {
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
