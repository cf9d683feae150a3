// Package servertable maintains the server table, a copy of discovery's list of backend servers, by watching discovery for changes.
package servertable
