package answers

import (
	"fmt"
	"strings"
)

// Valid returns forms that the grammar allows.
func Valid() []Form {
	forms := []Form{{Name: "plain", Encode: Plain}}
	forms = append(forms, validHeads()...)
	forms = append(forms, validBodies()...)
	return append(forms, validInterims()...)
}

func validHeads() []Form {
	return []Form{
		withFirstLine("empty reason", "HTTP/1.1 %d \r\n"),
		withFirstLine("reason of any text", "HTTP/1.1 %d  a\tb \xe9: 200 OK \r\n"),
		withFirstLine("higher minor version", "HTTP/1.2 %d Reason\r\n"),
		withFirstLine("version 1.0", "HTTP/1.0 %d Reason\r\n"),
		withField("empty value", "X-Empty:\r\n"),
		withField("value of blanks", "X-Empty: \t \r\n"),
		withField("no blank before the value", "X-A:b\r\n"),
		withField("blanks round the value", "X-A: \t b \t\r\n"),
		withField("value of any text", "X-A: a\tb \x80\xff\"\\;,=:\r\n"),
		withField("name of any token", "!#$%&'*+-.^_`|~09azAZ: b\r\n"),
		withField("repeated field", "X-A: a\r\nx-a: b\r\n"),
		withField("list of connection options", "Connection: , Keep-Alive ,x-a\r\n"),
	}
}

func validBodies() []Form {
	forms := []Form{
		{Name: "length repeated", Encode: func(a Answer) string { return head(a, lengthOf(a)) + lengthOf(a) + "\r\n" + a.Body }},
		{Name: "length repeated in a list", Encode: func(a Answer) string {
			return head(a, fmt.Sprintf("Content-Length: %d, %d\r\n\r\n", len(a.Body), len(a.Body))) + a.Body
		}},
		{Name: "length with zeros before it", Encode: func(a Answer) string {
			return head(a, fmt.Sprintf("content-length:000%d\r\n\r\n", len(a.Body))) + a.Body
		}},
		{Name: "no length", Closes: true, Encode: func(a Answer) string { return head(a, "") + "\r\n" + a.Body }},
		withFraming("coding in other letters", "transfer-encoding:  CHUNKED \r\n", chunks),
		withChunks("chunks", chunks),
		withChunks("a chunk for each byte", func(body string) string {
			var text strings.Builder
			for i := range len(body) {
				text.WriteString(oneChunk(body[i : i+1]))
			}
			return text.String() + lastChunk
		}),
		withChunks("chunk size with zeros before it", func(body string) string { return "000" + oneChunk(body) + "000\r\n\r\n" }),
		withChunks("chunk extensions", func(body string) string {
			return fmt.Sprintf("%X;a;b=c ; d = \"e;\\\"f\"\t;g\r\n%s\r\n0;h\r\n\r\n", len(body), body)
		}),
		withTrailer("trailer", "X-A: b\r\nX-Empty:\r\n"),
	}
	return forms
}

func validInterims() []Form {
	return []Form{
		afterInterim("after 100", "HTTP/1.1 100 Continue\r\n\r\n"),
		afterInterim("after 102 and 103", "HTTP/1.1 102 \r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
		afterInterim("after an unknown interim answer", "HTTP/1.1 199 x\r\nSignature: interim\r\nRequest-Id: interim\r\n\r\n"),
	}
}
