// Package status defines the status document that operators read: the JSON types that describe the control plane and
// the queue, and the functions that build them from the state of a control process.
package status
