//go:build mutant

package fleet

const keepsFloor = false
