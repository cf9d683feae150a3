package wire

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"ravendale"
)

// Names are the names in the settings of what the decision module refers to by index.
type Names struct{ Classes, Tenants, Zones, Kinds []string }

// ReadJSONSettings reads settings from nested JSON instead of a line of name=value pairs. Both forms use the same names,
// so the object is flattened into the pairs of such a line and read by the same code. ReadJSONSettings also returns
// the pairs, for the settings that are not passed to the decision module.
func ReadJSONSettings(text []byte) (ravendale.Settings, Names, map[string]string, error) {
	dec := json.NewDecoder(strings.NewReader(string(text)))
	dec.UseNumber()
	var object map[string]any
	if err := dec.Decode(&object); err != nil {
		return ravendale.Settings{}, Names{}, nil, fmt.Errorf("settings: %w", err)
	}
	pairs := make(config)
	for name, v := range object {
		flatten(pairs, name, v)
	}
	s, names, err := pairs.settings()
	if err != nil {
		return s, Names{}, nil, err
	}
	return s, Names{Classes: names.classes, Tenants: names.tenants, Zones: names.zones, Kinds: names.kinds}, pairs, nil
}

func flatten(pairs config, path string, v any) {
	switch v := v.(type) {
	case nil:
	case map[string]any:
		for name, item := range v {
			flatten(pairs, path+"."+name, item)
		}
	case []any:
		if len(v) == 0 {
			pairs[path] = ""
			return
		}
		if _, nested := v[0].(map[string]any); !nested {
			values := make([]string, len(v))
			for i := range v {
				values[i] = formatScalar(v[i])
			}
			pairs[path] = strings.Join(values, ",")
			return
		}
		pairs[path+".count"] = strconv.Itoa(len(v))
		for i := range v {
			flatten(pairs, fmt.Sprintf("%s.%d", path, i), v[i])
		}
	default:
		pairs[path] = formatScalar(v)
	}
}

// formatScalar formats a scalar as in a settings line: spaces and commas become underscores.
func formatScalar(v any) string {
	return strings.NewReplacer(" ", "_", ",", "_").Replace(fmt.Sprint(v))
}
