// Package status has the operator's view of the control plane and of the queue: the types of the JSON answer, and how they are made of
// what a control process knows.
package status
