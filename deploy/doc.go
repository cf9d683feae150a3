// Package deploy has no code; its test looks at what the deploy file's recipe builds.
package deploy
