package http1

// Event tells which part of a message Decoder.Next has decoded.
type Event uint8

const (
	// NeedMoreInput means that the input ends before the next part of the message. The caller must call
	// Next again with the unconsumed bytes and more.
	NeedMoreInput Event = iota
	// HeadComplete means that Decoder.Head holds the start line and header of the message.
	HeadComplete
	// BodyData means that Decoder.BodyPiece holds the next bytes of the body.
	BodyData
	// MessageComplete means that the message has ended.
	MessageComplete
)

// decoderState tells which part of a message the decoder expects next.
type decoderState uint8

const (
	// stateHead means that the decoder expects the start line and header.
	stateHead decoderState = iota
	// stateBody means that the decoder expects the rest of a body of known length.
	stateBody
	// stateChunkLine means that the decoder expects the line before the data of a chunk.
	stateChunkLine
	// stateChunkData means that the decoder expects the rest of the data of a chunk.
	stateChunkData
	// stateChunkEnd means that the decoder expects the line end after the data of a chunk.
	stateChunkEnd
	// stateTrailer means that the decoder expects the trailer section, which follows the last chunk.
	stateTrailer
	// stateUntilClose means that the decoder expects the rest of a body that ends when the connection
	// is closed.
	stateUntilClose
)

// Decoder splits a stream of bytes into HTTP messages. The zero value with Limits set decodes requests.
type Decoder struct {
	Limits Limits
	// DecodeResponses makes the decoder expect responses instead of requests.
	DecodeResponses bool
	// ResponseHasNoBody tells the decoder that the next response answers a HEAD request. Such a response
	// has no body, even if its header contains a length.
	ResponseHasNoBody bool

	// Head is the start line and header of the message that is being decoded.
	Head Head
	// BodyPiece holds the bytes of the last BodyData event. It is a part of the slice that was passed to
	// Next, and is valid until the caller changes that slice.
	BodyPiece []byte

	state decoderState
	// remainingBytes counts the bytes of the body, or of the current chunk, that have not been decoded yet.
	remainingBytes int64
	// sectionBytes counts the decoded bytes of a body whose length the header does not give or, after the
	// last chunk, the decoded bytes of the trailer section.
	sectionBytes int64
	// searchedBytes counts the bytes of an incomplete head that have been searched for its end.
	searchedBytes int
	err           *Error
}

// Next decodes the next part of a message from the front of in and returns how many bytes it consumed. Any
// error is an *Error. After an error, every further call returns the same error.
func (d *Decoder) Next(in []byte) (consumed int, event Event, err error) {
	if d.err != nil {
		return 0, NeedMoreInput, d.err
	}
	consumed, event, decodeErr := d.decodeNext(in)
	if decodeErr != nil {
		d.err = decodeErr
		return consumed, NeedMoreInput, decodeErr
	}
	return consumed, event, nil
}

// EOF tells the decoder that the stream has ended and how many bytes of it the decoder has not consumed.
// EOF returns an error if the stream ended within a message. The result complete is true if the end of the
// stream completed a message, because the body of that message ends when the connection is closed.
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

// decodeKnownLength decodes the next piece of a body or chunk whose length is known.
func (d *Decoder) decodeKnownLength(in []byte) (int, Event, *Error) {
	if len(in) == 0 {
		return 0, NeedMoreInput, nil
	}
	n := int(min(d.remainingBytes, int64(len(in))))
	d.remainingBytes -= int64(n)
	d.BodyPiece = in[:n]
	return n, BodyData, nil
}

// decodeUntilClose decodes the next piece of a body that ends when the connection is closed.
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

// addBodyBytes adds the given number of bytes to the counted size of a body whose length the header does not
// give, and returns an error if the size then exceeds the limit for bodies.
func (d *Decoder) addBodyBytes(bytes int64) *Error {
	d.sectionBytes += bytes
	if d.Limits.BodyBytes > 0 && d.sectionBytes > int64(d.Limits.BodyBytes) {
		return errBodyTooLarge()
	}
	return nil
}

// endMessage completes a message. n is the number of bytes that the current call of Next has consumed.
func (d *Decoder) endMessage(n int) (int, Event, *Error) {
	d.startMessage()
	return n, MessageComplete, nil
}

// startMessage resets the decoder for the next message.
func (d *Decoder) startMessage() {
	d.state = stateHead
	d.sectionBytes = 0
	d.BodyPiece = nil
}
