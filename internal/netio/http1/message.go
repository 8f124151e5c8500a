package http1

// Request is one complete request.
type Request struct {
	Head *Head
	Body []byte
	// Peer is the address of the client.
	Peer string
}

// Response is one response. Its body is either Body or, if Stream is set, what the stream produces while it
// is sent.
type Response struct {
	Status int
	Header []Field
	Body   []byte
	Stream Stream
}

// Stream is a response body that is produced while it is sent.
type Stream interface {
	// Pull appends the data that is ready to be sent to b, at most about maxBytes, and reports whether the
	// body is complete. If it appends nothing and the body is not complete, it is called again when new
	// data may be ready.
	Pull(b []byte, maxBytes int) (out []byte, done bool)
	// Close is called once. Pull is not called after it.
	Close()
}
