// Package catalog is the operator's configuration: the routes that requests come by, the services that they go to, and limits.
//
// Parse reads and checks a complete configuration, Config.Apply a change of single items, and an Index finds the route of a request. What is
// wrong is returned as Findings, each with its path in the document. What the operator sent is kept as sent: fields that are not known here
// stay, and numbers are not written anew.
package catalog
