package fleettest

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// pendingFault is a fault that was set on a link and hasn't been checked for an effect, with the proxy's count of affected
// chunks at that time.
type pendingFault struct {
	proxy      *proxy
	direction  int
	hitsBefore int64
	command    string
}

// applyFault sets a fault on links: "a,b>c" means the direction from a and b to c, "a,b|c" both directions.
func (b *Bench) applyFault(args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	both := strings.Contains(args[1], "|")
	left, right, found := strings.Cut(strings.Replace(args[1], "|", ">", 1), ">")
	from, err := b.processesNamed(left)
	to, err2 := b.processesNamed(right)
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
	apply := func(x, y string) { // bytes from x to y are sent on connections that x dialled and on those that y dialled
		for _, target := range []struct {
			proxy     *proxy
			direction int
		}{{b.links[[2]string{x, y}], forward}, {b.links[[2]string{y, x}], backward}} {
			if target.proxy != nil {
				target.proxy.setFault(target.direction, f)
				b.pendingFaults = append(b.pendingFaults, &pendingFault{target.proxy, target.direction, target.proxy.affectedChunks[target.direction].Load(), strings.Join(args, " ")})
			}
		}
	}
	for _, x := range from {
		for _, y := range to {
			if x == y {
				continue
			}
			apply(x.name, y.name)
			if both {
				apply(y.name, x.name)
			}
		}
	}
	return nil
}

// heal ends all faults on links. It returns an error if the faults of a script line affected no data, because the test would
// then prove nothing.
func (b *Bench) heal() error {
	tookEffect := make(map[string]bool)
	for _, f := range b.pendingFaults {
		tookEffect[f.command] = tookEffect[f.command] || f.proxy.affectedChunks[f.direction].Load() > f.hitsBefore
	}
	b.pendingFaults = nil
	for _, p := range b.links {
		p.setFault(forward, fault{})
		p.setFault(backward, fault{})
	}
	for line, effective := range tookEffect {
		if !effective {
			return fmt.Errorf("fault %q affected no data", line)
		}
	}
	return nil
}
