package http1

import "strings"

// statusLine is the first line of a response.
type statusLine struct {
	minorVersion int
	status       int
}

// Bounds of a status code (RFC 9110, section 15).
const minStatus, maxStatus = 100, 599

// switchingProtocols answers only a request with the field Upgrade, which this program never sends.
const switchingProtocols = 101

// versionPrefix begins the version of each message that this package parses: the major version is 1, and a higher minor
// version than 1 is taken for 1 (RFC 9110, section 2.5).
const versionPrefix = "HTTP/1."

func malformedStatusLine() (statusLine, error) {
	return statusLine{}, badRequest("the status line is malformed")
}

// parseStatusLine parses version SP status SP [reason] (RFC 9112, section 4).
func parseStatusLine(line string) (statusLine, error) {
	version, rest, found := strings.Cut(line, " ")
	minor, isVersion := strings.CutPrefix(version, versionPrefix)
	if !found || !isVersion || len(minor) != 1 || !isDigit(minor[0]) {
		return malformedStatusLine()
	}
	code, reason, found := strings.Cut(rest, " ")
	if !found || len(code) != 3 || hasControl(reason) {
		return malformedStatusLine()
	}
	status := 0
	for i := range len(code) {
		if !isDigit(code[i]) {
			return malformedStatusLine()
		}
		status = 10*status + int(code[i]-'0')
	}
	if status < minStatus || status > maxStatus || status == switchingProtocols {
		return statusLine{}, badRequest("the status code is not one that a server may send")
	}
	return statusLine{minorVersion: int(minor[0] - '0'), status: status}, nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
