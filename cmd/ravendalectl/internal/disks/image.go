package disks

import (
	"ravendale/control/chain"
	"ravendale/control/lease"
	"ravendale/control/view"
)

//go:generate go run github.com/tinylib/msgp -file image.go -o image_gen.go -tests=false -unexported
//msgp:tuple coreImage coreRecord

// coreImage is the content of a slot, as package core writes it.
type coreImage struct {
	ID       view.ID
	Founders []string
	View     view.View
	Vote     view.Vote
	Chain    chain.State
	Machine  []byte
	Lease    lease.Past
}

// coreRecord is the content of a record of the log. One of its parts is set.
type coreRecord struct {
	View  *view.View
	Vote  *view.Vote
	Write *chain.Write
	Lease *lease.Past
}
