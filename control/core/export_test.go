package core

import "ravendale/control/slots"

// SetFolder has a process keep its state in a folder of a test's.
func (c *Config) SetFolder(folder slots.Folder) { c.folder = folder }

// Running says whether Run has begun.
func (c *Core) Running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}
