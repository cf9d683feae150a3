package xmlfile

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

type sample struct {
	Name  string        `xml:"name,attr" required:"true"`
	Wait  time.Duration `xml:"wait,attr"`
	Part  float64       `xml:"part,attr"`
	On    bool          `xml:"on,attr"`
	Seed  uint64        `xml:"seed,attr"`
	Items []item        `xml:"item"`
	Own   *item         `xml:"own"`
	Must  struct {
		N int `xml:"n,attr"`
	} `xml:"must" required:"true"`
}

type item struct {
	N int `xml:"n,attr"`
}

func (i *item) Defaults() { i.N = 7 }

func (i *item) Check(bad func(string)) {
	if i.N == 13 {
		bad("13 is not wanted")
	}
}

func TestRead(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		want sample
		err  string
	}{
		"all": {text: `<s xmlns:xsi="http://www.w3.org/2001/XMLSchema-instance" xsi:noNamespaceSchemaLocation="s.xsd" name="a" wait="1.5s" part="-0.5" on="true" seed="18446744073709551615">
			<item n="1"/><item/><own/><must n="-3"/></s>`, want: sample{Name: "a", Wait: 1500 * time.Millisecond, Part: -0.5, On: true, Seed: 1<<64 - 1,
			Items: []item{{1}, {7}}, Own: &item{7}, Must: struct {
				N int `xml:"n,attr"`
			}{-3}}},
		"what is missing":   {text: `<s/>`, err: "f:1: <s>: the attribute name is missing\nf:1: <s>: the element <must> is missing"},
		"its own check":     {text: "<s name=\"a\">\n<item n=\"13\"/><must/></s>", err: `f:2: <item>: 13 is not wanted`},
		"a time, no unit":   {text: `<s name="a" wait="5"><must/></s>`, err: `f:1: <s>: wait: "5" is no time: a number with us, ms, s, min or h`},
		"a time, signed":    {text: `<s name="a" wait="-5s"><must/></s>`, err: `f:1: <s>: wait: "-5s" is no time: a number with us, ms, s, min or h`},
		"a time, two units": {text: `<s name="a" wait="1m5s"><must/></s>`, err: `f:1: <s>: wait: "1m5s" is no time: a number with us, ms, s, min or h`},
		"a time, too long":  {text: `<s name="a" wait="9999999999999h"><must/></s>`, err: `f:1: <s>: wait: "9999999999999h" is no time: a number with us, ms, s, min or h`},
		"a hex number":      {text: `<s name="a" part="0x1p3"><must/></s>`, err: `f:1: <s>: part: "0x1p3" is no number`},
		"no number":         {text: `<s name="a" part="NaN"><must/></s>`, err: `f:1: <s>: part: "NaN" is no number`},
		"neither":           {text: `<s name="a" on="yes"><must/></s>`, err: `f:1: <s>: on: "yes" is neither true nor false`},
		"another space":     {text: `<s xmlns:o="x" name="a" o:name="b"><must/></s>`, err: `f:1: <s>: name: names of another space are not known here`},
		"an entity":         {text: "<!DOCTYPE s [<!ENTITY e \"x\">]>\n<s name=\"&e;\"/>", err: `f:1: declarations of types and entities are not read`},
		"too deep":          {text: strings.Repeat("<s>", 17), err: `f:1: <s>: elements are more than 16 deep`},
		"too large":         {text: `<s name="` + strings.Repeat("a", MaxSize) + `"/>`, err: "f:1: the file is larger than 1048576 bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			var got sample
			err := Read("f", []byte(tc.text), "s", &got)
			if tc.err != "" {
				var ps Problems
				if !errors.As(err, &ps) || err.Error() != tc.err {
					t.Errorf("got %v\nwant %s", err, tc.err)
				}
				return
			}
			if diff := cmp.Diff(tc.want, got); err != nil || diff != "" {
				t.Error(err, diff)
			}
		})
	}
}

// Any error for arbitrary bytes consists of problems with a line of the file; nothing panics.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`<s name="a"><must n="1"/></s>`))
	f.Add([]byte("<s name='a' wait='1ms'>\n<item n='x'/><!-- c --><![CDATA[x]]></s>"))
	f.Add([]byte(`<?xml version="1.0" encoding="latin1"?><s/>`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var ps Problems
		if err := Read("f", text, "s", &sample{}); err != nil && !errors.As(err, &ps) {
			t.Fatalf("%v", err)
		}
		for _, p := range ps {
			if p.Line < 1 || p.Line > strings.Count(string(text), "\n")+1 || p.Reason == "" {
				t.Errorf("%+v", p)
			}
		}
	})
}
