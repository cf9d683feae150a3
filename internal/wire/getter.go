package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"ravendale"
)

// getter reads values of a config and keeps the first error. An absent value is zero.
type getter struct {
	config
	err error
}

func (g *getter) bad(path, what string) {
	if g.err == nil {
		g.err = fmt.Errorf("setting %s=%s is no %s", path, g.config[path], what)
	}
}

func (g *getter) int(path string) int {
	text, given := g.config[path]
	if !given {
		return 0
	}
	v, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		g.bad(path, "whole number in range")
	}
	return int(v)
}

// maxCount bounds the lists of a settings line: more is no real line but a broken one.
const maxCount = 10_000

func (g *getter) count(path string) int {
	n := g.int(path)
	if n < 0 || n > maxCount {
		g.bad(path, "sensible count")
		return 0
	}
	return n
}

func (g *getter) float(path string) float64 {
	text, given := g.config[path]
	if !given {
		return 0
	}
	v, ok := number(text)
	if !ok {
		g.bad(path, "number")
	}
	return v
}

func (g *getter) time(path string) time.Duration {
	text, given := g.config[path]
	if !given {
		return 0
	}
	v, ok := micros(text)
	if !ok {
		g.bad(path, "time in microseconds")
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
	g.bad(path, "true or false")
	return false
}

func (g *getter) list(path string) []string {
	text := g.config[path]
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// item reads one number of a list that has one for each class; a shorter list gives otherwise.
func (g *getter) item(list []string, i int, path string, otherwise float64) float64 {
	if i >= len(list) {
		return otherwise
	}
	v, ok := number(list[i])
	if !ok {
		g.bad(path, "list of numbers")
	}
	return v
}

func (g *getter) effect(at string) (ravendale.Effect, ravendale.Group) {
	effect, group := ravendale.Safe, ravendale.GroupAll
	switch g.config[at+"effect"] {
	case "idempotent":
	case "deduplicated":
		effect = ravendale.Keyed
	case "at_most_once":
		effect = ravendale.Unsafe
	default:
		g.bad(at+"effect", "known effect")
	}
	switch g.config[at+"group"] {
	case "", "all":
	case "zone":
		group = ravendale.GroupZone
	case "cell":
		group = ravendale.GroupCell
	default:
		g.bad(at+"group", "known group")
	}
	return effect, group
}
