package core

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
	"ravendale/control/chain"
	"ravendale/control/lease"
	"ravendale/control/view"
)

// messageKind is the type of a notification among members.
type messageKind struct {
	method     wire.Method
	newMessage func() msgp.Unmarshaler
}

var messageKinds = []messageKind{
	{methodHeartbeat, func() msgp.Unmarshaler { return new(heartbeat) }},
	{methodPrepare, func() msgp.Unmarshaler { return new(view.Prepare) }},
	{methodPromise, func() msgp.Unmarshaler { return new(view.Promise) }},
	{methodAccept, func() msgp.Unmarshaler { return new(view.Accept) }},
	{methodAcceptReply, func() msgp.Unmarshaler { return new(view.AcceptReply) }},
	{methodDecided, func() msgp.Unmarshaler { return new(decided) }},
	{methodAttach, func() msgp.Unmarshaler { return new(chain.Attach) }},
	{methodFill, func() msgp.Unmarshaler { return new(chain.Fill) }},
	{methodAppend, func() msgp.Unmarshaler { return new(chain.Append) }},
	{methodAck, func() msgp.Unmarshaler { return new(chain.Ack) }},
	{methodGap, func() msgp.Unmarshaler { return new(chain.Gap) }},
	{methodPropose, func() msgp.Unmarshaler { return new(propose) }},
	{methodLeaseRequest, func() msgp.Unmarshaler { return new(lease.Request) }},
	{methodLeaseReply, func() msgp.Unmarshaler { return new(lease.Reply) }},
	{methodLeaseRelease, func() msgp.Unmarshaler { return new(lease.Release) }},
	{methodLeaving, func() msgp.Unmarshaler { return new(leaving) }},
}

// methodOf returns the method of a message.
func methodOf(message msgp.Marshaler) wire.Method {
	switch message.(type) {
	case *heartbeat:
		return methodHeartbeat
	case *view.Prepare:
		return methodPrepare
	case *view.Promise:
		return methodPromise
	case *view.Accept:
		return methodAccept
	case *view.AcceptReply:
		return methodAcceptReply
	case *decided:
		return methodDecided
	case *chain.Attach:
		return methodAttach
	case *chain.Fill:
		return methodFill
	case *chain.Append:
		return methodAppend
	case *chain.Ack:
		return methodAck
	case *chain.Gap:
		return methodGap
	case *propose:
		return methodPropose
	case *lease.Request:
		return methodLeaseRequest
	case *lease.Reply:
		return methodLeaseReply
	case *lease.Release:
		return methodLeaseRelease
	case *leaving:
		return methodLeaving
	}
	panic(fmt.Sprintf("core: %T has no method", message))
}
