package http1

// Request is one complete request.
type Request struct {
	Head *Head
	Body []byte
	// Peer is the address of the client.
	Peer string
}

// Response is one response. Its body is either Body or, if Stream is set, the data that the stream produces
// while the response is sent.
type Response struct {
	Status int
	Header []Field
	Body   []byte
	Stream Stream
}

// Stream is a response body that is produced while it is sent. The server calls Pull to get the next data
// of the body, and sends that data to the client.
type Stream interface {
	// Pull appends to b the data of the body that is ready, at most about maxBytes, and reports whether the
	// body is complete. If Pull appends nothing although the body is not complete, the server calls it
	// again when new data may be ready.
	Pull(b []byte, maxBytes int) (out []byte, done bool)
	// Close is called once, when the server needs no more data from the stream. Pull is not called after
	// Close.
	Close()
}
