// Package snapshot stores a scheduler's observations in a file for the process that replaces it, which treats the file
// as one more donor whose items have the file's age. An incomplete file is rejected.
package snapshot
