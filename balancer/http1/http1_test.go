package http1

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// parse feeds a text in pieces of a given size and returns the parsed messages or the error status, one per line.
func parse(text string, size int) string {
	var p Requests
	var out []string
	for len(text) > 0 {
		n := min(size, len(text))
		p.Feed([]byte(text[:n]))
		text = text[n:]
		for {
			r, err := p.Next()
			var e *Error
			if errors.As(err, &e) {
				return strings.Join(append(out, fmt.Sprint(e.Status)), "\n")
			}
			if r == nil {
				break
			}
			out = append(out, fmt.Sprintf("%s %s %q close=%v", r.Method, r.Target, r.Body, r.Close))
		}
	}
	return strings.Join(out, "\n")
}

func TestRequests(t *testing.T) {
	long := strings.Repeat("x", MaxBody)
	for name, tc := range map[string]struct{ in, want string }{
		"plain":           {"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", `GET /a "" close=false`},
		"counted":         {"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", `POST /a "abc" close=false`},
		"pipelined":       {"GET /a HTTP/1.1\r\n\r\n\r\nGET /b HTTP/1.1\r\nConnection: x, Close\r\n\r\n", "GET /a \"\" close=false\nGET /b \"\" close=true"},
		"old":             {"GET /a HTTP/1.0\r\n\r\n", `GET /a "" close=true`},
		"chunked":         {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\nA\r\n0123456789\r\n0\r\nT: v\r\n\r\nGET /b HTTP/1.1\r\n\r\n", "POST /a \"ab0123456789\" close=false\nGET /b \"\" close=false"},
		"largest body":    {fmt.Sprintf("POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", MaxBody, long), fmt.Sprintf("POST /a %q close=false", long)},
		"body too long":   {"POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", "413"},
		"chunks too long": {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n" + long + "\r\n1\r\n", "413"},
		"head too long":   {"GET /a HTTP/1.1\r\nX: " + strings.Repeat("y", MaxHead), "431"},
		"no number":       {"POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400"},
		"empty number":    {"POST /a HTTP/1.1\r\nContent-Length:\r\n\r\n", "400"},
		"two lengths":     {"POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400"},
		"two framings":    {"POST /a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
		"two codings":     {"POST /a HTTP/1.1\r\nTransfer-Encoding:\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		"empty coding":    {"POST /a HTTP/1.1\r\nTransfer-Encoding:\r\n\r\n", "400"},
		"empty and count": {"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding:\r\n\r\nabc", "400"},
		"old and chunked": {"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		"control byte":    {"GET /a HTTP/1.1\r\nA: x\x01\r\n\r\n", "400"},
		"odd target":      {"GET /a\x7f HTTP/1.1\r\n\r\n", "400"},
		"wide target":     {"GET /\xe9 HTTP/1.1\r\n\r\n", "400"},
		"unknown coding":  {"POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "400"},
		"bad chunk":       {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
		"chunk overruns":  {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", "400"},
		"space in name":   {"GET /a HTTP/1.1\r\nHost : x\r\n\r\n", "400"},
		"folded field":    {"GET /a HTTP/1.1\r\nA: x\r\n b\r\n\r\n", "400"},
		"no method":       {"/a HTTP/1.1\r\n\r\n", "400"},
		"version":         {"GET /a HTTP/2.0\r\n\r\n", "505"},
		"half":            {"GET /a HTTP/1.1\r\n", ""},
	} {
		for _, size := range []int{1, 7, 1 << 20} {
			if diff := cmp.Diff(tc.want, parse(tc.in, size)); diff != "" {
				t.Errorf("%s, in pieces of %d (-want +got):\n%.300s", name, size, diff)
			}
		}
	}
}

func TestResponses(t *testing.T) {
	text := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n" +
		"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nab\r\n0\r\n\r\n"
	var p Responses
	var got []string
	for i := range text {
		p.Feed([]byte{text[i]})
		r, err := p.Next()
		if err != nil {
			t.Fatal(err)
		}
		if r != nil {
			got = append(got, fmt.Sprintf("%d %q close=%v", r.Status, r.Body, r.Close))
		}
	}
	want := []string{`202 "" close=false`, `204 "" close=false`, `500 "ab" close=true`}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	var bad Responses
	bad.Feed([]byte("HTTP/1.1 abc\r\n\r\n"))
	if _, err := bad.Next(); err == nil {
		t.Error("a malformed status line is accepted")
	}
}

func TestAwaitsContinueOnce(t *testing.T) {
	var p Requests
	p.Feed([]byte("POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"))
	if r, err := p.Next(); r != nil || err != nil {
		t.Fatal(r, err)
	}
	if !p.AwaitsContinue() || p.AwaitsContinue() {
		t.Error("want AwaitsContinue to be true exactly once")
	}
}

// FuzzRequests checks that the result does not depend on the size of the pieces.
func FuzzRequests(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		if complete, cut := parse(text, 1<<20), parse(text, 1); complete != cut {
			t.Errorf("whole: %q, byte by byte: %q", complete, cut)
		}
	})
}
