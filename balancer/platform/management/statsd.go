package management

import (
	"maps"
	"slices"
	"strconv"

	"ravendale/balancer/scheduler"
)

// Statsd renders figures in the statsd line format, each name preceded by prefix and a dot.
func Statsd(prefix string, f scheduler.Figures) (b []byte) {
	line := func(kind string, value int, names ...string) {
		b = append(b, prefix...)
		for _, name := range names {
			b = append(append(b, '.'), name...)
		}
		b = append(strconv.AppendInt(append(b, ':'), int64(value), 10), '|')
		b = append(append(b, kind...), '\n')
	}
	for _, class := range slices.Sorted(maps.Keys(f.Classes)) {
		c := f.Classes[class]
		line("c", c.Answered, "answered", class)
		line("c", c.Deferred, "deferred", class)
		line("c", c.Errored, "errored", class)
	}
	line("c", f.Sends, "sends")
	line("g", f.Current, "current")
	line("g", f.Listed, "cluster_size")
	line("g", f.Avoided, "cluster_unhealthy")
	line("c", f.ConfLoaded, "conf_loaded")
	line("c", f.ConfInvalid, "conf_invalid")
	for why, n := range f.Unsent {
		line("c", n, "unsent", scheduler.Unsent(why).String())
	}
	return b
}
