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

// Patience is how long an awaited event may take: far above what it takes, for machines that are busy.
const Patience = 30 * time.Second

// until waits for an event, and says what was there instead.
func (b *Bench) until(holds func() (bool, string)) error {
	last := ""
	for end := time.Now().Add(Patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		ok, seen := holds()
		if ok {
			return nil
		}
		last = seen
	}
	return fmt.Errorf("it never came; last: %s", last)
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
	some, err := b.pick(args[len(args)-1])
	if err != nil {
		return err
	}
	number := uint64(0)
	if args[0] == "epoch" {
		if number, err = strconv.ParseUint(args[1], 10, 64); err != nil {
			return err
		}
	}
	for _, p := range some {
		if err := b.until(func() (bool, string) { return b.holds(args[0], p, number) }); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return nil
}

// holds says whether an event has come at a member, and what is there instead.
func (b *Bench) holds(event string, p *process, number uint64) (bool, string) {
	if event == "dead" {
		return !p.running(), "it runs"
	}
	s, err := b.Status(p.name)
	if err != nil {
		return false, err.Error()
	}
	seen := fmt.Sprintf("%+v, acting under %v, in force %v, %+v", s.Standing, s.Acting, s.Force, s.Peers)
	switch event {
	case "acts":
		return s.Standing == fleet.Standing{Acts: true} && s.Votes, seen
	case "marked":
		return s.Standing.Marked, seen
	case "shut":
		return !s.Standing.Acts, seen
	case "epoch":
		return s.Acting.Number == number, seen
	}
	return false, "there is no such event"
}

// awaitSeen waits until a member sees others in a state.
func (b *Bench) awaitSeen(member, state, list string) error {
	others, err := b.pick(list)
	if err != nil {
		return err
	}
	return b.until(func() (bool, string) {
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

// awaitLaterSecond waits until an empty disk begins with an incarnation above those of a record: it is the second of its start.
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
	return b.until(func() (bool, string) { return time.Now().Unix() > newest, fmt.Sprintf("it is %d still", newest) })
}

// awaitWitnessed waits until another member's record says that a member's record is as far as its adoption of an epoch.
func (b *Bench) awaitWitnessed(member, number string) error {
	epoch, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return err
	}
	return b.until(func() (bool, string) {
		records, err := audit.Read(b.Records()...)
		if err != nil {
			return false, err.Error()
		}
		return records.AdoptionWitnessed(member, epoch), "no record says so"
	})
}
