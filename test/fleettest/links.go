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
func (b *Bench) fault(args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	both := strings.Contains(args[1], "|")
	left, right, found := strings.Cut(strings.Replace(args[1], "|", ">", 1), ">")
	from, err := b.pick(left)
	to, err2 := b.pick(right)
	if err = errors.Join(err, err2); err != nil || !found {
		return errors.Join(errUsage, err)
	}
	f := fault{Blackhole: args[0] == "cut", Corrupt: args[0] == "corrupt", Duplicate: args[0] == "duplicate", Reset: args[0] == "reset"}
	if args[0] == "delay" {
		if len(args) < 3 {
			return errUsage
		}
		if f.Delay, err = time.ParseDuration(args[2]); err != nil {
			return err
		}
	}
	put := func(x, y string) { // bytes from x to y go on the link that x made, and come back on the one that y made
		for _, at := range []struct {
			p   *proxy
			way int
		}{{b.links[[2]string{x, y}], forward}, {b.links[[2]string{y, x}], backward}} {
			if at.p != nil {
				at.p.set(at.way, f)
				b.dirty = append(b.dirty, &expect{at.p, at.way, at.p.hits[at.way].Load(), strings.Join(args, " ")})
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
		p.set(forward, fault{})
		p.set(backward, fault{})
	}
	for line, did := range took {
		if !did {
			return fmt.Errorf("the fault %q never took effect", line)
		}
	}
	return nil
}
