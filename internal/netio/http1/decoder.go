package http1

// Event is what Decoder.Next found.
type Event uint8

const (
	// NeedMoreInput says that nothing is complete yet: call again with more bytes.
	NeedMoreInput Event = iota
	// HeadComplete says that Decoder.Head is set.
	HeadComplete
	// BodyData says that Decoder.BodyPiece holds a piece of the body.
	BodyData
	// MessageComplete says that the message ends here.
	MessageComplete
)

// state is what part of a message comes next.
type decoderState uint8

const (
	stateHead       decoderState = iota
	stateBody                    // of known length
	stateChunkLine               // the line before a chunk
	stateChunkData               // of a chunk
	stateChunkEnd                // the line end after a chunk
	stateTrailer                 // after the last chunk
	stateUntilClose              // a body that ends with the connection
)

// Decoder splits a stream into messages. The zero value with Limits set decodes requests.
type Decoder struct {
	Limits Limits
	// DecodeResponses makes it decode responses.
	DecodeResponses bool
	// ResponseHasNoBody says that the next response has no body whatever its header says: it answers HEAD.
	ResponseHasNoBody bool

	Head      Head
	BodyPiece []byte // the piece of the last BodyData; valid until the input changes

	state          decoderState
	remainingBytes int64 // bytes of the body, or of the chunk, still to come
	sectionBytes   int64 // bytes of the body, or of the trailer section, so far
	searchedBytes  int   // bytes of an incomplete head that hold no end
	err            *Error
}

// Next decodes from the front of in and returns how many bytes it consumed. The error is an *Error; once there is one,
// every call returns it.
func (d *Decoder) Next(in []byte) (consumed int, kind Event, err error) {
	if d.err != nil {
		return 0, NeedMoreInput, d.err
	}
	consumed, kind, decodeErr := d.decodeNext(in)
	if decodeErr != nil {
		d.err = decodeErr
		return consumed, NeedMoreInput, decodeErr
	}
	return consumed, kind, nil
}

// EOF is called when the stream has ended with so many bytes not consumed. It returns an error if that is inside a
// message. complete says that the end has completed a message, whose body ends with the connection.
func (d *Decoder) EOF(unconsumed int) (complete bool, err error) {
	switch {
	case d.err != nil:
		return false, d.err
	case d.state == stateUntilClose:
		d.startMessage()
		return true, nil
	case d.state == stateHead && unconsumed == 0:
		return false, nil
	}
	return false, errBadRequest("the stream ends inside a message")
}

func (d *Decoder) decodeNext(in []byte) (int, Event, *Error) {
	switch d.state {
	case stateHead:
		return d.decodeHead(in)
	case stateBody:
		if d.remainingBytes == 0 {
			return d.endMessage(0)
		}
		return d.decodeKnownLength(in)
	case stateChunkLine:
		return d.decodeChunkLine(in)
	case stateChunkData:
		if d.remainingBytes == 0 {
			d.state = stateChunkEnd
			return d.decodeChunkEnd(in)
		}
		return d.decodeKnownLength(in)
	case stateChunkEnd:
		return d.decodeChunkEnd(in)
	case stateTrailer:
		return d.decodeTrailer(in)
	default:
		return d.decodeUntilClose(in)
	}
}

// decodeRemaining takes a piece of a body or chunk of known length.
func (d *Decoder) decodeKnownLength(in []byte) (int, Event, *Error) {
	if len(in) == 0 {
		return 0, NeedMoreInput, nil
	}
	n := int(min(d.remainingBytes, int64(len(in))))
	d.remainingBytes -= int64(n)
	d.BodyPiece = in[:n]
	return n, BodyData, nil
}

// decodeUntilClose takes a piece of a body that ends with the connection.
func (d *Decoder) decodeUntilClose(in []byte) (int, Event, *Error) {
	if len(in) == 0 {
		return 0, NeedMoreInput, nil
	}
	if err := d.addBodyBytes(int64(len(in))); err != nil {
		return 0, NeedMoreInput, err
	}
	d.BodyPiece = in
	return len(in), BodyData, nil
}

// countBody adds to the size of a body whose length was not given before it.
func (d *Decoder) addBodyBytes(bytes int64) *Error {
	d.sectionBytes += bytes
	if d.Limits.BodyBytes > 0 && d.sectionBytes > int64(d.Limits.BodyBytes) {
		return errBodyTooLarge()
	}
	return nil
}

// endMessage completes a message whose last n bytes have been consumed.
func (d *Decoder) endMessage(n int) (int, Event, *Error) {
	d.startMessage()
	return n, MessageComplete, nil
}

// startMessage makes the decoder ready for the next message.
func (d *Decoder) startMessage() {
	d.state = stateHead
	d.sectionBytes = 0
	d.BodyPiece = nil
}
