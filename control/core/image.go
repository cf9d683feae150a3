package core

import (
	"fmt"

	"ravendale/control/chain"
	"ravendale/control/lease"
	"ravendale/control/view"
)

//go:generate go run github.com/tinylib/msgp -file image.go -o image_gen.go -tests=false -unexported
//msgp:tuple Image record

// Image is the complete state of a member on disk: the content of a slot, after the records of the log were applied to
// it.
type Image struct {
	ID               view.ID  // identity of the disk
	BootstrapMembers []string // rpc addresses of the seeds, if this disk may bootstrap the core
	View             view.View
	Vote             view.Vote
	Chain            chain.State
	Machine          []byte
	Lease            lease.PreviousGrant
}

// record is one change of the image on disk. Exactly one field is set.
type record struct {
	View  *view.View
	Vote  *view.Vote
	Write *chain.Write
	Lease *lease.PreviousGrant
}

// ReadImage decodes the content of a member's slots.Store: a snapshot and the records after it.
func ReadImage(snapshot []byte, records [][]byte) (*Image, error) {
	image := &Image{}
	if _, err := image.UnmarshalMsg(snapshot); err != nil {
		return nil, fmt.Errorf("core: snapshot on disk: %w", err)
	}
	for i, data := range records {
		var change record
		if _, err := change.UnmarshalMsg(data); err != nil {
			return nil, fmt.Errorf("core: record %d on disk: %w", i, err)
		}
		image.replay(&change)
	}
	return image, nil
}

// replay applies a record to the image.
func (i *Image) replay(change *record) {
	switch {
	case change.View != nil:
		i.Lease = i.Lease.Adopt(&i.View, change.View)
		i.View = *change.View
		i.Chain.Follow(i.ID, &i.View)
	case change.Vote != nil:
		i.Vote = *change.Vote
	case change.Write != nil:
		i.Chain.Replay(change.Write)
	case change.Lease != nil:
		i.Lease = *change.Lease
	}
}
