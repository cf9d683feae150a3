// Package protocol defines the public protocol for the stand-ins: headers, the operator's configuration, and the
// entries of the platform's list. It is written from the protocol page alone and shares no code with the system under
// test.
package protocol
