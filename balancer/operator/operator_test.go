package operator

import (
	"errors"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// files are valid and invalid files. Parse and the XML schema must agree on each.
var files = map[string]struct {
	text string
	want string // the error, in which "f" is the file's name; "" for a valid file
}{
	"nothing":          {`<ravendale/>`, ""},
	"all":              {`<ravendale><cores count="4"/><log level="warn" format="json"/></ravendale>`, ""},
	"any order":        {`<ravendale><log/><cores count="64"/></ravendale>`, ""},
	"a comment":        {"<?xml version=\"1.0\"?>\n<!-- x -->\n<ravendale><!-- y --></ravendale>", ""},
	"another root":     {`<raven/>`, `f:1: <raven>: the file's element is to be <ravendale>`},
	"unknown element":  {"<ravendale>\n <kores count=\"2\"/>\n</ravendale>", `f:2: <kores>: there is no such element in <ravendale>`},
	"unknown attr":     {"<ravendale>\n <cores count=\"2\" conut=\"3\"/>\n</ravendale>", `f:2: <cores>: there is no attribute conut`},
	"twice":            {"<ravendale>\n<cores count=\"2\"/>\n<cores count=\"2\"/></ravendale>", `f:3: <cores>: it stands twice in <ravendale>`},
	"no count":         {`<ravendale><cores/></ravendale>`, `f:1: <cores>: the attribute count is missing`},
	"none":             {`<ravendale><cores count="0"/></ravendale>`, `f:1: <cores>: count: 0 is not between 1 and 64`},
	"too many":         {`<ravendale><cores count="65"/></ravendale>`, `f:1: <cores>: count: 65 is not between 1 and 64`},
	"no number":        {`<ravendale><cores count="two"/></ravendale>`, `f:1: <cores>: count: "two" is no whole number`},
	"a part":           {`<ravendale><cores count="1.5"/></ravendale>`, `f:1: <cores>: count: "1.5" is no whole number`},
	"no level":         {`<ravendale><log level="loud"/></ravendale>`, `f:1: <log>: level: "loud" is none of debug, info, warn and error`},
	"no format":        {`<ravendale><log format="xml"/></ravendale>`, `f:1: <log>: format: "xml" is neither text nor json`},
	"text":             {`<ravendale>cores</ravendale>`, `f:1: <ravendale>: text has no place here`},
	"not closed":       {"<ravendale>\n<cores count=\"2\">\n</ravendale>", `f:3: not XML: element <cores> closed by </ravendale>`},
	"empty":            {``, `f:1: the file holds no element`},
	"two elements":     {"<ravendale/>\n<ravendale/>", `f:2: <ravendale>: the file has a second element at its top`},
	"something within": {`<ravendale><cores count="2"><cores count="2"/></cores></ravendale>`, `f:1: <cores>: there is no such element in <cores>`},
	"a fleet": {`<ravendale><fleet name="a" listen="127.0.0.1:1" dir="d" keys="k" beat="100ms" trust="1s" span="2s" record="1048576" alone="stop" shut-out="exit">` +
		`<member name="a" address="127.0.0.1:1"/><member name="b-2" address="127.0.0.1:2"/></fleet></ravendale>`, ""},
	"a fleet of none": {`<ravendale><fleet name="a" listen="x" dir="d" keys="k"/></ravendale>`, `f:1: <fleet>: 0 members are not between 1 and 300`},
	"a fleet's beat": {`<ravendale><fleet name="a" listen="x" dir="d" keys="k" beat="2 x"><member name="a" address="x"/></fleet></ravendale>`,
		`f:1: <fleet>: beat: "2 x" is no time: a number with us, ms, s, min or h`},
	"a fleet's words": {`<ravendale><fleet name="a" listen="x" dir="d" keys="k" alone="go" shut-out="no"><member name="a" address="x"/></fleet></ravendale>`,
		"f:1: <fleet>: alone: \"go\" is neither mark nor stop\nf:1: <fleet>: shut-out: \"no\" is neither wait nor exit"},
	"a fleet's member": {"<ravendale><fleet name=\"a\" listen=\"x\" dir=\"d\" keys=\"k\">\n<member name=\"a b\" address=\"x\"/></fleet></ravendale>",
		"f:2: <member>: name: \"a b\" is not 1 to 64 letters, digits, - and _"},
	"a fleet's bound": {`<ravendale><fleet name="a" listen="x" dir="d" keys="k" record="5"><member name="a" address="x"/></fleet></ravendale>`,
		"f:1: <fleet>: record: 5 is not between 1048576 and 1099511627776"},
	"all that is wrong": {"<ravendale>\n<cores count=\"0\"/>\n<log level=\"x\" form=\"y\"/>\n<more/>\n</ravendale>",
		"f:2: <cores>: count: 0 is not between 1 and 64\nf:3: <log>: level: \"x\" is none of debug, info, warn and error\n" +
			"f:3: <log>: there is no attribute form\nf:4: <more>: there is no such element in <ravendale>"},
}

func TestParse(t *testing.T) {
	for name, tc := range files {
		t.Run(name, func(t *testing.T) {
			got := ""
			if err := Parse("f", []byte(tc.text), &File{}); err != nil {
				got = err.Error()
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// The schema accepts the valid files and rejects the invalid ones. CI installs xmllint.
func TestSchemaAgreesWithParse(t *testing.T) {
	lint, err := exec.LookPath("xmllint")
	if err != nil {
		if os.Getenv("CI") != "" {
			t.Fatal(err)
		}
		t.Skip(err)
	}
	dir := t.TempDir()
	for name, tc := range files {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(dir, strings.ReplaceAll(name, " ", "_"))
			if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
				t.Fatal(err)
			}
			out, err := exec.Command(lint, "--noout", "--nonet", "--schema", "../../deploy/ravendale.xsd", path).CombinedOutput()
			var exit *exec.ExitError
			if err != nil && !errors.As(err, &exit) {
				t.Fatal(err)
			}
			if (err == nil) != (tc.want == "") {
				t.Errorf("the schema disagrees: %s", out)
			}
		})
	}
}

func TestShippedFileEnablesNothing(t *testing.T) {
	f, err := Load("../../deploy/ravendale.xml")
	if diff := cmp.Diff(&File{}, f); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if f, err = Load(""); err != nil || f.Cores != nil {
		t.Error("an empty name does not yield an empty file", err)
	}
	if _, err := Load("no such file"); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
}

func TestParsedValues(t *testing.T) {
	f := &File{}
	if err := Parse("f", []byte(files["all"].text), f); err != nil {
		t.Fatal(err)
	}
	want := &File{Cores: &Cores{4}, Log: &Log{Level(slog.LevelWarn), "json"}}
	if diff := cmp.Diff(want, f); diff != "" {
		t.Error(diff)
	}
}
