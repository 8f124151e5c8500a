package http1

// Request is one whole request.
type Request struct {
	Head *Head
	Body []byte
	Peer string // address of the sender
}

// Response is one answer: a whole Body, or a Stream whose pieces go out as chunks.
type Response struct {
	Status int
	Header []Field
	Body   []byte
	Stream Stream
}

// Stream is a body that is made while it goes out.
type Stream interface {
	// Pull appends what there is to send, about room bytes at most, and says whether the body ends there. Nothing
	// appended and not done: call again after something happened.
	Pull(b []byte, room int) (out []byte, done bool)
	// Close is called once, when nobody will pull any more.
	Close()
}
