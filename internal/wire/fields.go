package wire

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"time"

	"ravendale"
)

// fieldScanner iterates over the name=value pairs of a line and keeps the first error.
type fieldScanner struct {
	rest     []byte
	key, val []byte
	err      error
}

// keyword consumes and returns the first word of the line.
func (f *fieldScanner) keyword() (first []byte) {
	first, f.rest = splitAt(f.rest, ' ')
	return first
}

func (f *fieldScanner) next() bool {
	if f.err != nil || len(f.rest) == 0 {
		return false
	}
	var pair []byte
	pair, f.rest = splitAt(f.rest, ' ')
	for i, c := range pair {
		if c == '=' {
			f.key, f.val = pair[:i], pair[i+1:]
			return true
		}
	}
	f.err = fmt.Errorf("%q is not a name=value pair", pair)
	return false
}

func splitAt(b []byte, sep byte) (head, tail []byte) {
	for i, c := range b {
		if c == sep {
			return b[:i], b[i+1:]
		}
	}
	return b, nil
}

func (f *fieldScanner) invalid(expected string, val []byte) {
	if f.err == nil {
		f.err = fmt.Errorf("%s=%s is not a %s", f.key, val, expected)
	}
}

func (f *fieldScanner) uint(bits int) uint64 {
	v, err := strconv.ParseUint(string(f.val), 10, bits)
	if err != nil {
		f.invalid("whole number in range", f.val)
	}
	return v
}

func (f *fieldScanner) int() int {
	v, err := strconv.ParseInt(string(f.val), 10, 32)
	if err != nil {
		f.invalid("whole number in range", f.val)
	}
	return int(v)
}

func (f *fieldScanner) micros() time.Duration {
	v, ok := parseMicros(string(f.val))
	if !ok {
		f.invalid("time in microseconds", f.val)
	}
	return v
}

func (f *fieldScanner) float() float64 { return f.number(f.val) }

func (f *fieldScanner) number(val []byte) float64 {
	v, ok := parseNumber(string(val))
	if !ok {
		f.invalid("number", val)
	}
	return v
}

func (f *fieldScanner) hex() uint64 {
	v, err := strconv.ParseUint(string(f.val), 16, 64)
	if err != nil {
		f.invalid("64-bit hexadecimal number", f.val)
	}
	return v
}

func (f *fieldScanner) base64() []byte {
	if string(f.val) == "-" {
		return nil
	}
	data, err := base64.StdEncoding.DecodeString(string(f.val))
	if err != nil {
		f.invalid("valid base64 string", f.val)
	}
	return data
}

func (f *fieldScanner) outcome() ravendale.Outcome {
	switch string(f.val) {
	case "S":
		return ravendale.OK
	case "E":
		return ravendale.Error
	case "F":
		return ravendale.Overloaded
	case "T":
		return ravendale.TimedOut
	case "C":
		return ravendale.ConnectFailed
	case "R":
		return ravendale.Reset
	case "X":
		return ravendale.Cancelled
	case "N":
		return ravendale.NotSent
	}
	f.invalid("known outcome", f.val)
	return ravendale.Error
}

// parseMicros parses a duration in microseconds. It rejects one that would overflow a time.Duration.
func parseMicros(text string) (time.Duration, bool) {
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v > math.MaxInt64/1000 || v < math.MinInt64/1000 {
		return 0, false
	}
	return time.Duration(v) * time.Microsecond, true
}

// parseNumber parses a finite number.
func parseNumber(text string) (float64, bool) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, false
	}
	return v, true
}
