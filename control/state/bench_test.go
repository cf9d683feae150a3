package state

import (
	"fmt"
	"testing"
)

// BenchmarkPatch repeatedly patches one route of a configuration with 10 and with 1000 routes.
func BenchmarkPatch(b *testing.B) {
	for _, routes := range []int{10, 1000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			m := NewMachine()
			var all []string
			for i := range routes {
				all = append(all, route(fmt.Sprint("r-", i)))
			}
			encoded, _ := Encode(&Set{Body: []byte(document(1, all...))})
			m.Apply(encoded)
			b.ReportAllocs()
			for version := uint64(1); b.Loop(); version++ {
				body := fmt.Sprintf(`{"version":%d,"upsert":{"routes":[%s]}}`, version+1, route("r-1"))
				encoded, _ := Encode(&Patch{Base: version, Body: []byte(body)})
				if result, err := DecodeResult(m.Apply(encoded)); err != nil || result.Outcome != OutcomeApplied {
					b.Fatal(result, err)
				}
			}
		})
	}
}
