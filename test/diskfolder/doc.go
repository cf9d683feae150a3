// Package diskfolder gives tests of real time a folder for the disks of their processes that does not stall.
package diskfolder
