package journal

// chunk is what one write puts into one segment.
type chunk struct {
	segment uint32
	offset  uint32
	data    []byte
	remove  []uint32 // segments to remove once all before is on disk
}

// contains says whether a location lies in the chunk.
func (c *chunk) contains(at Location) bool {
	return c.segment == at.Segment && at.Offset >= c.offset && at.Offset < c.offset+uint32(len(c.data))
}
