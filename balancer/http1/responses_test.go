package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"ravendale/test/standin/answers"
)

// parsed is what a parser makes of the data of one connection: the complete responses, and why it stopped.
type parsed struct {
	responses []*Response
	err       error
	unparsed  int // bytes after the responses
}

// parseResponses feeds a text in pieces of a given size, to a server's orderly close of the connection.
func parseResponses(text, method string, size int) parsed {
	var p Responses
	p.SetMethod(method)
	var result parsed
	for len(text) > 0 {
		n := min(size, len(text))
		p.Feed([]byte(text[:n]))
		text = text[n:]
		for {
			r, err := p.Next()
			if err != nil {
				result.err = err
				return result
			}
			if r == nil {
				break
			}
			result.responses = append(result.responses, r)
		}
	}
	if last := p.Ended(); last != nil {
		result.responses = append(result.responses, last)
	}
	result.unparsed = p.Buffered()
	return result
}

func (p parsed) String() string {
	var text strings.Builder
	for _, r := range p.responses {
		fmt.Fprintf(&text, "%d %q %q close=%v\n", r.Status, r.Header, r.Body, r.Close)
	}
	fmt.Fprint(&text, p.err)
	return text.String()
}

var pieceSizes = []int{1, 7, 1 << 20}

// statuses are those from which the programs conclude something.
var statuses = []int{200, 202, 307, 400, 409, 421, 422, 429, 500, 503, 504}

func answerWith(status int) answers.Answer {
	return answers.Answer{Status: status, Fields: "Request-Id: id-1\r\nX-Turned-Away: 1\r\n", Body: "content"}
}

func TestMalformedResponsesAreRejected(t *testing.T) {
	for _, form := range answers.Malformed() {
		for _, status := range statuses {
			for _, size := range pieceSizes {
				got := parseResponses(form.Encode(answerWith(status)), "POST", size)
				if got.err == nil || len(got.responses) > 0 {
					t.Errorf("%s, status %d, in pieces of %d: %v", form.Name, status, size, got)
				}
			}
		}
	}
}

func TestValidResponsesAreAccepted(t *testing.T) {
	for _, form := range answers.Valid() {
		for _, status := range statuses {
			for _, size := range pieceSizes {
				got := parseResponses(form.Encode(answerWith(status)), "POST", size)
				if got.err != nil || len(got.responses) != 1 || got.unparsed != 0 {
					t.Errorf("%s, status %d, in pieces of %d: %v", form.Name, status, size, got)
					continue
				}
				r := got.responses[0]
				if r.Status != status || string(r.Body) != "content" || r.Header.Get("request-id") != "id-1" {
					t.Errorf("%s, status %d, in pieces of %d: %v", form.Name, status, size, got)
				}
			}
		}
	}
}

// The answers below depend on the request's method or have no body, so that they are no forms of one answer.
func TestResponsesWithoutBody(t *testing.T) {
	for name, tc := range map[string]struct{ method, text, want string }{
		"204":                        {"POST", "HTTP/1.1 204 No Content\r\n\r\n", `204 []  close=false`},
		"204 with a length of 0":     {"DELETE", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", `204 [{"Content-Length" "0"}]  close=false`},
		"204 with a length":          {"DELETE", "HTTP/1.1 204 No Content\r\nContent-Length: 1\r\n\r\na", ""},
		"204 with a bad length":      {"DELETE", "HTTP/1.1 204 No Content\r\nContent-Length: -0\r\n\r\n", ""},
		"204 in chunks":              {"DELETE", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ""},
		"103 with a length of 0":     {"POST", "HTTP/1.1 103 Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
		"205":                        {"POST", "HTTP/1.1 205 Reset\r\nContent-Length: 0\r\n\r\n", `205 [{"Content-Length" "0"}]  close=false`},
		"205 in chunks":              {"POST", "HTTP/1.1 205 Reset\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", `205 [{"Transfer-Encoding" "chunked"}]  close=false`},
		"205 with content":           {"POST", "HTTP/1.1 205 Reset\r\nContent-Length: 1\r\n\r\na", ""},
		"205 with content in chunks": {"POST", "HTTP/1.1 205 Reset\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", ""},
		"205 with content to close":  {"POST", "HTTP/1.1 205 Reset\r\n\r\na", ""},
		"304 with a length":          {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", `304 [{"Content-Length" "5"}]  close=false`},
		"304 with a bad length":      {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: x\r\n\r\n", ""},
		"304 with two framings":      {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
		"HEAD with a length":         {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", `200 [{"Content-Length" "99999999"}]  close=false`},
		"HEAD with a coding":         {"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", `200 [{"Transfer-Encoding" "chunked"}]  close=false`},
		"HEAD without either":        {"HEAD", "HTTP/1.1 200 OK\r\n\r\n", `200 []  close=false`},
		"HEAD with a bad coding":     {"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", ""},
		"empty body":                 {"POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", `200 [{"Content-Length" "0"}]  close=false`},
		"closes":                     {"POST", "HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 0\r\n\r\n", `200 [{"Connection" "x, Close"} {"Content-Length" "0"}]  close=true`},
		"version 1.0 stays open":     {"POST", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n", `200 [{"Connection" "keep-alive"} {"Content-Length" "0"}]  close=false`},
	} {
		for _, size := range pieceSizes {
			got, text := parseResponses(tc.text, tc.method, size), ""
			if len(got.responses) == 1 && got.err == nil {
				r := got.responses[0]
				text = fmt.Sprintf("%d %q %s close=%v", r.Status, r.Header, r.Body, r.Close)
			}
			if text != tc.want {
				t.Errorf("%s, in pieces of %d: got %s, want %q", name, size, got, tc.want)
			}
		}
	}
}

func TestResponseLimits(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	interim := "HTTP/1.1 103 Early Hints\r\n\r\n"
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, tc := range map[string]struct {
		text string
		want int // complete responses; fewer than are in the text mean an error
	}{
		"many interim responses":     {strings.Repeat(interim, maxInterim) + ok, 1},
		"too many interim responses": {strings.Repeat(interim, maxInterim+1) + ok, 0},
		"interim responses of two":   {strings.Repeat(interim, maxInterim) + ok + strings.Repeat(interim, maxInterim) + ok, 2},
		"long head":                  {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: " + strings.Repeat("a", MaxHead/2) + "\r\n\r\n", 1},
		"too long a head":            {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: " + strings.Repeat("a", MaxHead) + "\r\n\r\n", 0},
		"long status line":           {"HTTP/1.1 200 " + strings.Repeat("a", 2*MaxHead), 0},
		"longest body":               {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", MaxBody, strings.Repeat("a", MaxBody)), 1},
		"too long a body":            {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", MaxBody+1), 0},
		"too long to the close":      {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("a", MaxBody+1), 0},
		"too long in chunks":         {chunked + fmt.Sprintf("%x\r\n%s\r\n1\r\n", MaxBody, strings.Repeat("a", MaxBody)), 0},
		"long chunk extension":       {chunked + "0;a=" + strings.Repeat("b", maxChunkLine/2) + "\r\n\r\n", 1},
		"too long a chunk extension": {chunked + "0;a=" + strings.Repeat("b", maxChunkLine) + "\r\n\r\n", 0},
		"endless chunk size":         {chunked + strings.Repeat("0", maxChunkLine+2), 0},
		"long trailer":               {chunked + "0\r\nX: " + strings.Repeat("a", MaxHead/2) + "\r\n\r\n", 1},
		"too long a trailer":         {chunked + "0\r\n" + strings.Repeat("X: "+strings.Repeat("a", MaxHead/4)+"\r\n", 5) + "\r\n", 0},
	} {
		for _, size := range pieceSizes {
			got := parseResponses(tc.text, "GET", size)
			if len(got.responses) != tc.want || tc.want == 0 && got.err == nil {
				t.Errorf("%s, in pieces of %d: %d responses, want %d, error %v", name, size, len(got.responses), tc.want, got.err)
			}
		}
	}
}

// A response that is cut off anywhere is never complete, unless it ends with the connection.
func TestTruncatedResponsesAreIncomplete(t *testing.T) {
	for _, form := range answers.Valid() {
		text := form.Encode(answerWith(200))
		for end := range len(text) {
			if form.Closes && end >= strings.Index(text, "\r\n\r\n")+len("\r\n\r\n") {
				break
			}
			if got := parseResponses(text[:end], "POST", 1<<20); got.err != nil || len(got.responses) > 0 {
				t.Errorf("%s: cut off after %d bytes: %v", form.Name, end, got)
			}
		}
	}
}

func TestDiscardDropsBody(t *testing.T) {
	for _, form := range answers.Valid() {
		var p Responses
		p.Feed([]byte(form.Encode(answerWith(200))))
		if r, err := p.Head(); err != nil || r.Status != 200 {
			t.Fatal(form.Name, r, err)
		}
		complete, err := p.Discard()
		if err != nil || complete == form.Closes || p.EndsWithConnection() != form.Closes || p.Buffered() > 0 {
			t.Errorf("%s: complete=%v, ends with connection=%v, error %v", form.Name, complete, p.EndsWithConnection(), err)
		}
	}
}

func TestResetParserHasNoState(t *testing.T) {
	var p Responses
	p.SetMethod("HEAD")
	p.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nHTTP/1.1 2"))
	if r, err := p.Next(); r == nil || err != nil {
		t.Fatal(r, err)
	}
	p.Reset()
	p.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	if r, err := p.Next(); err != nil || r == nil || string(r.Body) != "ok" {
		t.Error(r, err)
	}
}

// The grammar of a response head without obsolete forms (RFC 9112, sections 4 and 5; RFC 9110, section 15).
var (
	grammarStatusLine = regexp.MustCompile(`\AHTTP/1\.[0-9] [1-5][0-9][0-9] [\t \x21-\x7e\x80-\xff]*\z`)
	grammarField      = regexp.MustCompile("\\A[!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[\\t \\x21-\\x7e\\x80-\\xff]*\\z")
)

// latin returns a text with a rune for each byte, as regexp reads runes.
func latin(text string) string {
	runes := make([]rune, len(text))
	for i := range len(text) {
		runes[i] = rune(text[i])
	}
	return string(runes)
}

// hasValidHead reports whether a text begins with a head that has the grammar's form.
func hasValidHead(text string) bool {
	head, _, found := strings.Cut(text, "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	if !found || !grammarStatusLine.MatchString(latin(lines[0])) {
		return false
	}
	for _, line := range lines[1:] {
		if !grammarField.MatchString(latin(line)) {
			return false
		}
	}
	return true
}

// FuzzResponses checks that the result does not depend on the size of the pieces, that an accepted response has a head of
// the grammar's form, and that net/http, which accepts more, reads the same status and body from it.
func FuzzResponses(f *testing.F) {
	for _, form := range append(answers.Valid(), answers.Malformed()...) {
		f.Add(form.Encode(answerWith(200)), false)
		f.Add(form.Encode(answerWith(503))+"x", true)
	}
	f.Fuzz(func(t *testing.T, text string, isHead bool) {
		method := "POST"
		if isHead {
			method = "HEAD"
		}
		whole, cut := parseResponses(text, method, 1<<20), parseResponses(text, method, 1)
		if whole.String() != cut.String() {
			t.Fatalf("whole: %s, byte by byte: %s", whole, cut)
		}
		if len(whole.responses) == 0 {
			return
		}
		if !hasValidHead(text) {
			t.Fatalf("accepted: %s", whole)
		}
		compareWithLibrary(t, text, method, whole.responses[0])
	})
}

// compareWithLibrary reads the first final response of a text with net/http.
func compareWithLibrary(t *testing.T, text, method string, got *Response) {
	t.Helper()
	reader := bufio.NewReader(strings.NewReader(text))
	for {
		want, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			if isLibraryStricter(err) {
				return
			}
			t.Fatalf("net/http rejects %v: %v", got, err)
		}
		body, err := io.ReadAll(want.Body)
		if err != nil && !isLibraryStricter(err) {
			t.Fatalf("net/http rejects the body of %v: %v", got, err)
		}
		if want.StatusCode < 200 {
			continue
		}
		if want.StatusCode != got.Status || err == nil && !bytes.Equal(body, got.Body) {
			t.Fatalf("net/http reads %d %q, not %v", want.StatusCode, body, got)
		}
		return
	}
}

// isLibraryStricter reports whether net/http rejects what the grammar allows: minor versions above 1, lists of lengths,
// and long lines.
func isLibraryStricter(err error) bool {
	for _, part := range []string{"malformed HTTP version", "bad Content-Length", "chunked line", "too long", "too many", "chunk extension", "trailer", "multiple"} {
		if strings.Contains(err.Error(), part) {
			return true
		}
	}
	return errors.Is(err, bufio.ErrTooLong)
}
