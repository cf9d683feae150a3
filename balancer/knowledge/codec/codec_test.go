package codec

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ravendale/balancer/knowledge"
)

var items = []knowledge.Item{{Subject: knowledge.Subject{Kind: knowledge.Run, Name: "saldo"}, Value: 0.2, Count: 12, Age: time.Second},
	{Subject: knowledge.Subject{Kind: knowledge.Unhealthy, Name: "s-1", Born: time.Hour}, Value: 1, Count: 1}}

func TestItemsRoundTrip(t *testing.T) {
	got, err := Read(Append(nil, items))
	if diff := cmp.Diff(items, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// Arbitrary bytes result in an error, or in items whose encoding decodes to the same items. They never cause an
// allocation out of proportion to their length.
func FuzzItems(f *testing.F) {
	f.Add(Append(nil, items))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{1, 0, 0x80})
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := Read(b)
		if err != nil {
			if !errors.Is(err, ErrContent) || got != nil {
				t.Errorf("%v, %v", got, err)
			}
			return
		}
		again, err := Read(Append(nil, got))
		if err != nil || len(again) != len(got) || !bytes.Equal(Append(nil, again), Append(nil, got)) {
			t.Errorf("%v was decoded as %v, %v", got, again, err)
		}
	})
}
