package document

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/catalog"
)

const testDocument = `{
  "version": 3,
  "routes": [
    {"name": "a"},
    {
      "name": "b",
      "timeoutMs": 5,
      "timeoutMs": 0
    }
  ],
  "upsert": {"routes": [{
    "name": "c"}]}
}`

func TestLine(t *testing.T) {
	for place, want := range map[string]int{
		"version": 2, "routes": 3, "routes[0]": 4, "routes[0].name": 4, "routes[1]": 5, "routes[1].name": 6,
		"routes[1].timeoutMs":    8, // the last of the repeated fields
		"routes[1].host":         5, // missing field: line of its item
		"routes[7].host":         3, // missing item: line of its list
		"upsert.routes[0].name":  12,
		"upsert.backends[0].one": 11,
		"byte 1":                 1,
		"byte 21":                3,
	} {
		line, ok := Line([]byte(testDocument), place)
		require.True(t, ok, place)
		require.Equal(t, want, line, place)
	}
	for _, place := range []string{"limits", "document of nothing", "", "[0]", "routes[x]", "routes[1", "byte 9999"} {
		_, ok := Line([]byte(testDocument), place)
		require.False(t, ok, place)
	}
	_, ok := Line([]byte("{"), "version")
	require.False(t, ok, "not JSON")
}

func TestLineOfCatalogFindings(t *testing.T) {
	document := []byte("{\"version\":1,\n\"routes\":[\n{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\",\"backend\":\"s\",\n\"timeoutMs\":0}],\n\"backends\":[{\"name\":\"s\"}],\n\"limits\":{}}")
	_, err := catalog.Parse(document)
	var findings catalog.Findings
	require.ErrorAs(t, err, &findings)
	line, ok := Line(document, findings[0].Place)
	require.True(t, ok, findings)
	require.Equal(t, 4, line, findings)

	broken := []byte("{\"version\":1,\n\"routes\":[\n{]}")
	_, err = catalog.Parse(broken)
	require.ErrorAs(t, err, &findings)
	line, ok = Line(broken, findings[0].Place)
	require.True(t, ok)
	require.Equal(t, 3, line, findings)
}

func TestDiffComparesItemsByName(t *testing.T) {
	before := `{"version":1,"routes":[{"name":"a","timeoutMs":5},{"name":"b"}],"backends":[{"name":"s"}],"limits":{"maxBodyBytes":1}, "x":[1, 2]}`
	after := `{"version":2,"routes":[{"name":"c"},{"name": "a", "timeoutMs":6,"fifo":true}],"backends":[{"name":"s"}],"limits":{"maxBodyBytes":2},"x":[1,2]}`
	changes, err := Diff([]byte(before), []byte(after))
	require.NoError(t, err)
	var lines []string
	for _, change := range changes {
		lines = append(lines, change.String())
	}
	require.Equal(t, []string{
		"~ limits/maxBodyBytes 1 -> 2",
		"+ routes/a/fifo true",
		"~ routes/a/timeoutMs 5 -> 6",
		`- routes/b {"name":"b"}`,
		`+ routes/c {"name":"c"}`,
		"~ version 1 -> 2",
	}, lines)
	same, err := Diff([]byte(before), []byte(" "+before))
	require.NoError(t, err)
	require.Empty(t, same)
}

func TestDiffComparesUnnamedValuesWhole(t *testing.T) {
	changes, err := Diff([]byte(`{"routes":[{"name":"a"},{"name":"a"}]}`), []byte(`{"routes":null}`))
	require.NoError(t, err)
	require.Equal(t, []Change{{"routes", `[{"name":"a"},{"name":"a"}]`, "null"}}, changes)
	changes, err = Diff(nil, []byte(`{"version":1}`))
	require.NoError(t, err)
	require.Equal(t, []Change{{Path: "version", After: "1"}}, changes)
	_, err = Diff([]byte("["), nil)
	require.ErrorContains(t, err, "before")
}
