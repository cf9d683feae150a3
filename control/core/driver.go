package core

import (
	"fmt"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/control/view"
)

// The node, without clock, sockets or disk: simulations of the whole system drive many in virtual time, as Core drives
// one.
type (
	// Node is a member of the core, or a process without a disk.
	Node = node
	// NodeConfig holds the parameters of a Node.
	NodeConfig = nodeConfig
	// Output is what a Node wants its driver to do.
	Output = output
	// DiskWrite is a write that a Node requests.
	DiskWrite = diskWrite
	// OutboundMessage is a message that a Node sends.
	OutboundMessage = outboundMessage
	// Completion is the outcome of a command that was submitted to a Node.
	Completion = completion
)

// NewNode returns a node that continues from what is on its disk. A nil snapshot means an empty disk.
func NewNode(now time.Duration, config NodeConfig, snapshot []byte, records [][]byte) (*Node, error) {
	return newNode(now, config, snapshot, records)
}

// Self returns the node's own entry in a view.
func (n *node) Self() view.Member { return n.self }

// Leader returns the rpc address of the holder of the leader lease, or an empty string if the node knows none.
func (n *node) Leader(now time.Duration) string { return n.leaderAddress(now) }

// Attached reports whether the node is attached to the chain.
func (n *node) Attached() bool { return n.chain.Attached() }

// DebugString returns the node's state in one line, for the output of failed tests.
func (n *node) DebugString() string {
	return fmt.Sprintf("id %v epoch %d chain %v voters %d position %d complete %v attached %v sealed %v last %d committed %d missing %v",
		n.self.ID, n.view.Epoch, n.view.Chain, len(n.view.Voters), n.chain.Position(), n.chain.Complete(), n.chain.Attached(),
		n.vote.Sealed(n.view.Epoch), n.chain.Last(), n.chain.Committed(), n.peers.unresponsive)
}

// CopyMessage encodes and decodes an outbound message, as a connection does.
func CopyMessage(message msgp.Marshaler) (any, error) {
	data, err := message.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	method := methodOf(message)
	for _, kind := range messageKinds {
		if kind.method != method {
			continue
		}
		read := kind.newMessage()
		_, err = read.UnmarshalMsg(data)
		return read, err
	}
	return nil, fmt.Errorf("core: %T is not a message of the core", message)
}
