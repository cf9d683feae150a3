package platform

// Header fields and paths of the protocol.
const (
	HeaderID        = "X-Txn"
	HeaderClass     = "X-Lane"
	HeaderTenant    = "X-Org"
	HeaderLeft      = "X-Remaining-Ms"
	HeaderRetry     = "X-Resent"
	HeaderHint      = "X-Estimate"
	HeaderLabels    = "X-Labels"
	HeaderNotRun    = "X-Turned-Away"
	HeaderKey       = "Idempotency-Key"
	HeaderRetryWait = "Retry-After"

	PathReady    = "/ready"
	PathCallback = "/callback"
	PathJobs     = "/jobs/"
	PathList     = "/v1/endpoints"

	QueryKey = "user"
)

// Message is the part of a client's request that is forwarded to a backend server.
type Message struct {
	Method, Target string
	Key            string // idempotency key, for requests of a keyed class
	ContentType    string
	Body           []byte
}
