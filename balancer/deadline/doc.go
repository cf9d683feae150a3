// Package deadline keeps every deadline of a program in one sorted structure, which its owner sweeps.
package deadline
