package http1

// maxContentLengthDigits limits the decimal digits of a Content-Length: 18 digits always fit into an int64.
const maxContentLengthDigits = 18

// framingFields summarizes the header fields that determine the length of the body. It also counts the Host
// fields, because an HTTP/1.1 request must have exactly one.
type framingFields struct {
	contentLength         string
	contentLengthCount    int
	transferEncodingCount int
	hostCount             int
}

// determineFraming determines the length of the body (RFC 9112, section 6.3). It rejects every message
// whose length is ambiguous, because request smuggling relies on two recipients that determine different
// lengths for one message.
func (d *Decoder) determineFraming() *Error {
	head := &d.Head
	fields, err := head.readFramingFields()
	if err != nil {
		return err
	}
	if err := d.checkFramingFields(&fields); err != nil {
		return err
	}
	head.BodyLength = -1
	if fields.contentLengthCount > 0 {
		if head.BodyLength, err = parseContentLength(fields.contentLength); err != nil {
			return err
		}
	}
	if d.DecodeResponses && (d.ResponseHasNoBody || !StatusHasBody(head.Status)) {
		head.BodyLength = 0
		head.Chunked = false
	}
	if !d.DecodeResponses && !head.Chunked && fields.contentLengthCount == 0 {
		head.BodyLength = 0
	}
	return d.startBody()
}

// checkFramingFields rejects messages with header fields that exclude each other, and requests with a
// missing or repeated Host field.
func (d *Decoder) checkFramingFields(fields *framingFields) *Error {
	head := &d.Head
	// HTTP/1.0 does not define the Host field.
	if !d.DecodeResponses && (fields.hostCount > 1 || fields.hostCount == 0 && head.MinorVersion > 0) {
		return errBadRequest("%d host fields, want one", fields.hostCount)
	}
	if head.Chunked && (fields.contentLengthCount > 0 || head.MinorVersion == 0) {
		return errBadRequest("transfer-encoding beside content-length or before HTTP/1.1")
	}
	return nil
}

// startBody sets the decoder state for the body that the header describes.
func (d *Decoder) startBody() *Error {
	d.sectionBytes = 0
	switch {
	case d.Head.Chunked:
		d.state = stateChunkLine
	case d.Head.BodyLength >= 0:
		if d.Limits.BodyBytes > 0 && d.Head.BodyLength > int64(d.Limits.BodyBytes) {
			return errBodyTooLarge()
		}
		d.state = stateBody
		d.remainingBytes = d.Head.BodyLength
	default:
		d.state = stateUntilClose
		d.Head.CloseConnection = true
	}
	return nil
}

// readFramingFields collects the header fields that determine the length of the body, and sets the fields
// Chunked, CloseConnection and ExpectContinue of the head.
func (h *Head) readFramingFields() (fields framingFields, err *Error) {
	h.CloseConnection = h.MinorVersion == 0
	for i := range h.Header {
		field := &h.Header[i]
		switch {
		case field.HasName("Content-Length"):
			if fields.contentLengthCount++; fields.contentLengthCount > 1 {
				return fields, errBadRequest("content-length given twice")
			}
			fields.contentLength = field.Value
		case field.HasName("Transfer-Encoding"):
			if fields.transferEncodingCount++; fields.transferEncodingCount > 1 {
				return fields, errBadRequest("transfer-encoding given twice")
			}
			if !equalFold(field.Value, "chunked") {
				return fields, &Error{StatusNotImplemented, "transfer-encoding other than chunked"}
			}
			h.Chunked = true
		case field.HasName("Connection"):
			h.applyConnectionOptions(field.Value)
		case field.HasName("Host"):
			fields.hostCount++
		case field.HasName("Expect"):
			if !equalFold(field.Value, "100-continue") {
				return fields, &Error{StatusExpectationFailed, "expectation not known"}
			}
			h.ExpectContinue = h.MinorVersion > 0
		}
	}
	return fields, nil
}

// applyConnectionOptions sets CloseConnection according to the options in the value of a Connection field.
func (h *Head) applyConnectionOptions(options string) {
	for _, option := range splitList(options) {
		if equalFold(option, "close") {
			h.CloseConnection = true
		} else if equalFold(option, "keep-alive") && h.MinorVersion == 0 {
			h.CloseConnection = false
		}
	}
}

func parseContentLength(text string) (int64, *Error) {
	if text == "" || len(text) > maxContentLengthDigits {
		return 0, errBadRequest("malformed content-length")
	}
	length := int64(0)
	for _, c := range []byte(text) {
		if !isDigit(c) {
			return 0, errBadRequest("malformed content-length")
		}
		length = length*10 + int64(c-'0')
	}
	return length, nil
}
