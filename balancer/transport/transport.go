package transport

// Conn is one side of a stream.
type Conn interface {
	Write(b []byte) // what can't be written at once is buffered
	Ignore()        // throws away what comes from now on; an end in a flood of it is still reported
	Finish()        // as Ignore, and tells the other side after what was written that nothing follows
	Close()         // drops what is buffered; the handler hears no more
	// Unwritten is how many bytes are known not to have been handed to the system. It still counts
	// after the connection has closed.
	Unwritten() int
	Peer() string // the address of the other side, for people
}

// Handler hears of one connection. Closed comes once, unless the connection is closed by Conn.Close.
type Handler interface {
	Connected() // of a dialled connection
	Data(b []byte)
	Closed(err error)
}

// Network dials. Closed comes for a dial that failed; Connected comes before anything else otherwise.
type Network interface {
	Dial(addr string, h Handler) Conn
}

// ConnSender is a Conn to another process of this machine, by which connections can be given away.
type ConnSender interface {
	Conn
	// SendConn writes b, and gives a connection away with it: this process hears nothing of that any more. What it returns is
	// that connection too, to be dropped once the other process has it, or to be taken back. Nil: it can't be given, and
	// nothing has changed.
	SendConn(b []byte, c Conn) Given
	// Given is the next connection that came, in the order of what they were written with: by the time that the last byte
	// of that has come it is there. Nil if there is none.
	Given() Given
}

// Given is a connection that goes from one process to another and is nobody's yet. Drop gives up this process's hold on it:
// its other side sees an end only once no process has one.
type Given interface{ Drop() }
