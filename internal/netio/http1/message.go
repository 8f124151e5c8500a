package http1

// Request is one complete request.
type Request struct {
	Head *Head
	Body []byte
	Peer string // address of the sender
}

// Response is one response: a complete Body, or a Stream whose pieces are sent as they come.
type Response struct {
	Status int
	Header []Field
	Body   []byte
	Stream Stream
}

// Stream is a body that is produced while it is sent.
type Stream interface {
	// Pull appends what there is to send, about room bytes at most, and reports whether the body ends there. If it appends
	// nothing and is not done, it is pulled again after something has happened.
	Pull(b []byte, room int) (out []byte, done bool)
	// Close is called once, when the stream will not be pulled again.
	Close()
}
