package transport

// Conn is one end of a byte stream.
type Conn interface {
	Write(b []byte) // buffers what can't be written at once
	Ignore()        // discards all data received from now on; the end of the connection is still reported, however much data precedes it
	Finish()        // like Ignore, and closes the write side once all buffered data has been written
	Close()         // drops buffered data; the handler is not called any more
	// Unwritten returns the number of bytes written to the Conn that the operating system has not accepted. It stays valid
	// after the connection has closed.
	Unwritten() int
	Peer() string // the address of the other end, for logs
}

// Handler receives the events of one connection. Closed is called once, unless Conn.Close has closed the connection.
type Handler interface {
	Connected() // a dialled connection is established
	Data(b []byte)
	Closed(err error)
}

// Network dials connections. If a dial fails, the handler's Closed is called; otherwise Connected is called first.
type Network interface {
	Dial(addr string, h Handler) Conn
}

// ConnSender is a Conn to another process on this machine that can pass connections to that process.
type ConnSender interface {
	Conn
	// SendConn writes b and passes the connection c along with it; c's handler is not called any more. The result is this
	// process's own copy of c, to be dropped once the other process has received it, or to be adopted again. If c can't be
	// passed, SendConn returns nil and changes nothing.
	SendConn(b []byte, c Conn) PassedConn
	// ReceivedConn returns the next connection received, or nil. Connections arrive in the order of the data they were
	// sent with, at the latest with the last byte of that data.
	ReceivedConn() PassedConn
}

// PassedConn is a connection passed between processes that no engine serves yet. Drop closes this process's copy of it;
// the other end sees the connection closed only once every process has closed its copy.
type PassedConn interface{ Drop() }
