// Package status is what the operator is told of the control plane and of the queue: the types of the answer, and how they are made
// of what a control process knows.
package status
