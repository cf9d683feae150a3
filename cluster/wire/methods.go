package wire

// Method identifies the type of a request or a notification. Each plane has its own range of numbers.
type Method uint16

// Methods of the membership and distribution planes.
const (
	MethodRenew       Method = 1 + iota // Renew, RenewReply: any scheduler or store to the control plane
	MethodSubscribe                     // Subscribe, SubscribeReply: a child to its parent in the relay tree
	MethodUpdate                        // Update, notification: a parent to its children
	MethodHeartbeat                     // Heartbeat, notification: a parent to its children
	MethodFetch                         // Fetch, Update: a topic requested outside of the tree
	MethodRetire                        // an operator's request to retire a machine: a control process to the leader
	MethodRetireState                   // an operator's query of the progress of a retirement: a control process to the leader
	MethodStatus                        // an operator's query of the system's status: a control process to the leader
	MethodHostCore                      // HostCore, notification: a control process to a store
)

// Methods of the queue: an edge is the caller unless said otherwise.
const (
	MethodAttach     Method = 32 + iota // Attach, AttachReply: first on each connection of an edge
	MethodPut                           // Put, PutReply
	MethodReport                        // Report, ReportReply
	MethodClaim                         // Claim, ClaimReply
	MethodFind                          // Find, FindReply
	MethodGrant                         // Grant, notification: a store to an edge
	MethodEdgeConfig                    // EdgeConfig, notification
)

// First methods of the ranges that are private to a plane: between stores, and within the core.
const (
	MethodStorePrivate Method = 64
	MethodCorePrivate  Method = 128
)
