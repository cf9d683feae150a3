package journal

// chunk is the data that one write appends to one segment.
type chunk struct {
	segment uint32
	offset  uint32
	data    []byte
	remove  []uint32 // segments to remove once this chunk and all before it are on disk
}

// contains reports whether the location is in the chunk.
func (c *chunk) contains(at Location) bool {
	return c.segment == at.Segment && at.Offset >= c.offset && at.Offset < c.offset+uint32(len(c.data))
}
