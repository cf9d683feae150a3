package answers

import (
	"fmt"
	"strconv"
	"strings"
)

// Answer is the content of an answer, apart from its form.
type Answer struct {
	Status int
	Fields string // complete lines, without those that frame the body
	Body   string // not empty, since some forms change the body
}

// Form is a way to write an answer.
type Form struct {
	Name string
	// Encode writes the answer. A malformed form that must have a certain status, or none, ignores the answer's.
	Encode func(Answer) string
	// Closes is set if the end of the answer is the end of the connection.
	Closes bool
}

// Plain is the usual form of an answer.
func Plain(a Answer) string { return head(a, "") + lengthOf(a) + "\r\n" + a.Body }

func head(a Answer, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d Reason\r\n%s%s", a.Status, a.Fields, more)
}

func lengthOf(a Answer) string { return "Content-Length: " + strconv.Itoa(len(a.Body)) + "\r\n" }

// withFirstLine returns a form with another status line. The line may contain the status as %d.
func withFirstLine(name, line string) Form {
	return Form{Name: name, Encode: func(a Answer) string {
		if strings.Contains(line, "%d") {
			line := fmt.Sprintf(line, a.Status)
			return line + a.Fields + lengthOf(a) + "\r\n" + a.Body
		}
		return line + a.Fields + lengthOf(a) + "\r\n" + a.Body
	}}
}

// withField returns a form with one more line among the fields.
func withField(name, line string) Form {
	return Form{Name: name, Encode: func(a Answer) string { return head(a, line) + lengthOf(a) + "\r\n" + a.Body }}
}

// withFraming returns a form with other fields in place of Content-Length, and a body made by encode.
func withFraming(name, fields string, encode func(body string) string) Form {
	return Form{Name: name, Encode: func(a Answer) string { return head(a, fields) + "\r\n" + encode(a.Body) }}
}

func unchanged(body string) string { return body }

const chunkedField = "Transfer-Encoding: chunked\r\n"

// withChunks returns a form with a body in chunks, made by encode.
func withChunks(name string, encode func(body string) string) Form {
	return withFraming(name, chunkedField, encode)
}

func oneChunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

const lastChunk = "0\r\n\r\n"

func chunks(body string) string { return oneChunk(body) + lastChunk }

// withTrailer returns a form with a body in chunks and lines in its trailer.
func withTrailer(name, lines string) Form {
	return withChunks(name, func(body string) string { return oneChunk(body) + "0\r\n" + lines + "\r\n" })
}

// afterInterim returns a form with an interim answer before the plain one.
func afterInterim(name, interim string) Form {
	return Form{Name: name, Encode: func(a Answer) string { return interim + Plain(a) }}
}
