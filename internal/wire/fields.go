package wire

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"time"

	"ravendale"
)

// fields walks the name=value pairs of a line and keeps the first error.
type fields struct {
	rest     []byte
	key, val []byte
	err      error
}

// keyword takes the first part of the line.
func (f *fields) keyword() (first []byte) {
	first, f.rest = splitAt(f.rest, ' ')
	return first
}

func (f *fields) next() bool {
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
	f.err = fmt.Errorf("%q is no name=value pair", pair)
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

func (f *fields) bad(what string, val []byte) {
	if f.err == nil {
		f.err = fmt.Errorf("%s=%s is no %s", f.key, val, what)
	}
}

func (f *fields) uint(bits int) uint64 {
	v, err := strconv.ParseUint(string(f.val), 10, bits)
	if err != nil {
		f.bad("whole number in range", f.val)
	}
	return v
}

func (f *fields) int() int {
	v, err := strconv.ParseInt(string(f.val), 10, 32)
	if err != nil {
		f.bad("whole number in range", f.val)
	}
	return int(v)
}

func (f *fields) micros() time.Duration {
	v, ok := micros(string(f.val))
	if !ok {
		f.bad("time in microseconds", f.val)
	}
	return v
}

func (f *fields) float() float64 { return f.number(f.val) }

func (f *fields) number(val []byte) float64 {
	v, ok := number(string(val))
	if !ok {
		f.bad("number", val)
	}
	return v
}

func (f *fields) hex() uint64 {
	v, err := strconv.ParseUint(string(f.val), 16, 64)
	if err != nil {
		f.bad("hex number of 64 bits", f.val)
	}
	return v
}

func (f *fields) base64() []byte {
	if string(f.val) == "-" {
		return nil
	}
	data, err := base64.StdEncoding.DecodeString(string(f.val))
	if err != nil {
		f.bad("base64 text", f.val)
	}
	return data
}

func (f *fields) outcome() ravendale.Outcome {
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
	f.bad("outcome", f.val)
	return ravendale.Error
}

// micros reads a time; what would overflow is no time.
func micros(text string) (time.Duration, bool) {
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v > math.MaxInt64/1000 || v < math.MinInt64/1000 {
		return 0, false
	}
	return time.Duration(v) * time.Microsecond, true
}

// number reads a finite number.
func number(text string) (float64, bool) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, false
	}
	return v, true
}
