// Package backlog measures what pending messages cost a store: memory, disk, processor time and restart time. It runs a single
// real store with its journal on a real disk. A replica on another store costs that store the same.
package backlog
