package core

import "ravendale/control/slots"

// SetFolder makes a process store its state in the given folder.
func (c *Config) SetFolder(folder slots.Folder) { c.folder = folder }

// Running reports whether Run was called and has not ended.
func (c *Core) Running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}
