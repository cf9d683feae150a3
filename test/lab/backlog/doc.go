// Package backlog measures what waiting messages cost a store: memory, disk, processor time, and the time of a restart. The store is
// the real one, with its journal on a real disk, alone: a copy on another store costs that one the same.
package backlog
