// Package diskfolder provides tests that run in real time with a data folder whose file system doesn't stall.
package diskfolder
