package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"ravendale"
)

// getter reads typed values from a config and keeps the first error. An absent value reads as zero.
type getter struct {
	config
	err error
}

func (g *getter) invalid(path, expected string) {
	if g.err == nil {
		g.err = fmt.Errorf("setting %s=%s is no %s", path, g.config[path], expected)
	}
}

func (g *getter) int(path string) int {
	text, given := g.config[path]
	if !given {
		return 0
	}
	v, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		g.invalid(path, "whole number in range")
	}
	return int(v)
}

// maxCount limits the lists of a settings line; a larger count means that the line is corrupt.
const maxCount = 10_000

func (g *getter) count(path string) int {
	n := g.int(path)
	if n < 0 || n > maxCount {
		g.invalid(path, "sensible count")
		return 0
	}
	return n
}

func (g *getter) float(path string) float64 {
	text, given := g.config[path]
	if !given {
		return 0
	}
	v, ok := parseNumber(text)
	if !ok {
		g.invalid(path, "number")
	}
	return v
}

func (g *getter) duration(path string) time.Duration {
	text, given := g.config[path]
	if !given {
		return 0
	}
	v, ok := parseMicros(text)
	if !ok {
		g.invalid(path, "time in microseconds")
	}
	return v
}

func (g *getter) bool(path string) bool {
	switch g.config[path] {
	case "true", "1":
		return true
	case "", "false", "0":
		return false
	}
	g.invalid(path, "true or false")
	return false
}

func (g *getter) list(path string) []string {
	text := g.config[path]
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// listItem parses item i of a list with one number for each class. It returns fallback if the list is shorter.
func (g *getter) listItem(list []string, i int, path string, fallback float64) float64 {
	if i >= len(list) {
		return fallback
	}
	v, ok := parseNumber(list[i])
	if !ok {
		g.invalid(path, "list of numbers")
	}
	return v
}

func (g *getter) effectAndGroup(prefix string) (ravendale.Effect, ravendale.Group) {
	effect, group := ravendale.Safe, ravendale.GroupAll
	switch g.config[prefix+"effect"] {
	case "idempotent":
	case "deduplicated":
		effect = ravendale.Keyed
	case "at_most_once":
		effect = ravendale.Unsafe
	default:
		g.invalid(prefix+"effect", "known effect")
	}
	switch g.config[prefix+"group"] {
	case "", "all":
	case "zone":
		group = ravendale.GroupZone
	case "cell":
		group = ravendale.GroupCell
	default:
		g.invalid(prefix+"group", "known group")
	}
	return effect, group
}
