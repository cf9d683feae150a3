package wire

// Method names what a request or a notification asks for. Each plane has a range of its own.
type Method uint16

// Methods of the membership and distribution planes.
const (
	MethodRenew       Method = 1 + iota // Renew, RenewReply: any scheduler or store to the control plane
	MethodSubscribe                     // Subscribe, SubscribeReply: a child to its parent in the relay tree
	MethodUpdate                        // Update, notification: a parent to its children
	MethodHeartbeat                     // Heartbeat, notification: a parent to its children
	MethodFetch                         // Fetch, Update: a topic requested outside of the tree
	MethodRetire                        // an order of the operator: a control process to the one that leads
	MethodRetireState                   // the operator's question how far that is, to the process that leads
	MethodStatus                        // the operator's question how the system is, to the process that leads
	MethodHostCore                      // HostCore, notification: a control process to a store
)

// Methods of the queue: an edge is the caller unless said otherwise.
const (
	MethodAttach Method = 32 + iota // Attach, AttachReply: first on each connection of an edge
	MethodPut                       // Put, PutReply
	MethodReport                    // Report, ReportReply
	MethodClaim                     // Claim, ClaimReply
	MethodFind                      // Find, FindReply
	MethodGrant                     // Grant, notification: a store to an edge
)

// Methods from here on are private to a plane: stores among themselves, and the core among itself.
const (
	MethodStorePrivate Method = 64
	MethodCorePrivate  Method = 128
)
