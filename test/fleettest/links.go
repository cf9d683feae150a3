package fleettest

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// expect is a fault that was put on a link, and what the proxy had counted then.
type expect struct {
	p    *proxy
	way  int
	had  int64
	line string
}

// fault puts one on links: "a,b>c" is the direction from a and b to c, "a,b|c" both.
func (b *Bench) fault(words []string) error {
	if len(words) < 2 {
		return errWords
	}
	both := strings.Contains(words[1], "|")
	left, right, found := strings.Cut(strings.Replace(words[1], "|", ">", 1), ">")
	from, err := b.pick(left)
	to, err2 := b.pick(right)
	if err = errors.Join(err, err2); err != nil || !found {
		return errors.Join(errWords, err)
	}
	f := fault{Cut: words[0] == "cut", Corrupt: words[0] == "corrupt", Duplicate: words[0] == "duplicate", Reset: words[0] == "reset"}
	if words[0] == "delay" {
		if len(words) < 3 {
			return errWords
		}
		if f.Delay, err = time.ParseDuration(words[2]); err != nil {
			return err
		}
	}
	put := func(x, y string) { // bytes from x to y go on the link that x made, and come back on the one that y made
		for _, at := range []struct {
			p   *proxy
			way int
		}{{b.links[[2]string{x, y}], out}, {b.links[[2]string{y, x}], back}} {
			if at.p != nil {
				at.p.set(at.way, f)
				b.dirty = append(b.dirty, &expect{at.p, at.way, at.p.hits[at.way].Load(), strings.Join(words, " ")})
			}
		}
	}
	for _, x := range from {
		for _, y := range to {
			if x == y {
				continue
			}
			put(x.name, y.name)
			if both {
				put(y.name, x.name)
			}
		}
	}
	return nil
}

// heal ends all faults of links. Those that did nothing to a single byte of a line are an error: the test would prove nothing.
func (b *Bench) heal() error {
	took := make(map[string]bool)
	for _, e := range b.dirty {
		took[e.line] = took[e.line] || e.p.hits[e.way].Load() > e.had
	}
	b.dirty = nil
	for _, p := range b.links {
		p.set(out, fault{})
		p.set(back, fault{})
	}
	for line, did := range took {
		if !did {
			return fmt.Errorf("the fault %q never took effect", line)
		}
	}
	return nil
}
