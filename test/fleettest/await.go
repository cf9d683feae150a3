package fleettest

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"ravendale/balancer/audit"
	"ravendale/balancer/fleet"
)

// AwaitTimeout is the timeout for an awaited event. It is far above the usual time, to allow for busy machines.
const AwaitTimeout = 30 * time.Second

// waitUntil polls until the condition holds. On timeout its error contains the last state observed.
func (b *Bench) waitUntil(condition func() (bool, string)) error {
	lastObserved := ""
	for end := time.Now().Add(AwaitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		ok, observed := condition()
		if ok {
			return nil
		}
		lastObserved = observed
	}
	return fmt.Errorf("timeout waiting for the event; last state: %s", lastObserved)
}

func (b *Bench) await(args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	if len(args) == 4 && args[1] == "sees" {
		return b.awaitSeen(args[0], args[2], args[3])
	}
	if len(args) == 3 && args[0] == "told" {
		return b.awaitWitnessed(args[1], args[2])
	}
	selected, err := b.processesNamed(args[len(args)-1])
	if err != nil {
		return err
	}
	number := uint64(0)
	if args[0] == "epoch" {
		if number, err = strconv.ParseUint(args[1], 10, 64); err != nil {
			return err
		}
	}
	for _, p := range selected {
		if err := b.waitUntil(func() (bool, string) { return b.hasOccurred(args[0], p, number) }); err != nil {
			return fmt.Errorf("member %s: %w", p.name, err)
		}
	}
	return nil
}

// hasOccurred reports whether a member has reached the state that an event names, and returns the state observed.
func (b *Bench) hasOccurred(event string, p *process, number uint64) (bool, string) {
	if event == "dead" {
		return !p.running(), "process is still running"
	}
	s, err := b.Status(p.name)
	if err != nil {
		return false, err.Error()
	}
	observed := fmt.Sprintf("%+v, acting under %v, in force %v, %+v", s.Standing, s.Acting, s.Force, s.Peers)
	switch event {
	case "acts":
		return s.Standing == fleet.Standing{Acts: true} && s.Votes, observed
	case "marked":
		return s.Standing.Marked, observed
	case "shut":
		return !s.Standing.Acts, observed
	case "epoch":
		return s.Acting.Number == number, observed
	}
	return false, "unknown event name"
}

// awaitSeen waits until a member reports the other members in a state.
func (b *Bench) awaitSeen(member, state, list string) error {
	others, err := b.processesNamed(list)
	if err != nil {
		return err
	}
	return b.waitUntil(func() (bool, string) {
		s, err := b.Status(member)
		if err != nil {
			return false, err.Error()
		}
		for _, o := range others {
			if got := s.Peers[o.name]; string(got.State) != state {
				return false, fmt.Sprintf("%s is %+v", o.name, got)
			}
		}
		return true, ""
	})
}

// awaitLaterSecond waits until the wall clock has passed the newest incarnation in a record. A member that starts on an empty
// disk takes the current Unix second as its incarnation, which must be above those in the record.
func (b *Bench) awaitLaterSecond(record string) error {
	files, err := filepath.Glob(filepath.Join(record, "*.audit"))
	if err != nil {
		return err
	}
	newest := int64(0)
	for _, file := range files {
		args := strings.Split(filepath.Base(file), ".") // member, incarnation, number
		if incarnation, err := strconv.ParseInt(args[1], 10, 64); err == nil {
			newest = max(newest, incarnation)
		}
	}
	return b.waitUntil(func() (bool, string) { return time.Now().Unix() > newest, fmt.Sprintf("clock not past %d", newest) })
}

// awaitWitnessed waits until another member's record confirms that a member's record includes its adoption of an epoch.
func (b *Bench) awaitWitnessed(member, number string) error {
	epoch, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return err
	}
	return b.waitUntil(func() (bool, string) {
		records, err := audit.Read(b.Records()...)
		if err != nil {
			return false, err.Error()
		}
		return records.AdoptionWitnessed(member, epoch), "no other member's record confirms the adoption"
	})
}
