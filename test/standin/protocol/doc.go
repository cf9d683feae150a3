// Package protocol holds the public protocol's words as the stand-ins speak them: headers, the operator's configuration, and the
// entries of the platform's list. It is written from the protocol page alone and shares nothing with the system under test.
package protocol
