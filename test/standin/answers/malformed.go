package answers

import (
	"fmt"
)

// Malformed returns forms that the grammar forbids. An answer in such a form is no answer, whatever status it gives.
func Malformed() []Form {
	forms := append(MalformedHeads(), malformedChunks()...)
	return append(forms, malformedTrailers()...)
}

// MalformedHeads returns those of the forms that are malformed before the body begins.
func MalformedHeads() []Form {
	forms := append(malformedFirstLines(), malformedFields()...)
	forms = append(forms, malformedFramings()...)
	return append(forms, malformedInterims()...)
}

func malformedFirstLines() []Form {
	return []Form{
		withFirstLine("minor version no digit", "HTTP/1.junk %d Reason\r\n"),
		withFirstLine("minor version of one letter", "HTTP/1.x %d Reason\r\n"),
		withFirstLine("minor version of two digits", "HTTP/1.10 %d Reason\r\n"),
		withFirstLine("no minor version", "HTTP/1 %d Reason\r\n"),
		withFirstLine("empty minor version", "HTTP/1. %d Reason\r\n"),
		withFirstLine("version 2", "HTTP/2.0 %d Reason\r\n"),
		withFirstLine("version 0", "HTTP/0.9 %d Reason\r\n"),
		withFirstLine("version in small letters", "http/1.1 %d Reason\r\n"),
		withFirstLine("another protocol", "ICY %d Reason\r\n"),
		withFirstLine("no version", "%d Reason\r\n"),
		withFirstLine("blank before the version", " HTTP/1.1 %d Reason\r\n"),
		withFirstLine("tab after the version", "HTTP/1.1\t%d Reason\r\n"),
		withFirstLine("two blanks before the status", "HTTP/1.1  %d Reason\r\n"),
		withFirstLine("tab after the status", "HTTP/1.1 %d\tReason\r\n"),
		withFirstLine("nothing after the status", "HTTP/1.1 %d\r\n"),
		withFirstLine("status 000", "HTTP/1.1 000 Reason\r\n"),
		withFirstLine("status 001", "HTTP/1.1 001 Reason\r\n"),
		withFirstLine("status 099", "HTTP/1.1 099 Reason\r\n"),
		withFirstLine("status 101", "HTTP/1.1 101 Reason\r\n"),
		withFirstLine("status 600", "HTTP/1.1 600 Reason\r\n"),
		withFirstLine("status 999", "HTTP/1.1 999 Reason\r\n"),
		withFirstLine("status of two digits", "HTTP/1.1 20 Reason\r\n"),
		withFirstLine("status of four digits", "HTTP/1.1 0%d Reason\r\n"),
		withFirstLine("status with a sign", "HTTP/1.1 +20 Reason\r\n"),
		withFirstLine("negative status", "HTTP/1.1 -20 Reason\r\n"),
		withFirstLine("status no number", "HTTP/1.1 2x0 Reason\r\n"),
		withFirstLine("no status", "HTTP/1.1 \r\n"),
		withFirstLine("status line of a version only", "HTTP/1.1\r\n"),
		withFirstLine("control byte in the reason", "HTTP/1.1 %d Rea\x01son\r\n"),
		withFirstLine("NUL in the reason", "HTTP/1.1 %d Rea\x00son\r\n"),
		withFirstLine("DEL in the reason", "HTTP/1.1 %d Rea\x7fson\r\n"),
		withFirstLine("CR in the reason", "HTTP/1.1 %d Rea\rson\r\n"),
		withFirstLine("status line ends with LF", "HTTP/1.1 %d Reason\n"),
		withFirstLine("status line ends with CR", "HTTP/1.1 %d Reason\r"),
		withFirstLine("empty line before the status line", "\r\nHTTP/1.1 %d Reason\r\n"),
		withFirstLine("LF before the status line", "\nHTTP/1.1 %d Reason\r\n"),
		withFirstLine("blanks after the status line", "HTTP/1.1 %d Reason\r\n \r\n"),
	}
}

func malformedFields() []Form {
	forms := []Form{
		withField("blank after a name", "X-A : b\r\n"),
		withField("tab after a name", "X-A\t: b\r\n"),
		withField("blank in a name", "X A: b\r\n"),
		withField("tab in a name", "X\tA: b\r\n"),
		withField("control byte in a name", "X\x01A: b\r\n"),
		withField("NUL in a name", "X\x00A: b\r\n"),
		withField("DEL in a name", "X\x7fA: b\r\n"),
		withField("CR in a name", "X\rA: b\r\n"),
		withField("byte above ASCII in a name", "X\xe9A: b\r\n"),
		withField("separator in a name", "X(A): b\r\n"),
		withField("quote in a name", "\"X-A\": b\r\n"),
		withField("empty name", ": b\r\n"),
		withField("no colon", "X-A\r\n"),
		withField("folded value", "X-A: b\r\n c\r\n"),
		withField("value folded by a tab", "X-A: b\r\n\tc\r\n"),
		withField("control byte in a value", "X-A: b\x01c\r\n"),
		withField("NUL in a value", "X-A: b\x00c\r\n"),
		withField("DEL in a value", "X-A: b\x7fc\r\n"),
		withField("CR in a value", "X-A: b\rc\r\n"),
		withField("CR at the end of a value", "X-A: b\r\r\n"),
		withField("line ends with LF", "X-A: b\n"),
		withField("connection option with a blank", "Connection: keep alive\r\n"),
		{Name: "head ends with LF", Encode: func(a Answer) string { return head(a, lengthOf(a)) + "\n" + a.Body }},
		{Name: "all lines end with LF", Encode: func(a Answer) string {
			return fmt.Sprintf("HTTP/1.1 %d Reason\nContent-Length: %d\n\n%s", a.Status, len(a.Body), a.Body)
		}},
		{Name: "first field folded", Encode: func(a Answer) string {
			return fmt.Sprintf("HTTP/1.1 %d Reason\r\n X-A: b\r\n%s%s\r\n%s", a.Status, a.Fields, lengthOf(a), a.Body)
		}},
	}
	return forms
}

func malformedFramings() []Form {
	forms := []Form{
		{Name: "blank after Content-Length", Encode: func(a Answer) string {
			return head(a, fmt.Sprintf("Content-Length : %d\r\n\r\n", len(a.Body))) + a.Body
		}},
		{Name: "blank in Content-Length", Encode: func(a Answer) string {
			return head(a, fmt.Sprintf("Content -Length: %d\r\n\r\n", len(a.Body))) + a.Body
		}},
		{Name: "lengths differ", Encode: func(a Answer) string { return head(a, lengthOf(a)) + "Content-Length: 1\r\n\r\n" + a.Body }},
		{Name: "lengths of a list differ", Encode: func(a Answer) string {
			return head(a, fmt.Sprintf("Content-Length: %d, 1\r\n\r\n", len(a.Body))) + a.Body
		}},
		{Name: "length and coding", Encode: func(a Answer) string { return head(a, lengthOf(a)) + chunkedField + "\r\n" + chunks(a.Body) }},
		{Name: "length of zero and coding", Encode: func(a Answer) string { return head(a, "Content-Length: 0\r\n"+chunkedField+"\r\n") + chunks(a.Body) }},
		{Name: "length with a status that has none", Encode: func(a Answer) string {
			return "HTTP/1.1 204 Reason\r\n" + a.Fields + lengthOf(a) + "\r\n" + a.Body
		}},
		{Name: "coding with a status that has none", Encode: func(a Answer) string {
			return "HTTP/1.1 204 Reason\r\n" + a.Fields + chunkedField + "\r\n" + chunks(a.Body)
		}},
		{Name: "coding in version 1.0", Encode: func(a Answer) string {
			return fmt.Sprintf("HTTP/1.0 %d Reason\r\n%s%s\r\n%s", a.Status, a.Fields, chunkedField, chunks(a.Body))
		}},
	}
	for name, value := range map[string]string{
		"empty length": "", "negative length": "-5", "length with a sign": "+5", "length no number": "five", "length in hex": "0x5",
		"length with a fraction": "5.0", "length with a blank": "5 5", "length too large": "99999999999999999999", "length in a list with nothing": "5,",
		"length with a control byte": "5\x0b",
	} {
		forms = append(forms, withFraming(name, "Content-Length: "+value+"\r\n", unchanged))
	}
	for name, value := range map[string]string{
		"empty coding": "", "unknown coding": "gzip", "identity": "identity", "coding before the chunks": "gzip, chunked",
		"coding after the chunks": "chunked, gzip", "chunks twice": "chunked, chunked", "parameter of the coding": "chunked;a=b",
		"quoted coding": `"chunked"`, "control byte after the coding": "chunked\x0b",
	} {
		forms = append(forms, withFraming(name, "Transfer-Encoding: "+value+"\r\n", chunks))
	}
	return append(forms, withFraming("coding repeated", chunkedField+chunkedField, chunks))
}

func malformedChunks() []Form {
	line := func(name, line string) Form { // in place of the size line; the body has five bytes or more
		return withChunks(name, func(body string) string { return line + body[:5] + "\r\n" + lastChunk })
	}
	return []Form{
		line("chunk size no number", "zz\r\n"),
		line("empty chunk size", "\r\n"),
		line("chunk size of an extension only", ";a=b\r\n"),
		line("chunk size with a sign", "+5\r\n"),
		line("negative chunk size", "-5\r\n"),
		line("chunk size with a prefix", "0x5\r\n"),
		line("chunk size with an underscore", "0_5\r\n"),
		line("chunk size too large", "fffffffffffffffff5\r\n"),
		line("blank before a chunk size", " 5\r\n"),
		line("blank after a chunk size", "5 \r\n"),
		line("control byte after a chunk size", "5\x0b\r\n"),
		line("chunk size line ends with LF", "5\n"),
		line("CR in a chunk size line", "5\r;a\r\n"),
		line("LF in a chunk size line", "5;a\nb\r\n"),
		line("empty chunk extension", "5;\r\n"),
		line("chunk extension without a name", "5;=a\r\n"),
		line("chunk extension without a value", "5;a=\r\n"),
		line("chunk extension no token", "5;a(b\r\n"),
		line("chunk extension with a control byte", "5;a=\"\x01\"\r\n"),
		line("chunk extension with an open quote", "5;a=\"b\r\n"),
		line("chunk extension with text after a quote", "5;a=\"b\"c\r\n"),
		line("chunk extension without a separator", "5 a=b\r\n"),
		line("chunk longer than its size", "4\r\n"),
		withChunks("chunk shorter than its size", func(body string) string { return "6\r\n" + body[:5] + "\r\n" + lastChunk }),
		withChunks("chunk without a line end", func(body string) string { return "5\r\n" + body[:5] + lastChunk }),
		withChunks("chunk ends with LF", func(body string) string { return "5\r\n" + body[:5] + "\n" + lastChunk }),
		withChunks("last chunk ends with LF", func(body string) string { return oneChunk(body) + "0\n\r\n" }),
		withChunks("trailer ends with LF", func(body string) string { return oneChunk(body) + "0\r\n\n" }),
	}
}

func malformedTrailers() []Form {
	return []Form{
		withTrailer("blank after a name in the trailer", "X-A : b\r\n"),
		withTrailer("control byte in a name in the trailer", "X\x01A: b\r\n"),
		withTrailer("no colon in the trailer", "X-A\r\n"),
		withTrailer("folded value in the trailer", "X-A: b\r\n c\r\n"),
		withTrailer("control byte in a value in the trailer", "X-A: b\x01\r\n"),
		withTrailer("line ends with LF in the trailer", "X-A: b\n"),
		withTrailer("length in the trailer", "Content-Length: 5\r\n"),
		withTrailer("coding in the trailer", "Transfer-Encoding: chunked\r\n"),
	}
}

func malformedInterims() []Form {
	return []Form{
		afterInterim("interim answer with a length", "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n"),
		afterInterim("interim answer with a coding", "HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n"),
		afterInterim("interim answer with a status below 100", "HTTP/1.1 099 Continue\r\n\r\n"),
		afterInterim("interim answer with status 000", "HTTP/1.1 000 Continue\r\n\r\n"),
		afterInterim("interim answer that switches protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"),
		afterInterim("interim answer with another version", "HTTP/1.junk 100 Continue\r\n\r\n"),
		afterInterim("interim answer with a blank after a name", "HTTP/1.1 103 Hints\r\nLink : </a>\r\n\r\n"),
		afterInterim("interim answer with a control byte", "HTTP/1.1 103 Hints\r\nLink: </a\x01>\r\n\r\n"),
		afterInterim("interim answer that ends with LF", "HTTP/1.1 100 Continue\n\n"),
	}
}
