package fleettest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// RandomScript returns a script of faults generated from a seed. Each of its rounds starts a fault that leaves a majority
// healthy, rolls out an epoch while the fault lasts, and ends the fault (a clock offset stays). The result stopped lists, by
// epoch number, the members that are stopped while the epoch's floor takes effect. Only these may be below the floor at that
// time, because partitioned members are shut out earlier. The result killed lists the members that are killed.
func RandomScript(seed uint64, members int, trust time.Duration) (script string, stopped map[uint64][]string, killed []string) {
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
		faultyCount := 1 + r.IntN((members-1)/2)
		faulty, healthy := slices.Clone(names[:faultyCount]), slices.Clone(names[faultyCount:])
		faultyList, healthyList := strings.Join(faulty, ","), strings.Join(healthy, ",")
		recovery := ""
		fault := r.IntN(7)
		switch fault {
		case 0:
			add("cut %s|%s", faultyList, healthyList)
			recovery = "heal"
		case 1:
			add("cut %s>%s", faultyList, healthyList)
			recovery = "heal"
		case 2:
			add("cut %s>%s", healthyList, faultyList)
			recovery = "heal"
		case 3:
			add("stop %s", faultyList)
			stopped[number] = faulty
			recovery = "cont " + faultyList
		case 4:
			add("kill %s", faultyList)
			killed = append(killed, faulty...)
			recovery = "start " + faultyList
		case 5:
			add("delay %s|%s %dms", faultyList, healthyList, 5+r.IntN(30))
			recovery = "heal"
		case 6:
			add("clock %s %d", faulty[0], r.IntN(20000)-10000)
		}
		add("roll-out %d floor=%d via %s", number, number-uint64(r.IntN(2)), healthy[r.IntN(len(healthy))])
		add("await epoch %d %s", number, healthyList)
		if fault <= 3 {
			add("pass %dms", (2*trust+trust/2).Milliseconds()+400) // past the time at which the floor takes effect, with allowance for clock error
		}
		if recovery != "" {
			add("%s", recovery)
		}
		add("await epoch %d all", number)
		add("await acts all")
	}
	add("load off")
	return strings.Join(lines, "\n"), stopped, killed
}
