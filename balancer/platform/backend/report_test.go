package backend

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// ParseReport must give the same result as encoding/json, whether it uses the fast path or not.
func FuzzReadAgreesWithJSON(f *testing.F) {
	for _, seed := range []string{
		`{"id":"9b1f03aa5c7e2d41","from":"s-0badcafe","state":"started"}`,
		`{"id":"9b1f03aa5c7e2d41","from":"s-0badcafe","state":"running","share":0.4}`,
		` { "id" : "a" , "from":"b","state":"done","result" : "x y" } ` + "\n",
		`{"id":"a","from":"b","result":"\u00e9\"","state":"done"}`, `{"id":"a","from":"b","result":{"x":[1]}}`,
		`{"ID":"a","From":"b"}`, `{"id":"a","id":"c","from":"b","other":[1]}`, `{"id":"a","from":"b","share":01}`,
		`{"id":"a","from":"b","share":1.}`, `{"id":"a","from":"b",}`, `{"id":"a" "from":"b"}`, `{,"id":"a","from":"b"}`,
		`{"id":"a","from":"b"}{}`, `{"id":"a","from":"b"`, `{}`, `[]`, ``, `{"id":" a","from":"b"}`, "{\"id\":\"\xff\",\"from\":\"b\"}",
		`{"id":null,"from":"b","share":-1e3}`, "{\"id\":\"a\",\"from\":\"b\",\"result\":\"\xff\"}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var want *Report
		if s := (Report{}); json.Unmarshal(body, &s) == nil && s.ID != "" && s.From != "" {
			want = &s
		}
		if diff := cmp.Diff(want, ParseReport(body)); diff != "" {
			t.Errorf("%q (-encoding/json +ours):\n%s", body, diff)
		}
	})
}

// The usual call-backs must be parsed by the fast path.
func TestUsualCallbacksUseFastPath(t *testing.T) {
	for _, body := range []string{`{"id":"9b1f03aa5c7e2d41","from":"s-0badcafe","state":"started"}`,
		`{"id": "9b1f03aa5c7e2d41", "from": "s-0badcafe", "state": "running", "share": 0.4}`,
		`{"id":"9b1f03aa5c7e2d41","from":"s-0badcafe","state":"done","result":"words"}` + "\n"} {
		if !new(Report).plain([]byte(body)) {
			t.Errorf("%s is not parsed by the fast path", body)
		}
	}
}
