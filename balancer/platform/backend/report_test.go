package backend

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// What the short way reads it reads as encoding/json does; everything else it leaves to that.
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
		if diff := cmp.Diff(want, Read(body)); diff != "" {
			t.Errorf("%q (-encoding/json +ours):\n%s", body, diff)
		}
	})
}

// The usual calls take the short way.
func TestUsualCallsTakeTheShortWay(t *testing.T) {
	for _, body := range []string{`{"id":"9b1f03aa5c7e2d41","from":"s-0badcafe","state":"started"}`,
		`{"id": "9b1f03aa5c7e2d41", "from": "s-0badcafe", "state": "running", "share": 0.4}`,
		`{"id":"9b1f03aa5c7e2d41","from":"s-0badcafe","state":"done","result":"words"}` + "\n"} {
		if !new(Report).plain([]byte(body)) {
			t.Errorf("%s is read the long way", body)
		}
	}
}
