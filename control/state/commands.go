package state

import (
	"errors"
	"fmt"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
)

//go:generate go run github.com/tinylib/msgp -file commands.go -o commands_gen.go -tests=false

//msgp:tuple Set Patch Show TakeTerm PutPlacement Barrier PutMembers
//msgp:ignore Command

// Kind is the first byte of an encoded command.
type Kind uint8

// The kinds of commands. The numbers must not change, because logs on disk contain them.
const (
	KindSet Kind = 1 + iota
	KindPatch
	KindShow
	KindTakeTerm
	KindPutPlacement
	KindBarrier
	KindPutMembers
)

// Command is an input of the state machine.
type Command interface {
	msgp.Marshaler
	kind() Kind
}

// Set replaces the configuration of version Base.
type Set struct {
	Base uint64
	Body []byte `msg:"Body,zerocopy"` // as sent by the operator
}

// Patch changes items of the configuration of version Base.
type Patch struct {
	Base uint64
	Body []byte `msg:"Body,zerocopy"` // as sent by the operator
}

// Show reads the configuration.
type Show struct{}

// TakeTerm starts the next term, with the candidate as its leader.
type TakeTerm struct {
	Candidate string
}

// PutPlacement replaces the placement of the queue by that of the next epoch. Term is the term of the leader that
// submits it.
type PutPlacement struct {
	Term uint64
	View wire.StoreView
}

// Barrier changes nothing: once it is applied, so are all commands ordered before it.
type Barrier struct{}

// PutMembers saves the list of schedulers for the next leader. Term is the term of the leader that submits it. Whether
// a scheduler is ready is not saved, and their order has no meaning.
type PutMembers struct {
	Term  uint64
	Edges []wire.Edge
}

func (*Set) kind() Kind          { return KindSet }
func (*Patch) kind() Kind        { return KindPatch }
func (*Show) kind() Kind         { return KindShow }
func (*TakeTerm) kind() Kind     { return KindTakeTerm }
func (*PutPlacement) kind() Kind { return KindPutPlacement }
func (*Barrier) kind() Kind      { return KindBarrier }
func (*PutMembers) kind() Kind   { return KindPutMembers }

// Errors of Decode and DecodeResult.
var (
	ErrUnknownCommand = errors.New("state: unknown command")
	ErrTrailing       = errors.New("state: extra bytes after the encoded command or result")
)

// Encode returns a command as bytes: its Kind, then its msgpack encoding. The bytes share no memory with the command.
func Encode(command Command) ([]byte, error) {
	buffer := make([]byte, 1, 1+sizeOf(command))
	buffer[0] = byte(command.kind())
	return command.MarshalMsg(buffer)
}

func sizeOf(command Command) int {
	if sizer, ok := command.(msgp.Sizer); ok {
		return sizer.Msgsize()
	}
	return 0
}

// Decode decodes a command that Encode encoded. The Body fields of the command alias encoded. Errors:
// ErrUnknownCommand, ErrTrailing, and those of msgp.
func Decode(encoded []byte) (Command, error) {
	if len(encoded) == 0 {
		return nil, fmt.Errorf("%w: empty", ErrUnknownCommand)
	}
	var command interface {
		Command
		msgp.Unmarshaler
	}
	switch Kind(encoded[0]) {
	case KindSet:
		command = &Set{}
	case KindPatch:
		command = &Patch{}
	case KindShow:
		command = &Show{}
	case KindTakeTerm:
		command = &TakeTerm{}
	case KindPutPlacement:
		command = &PutPlacement{}
	case KindBarrier:
		command = &Barrier{}
	case KindPutMembers:
		command = &PutMembers{}
	default:
		return nil, fmt.Errorf("%w: kind %d", ErrUnknownCommand, encoded[0])
	}
	rest, err := command.UnmarshalMsg(encoded[1:])
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, ErrTrailing
	}
	return command, nil
}
