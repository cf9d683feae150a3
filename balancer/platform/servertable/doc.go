// Package servertable keeps the server table, discovery's list of backend servers, by a watch on its changes.
package servertable
