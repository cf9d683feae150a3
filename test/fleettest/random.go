package fleettest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Random is a script of faults drawn from a seed: rounds of one or two faults that leave a majority, a roll-out while they last,
// and their end. Stopped are the members that are stopped across a floor's date, by the number of the epoch: they and no others
// are below it then, for a partition shuts out before.
func Random(seed uint64, members int, trust time.Duration) (script string, stopped map[uint64][]string, killed []string) {
	r := rand.New(rand.NewPCG(seed, 0))
	stopped = make(map[uint64][]string)
	var lines []string
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	names := make([]string, members)
	for i := range names {
		names[i] = memberName(i)
	}
	add("start all")
	add("await acts all")
	add("load on")
	for number := uint64(1); number <= 3; number++ {
		r.Shuffle(members, func(i, j int) { names[i], names[j] = names[j], names[i] })
		hurt := 1 + r.IntN((members-1)/2)
		bad, healthy := slices.Clone(names[:hurt]), slices.Clone(names[hurt:])
		badList, healthyList := strings.Join(bad, ","), strings.Join(healthy, ",")
		after := ""
		fault := r.IntN(7)
		switch fault {
		case 0:
			add("cut %s|%s", badList, healthyList)
			after = "heal"
		case 1:
			add("cut %s>%s", badList, healthyList)
			after = "heal"
		case 2:
			add("cut %s>%s", healthyList, badList)
			after = "heal"
		case 3:
			add("stop %s", badList)
			stopped[number] = bad
			after = "cont " + badList
		case 4:
			add("kill %s", badList)
			killed = append(killed, bad...)
			after = "start " + badList
		case 5:
			add("delay %s|%s %dms", badList, healthyList, 5+r.IntN(30))
			after = "heal"
		case 6:
			add("clock %s %d", bad[0], r.IntN(20000)-10000)
		}
		add("roll-out %d floor=%d via %s", number, number-uint64(r.IntN(2)), healthy[r.IntN(len(healthy))])
		add("await epoch %d %s", number, healthyList)
		if fault <= 3 {
			add("pass %dms", (2*trust+trust/2).Milliseconds()+400) // beyond the date, and what clocks may be off
		}
		if after != "" {
			add("%s", after)
		}
		add("await epoch %d all", number)
		add("await acts all")
	}
	add("load off")
	return strings.Join(lines, "\n"), stopped, killed
}
