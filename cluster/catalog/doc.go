// Package catalog implements the operator's configuration: the routes that match requests, the services that handle
// them, and limits.
//
// Parse reads and checks a complete configuration, Config.Apply applies a patch that changes single items, and an Index
// finds the route of a request. Errors are returned as Findings, each with its path in the document. The operator's
// text is preserved: unknown fields are kept, and numbers are not reformatted.
package catalog
