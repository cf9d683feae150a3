package core

import (
	"fmt"
	"time"

	"github.com/tinylib/msgp/msgp"

	"ravendale/control/view"
)

// The logic of a member, without clock, sockets or disk: a simulation of the system drives many in virtual time, as Core drives one.
type (
	// Node is a member of the core.
	Node = node
	// NodeConfig is what it must know from the start.
	NodeConfig = nodeConfig
	// Output is what it wants done.
	Output = output
	// DiskWrite is a change on disk that it wants.
	DiskWrite = diskWrite
	// OutboundMessage is a message that it sends.
	OutboundMessage = outboundMessage
	// Completion is the outcome of a command that was submitted to it.
	Completion = completion
)

// NewNode makes a node from what is on its disk, nil if nothing is.
func NewNode(now time.Duration, config NodeConfig, snapshot []byte, records [][]byte) (*Node, error) {
	return newNode(now, config, snapshot, records)
}

// Self is how other members know the node.
func (n *node) Self() view.Member { return n.self }

// Leader is the rpc address of the holder of the leader lease, empty if the node knows none.
func (n *node) Leader(now time.Duration) string { return n.leaderAddress(now) }

// Attached says whether the node follows the chain.
func (n *node) Attached() bool { return n.chain.Attached() }

// Describe is the node's state in one line, for a test that failed.
func (n *node) Describe() string {
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
	for _, kind := range kinds {
		if kind.method != method {
			continue
		}
		read := kind.empty()
		_, err = read.UnmarshalMsg(data)
		return read, err
	}
	return nil, fmt.Errorf("core: %T has no method", message)
}
