package http1

// maxLengthDigits is how many digits a Content-Length may have, so that it fits into 64 bits.
const maxLengthDigits = 18

// framingFields are the header fields that decide the length of a body, and Host, of which a request has one.
type framingFields struct {
	contentLength string
	lengths       int // Content-Length fields
	codings       int // Transfer-Encoding fields
	hosts         int // Host fields
}

// setFraming decides how long the body is (RFC 9112, 6.3). Anything ambiguous is rejected: readers that disagree on a
// length are how requests are smuggled.
func (d *Decoder) setFraming() *Error {
	head := &d.Head
	fields, err := head.readFramingFields()
	if err != nil {
		return err
	}
	if err := d.checkFramingFields(&fields); err != nil {
		return err
	}
	head.BodyLength = -1
	if fields.lengths > 0 {
		if head.BodyLength, err = parseContentLength(fields.contentLength); err != nil {
			return err
		}
	}
	if d.DecodeResponses && (d.ResponseHasNoBody || !StatusHasBody(head.Status)) {
		head.BodyLength = 0
		head.Chunked = false
	}
	if !d.DecodeResponses && !head.Chunked && fields.lengths == 0 {
		head.BodyLength = 0
	}
	return d.startBody()
}

// checkFramingFields rejects fields that exclude each other or are missing.
func (d *Decoder) checkFramingFields(fields *framingFields) *Error {
	head := &d.Head
	// HTTP/1.0 knows no Host field.
	if !d.DecodeResponses && (fields.hosts > 1 || fields.hosts == 0 && head.MinorVersion > 0) {
		return badRequest("%d host fields, want one", fields.hosts)
	}
	if head.Chunked && (fields.lengths > 0 || head.MinorVersion == 0) {
		return badRequest("transfer-encoding beside content-length or before HTTP/1.1")
	}
	return nil
}

// startBody moves on to the body, by the framing in Head.
func (d *Decoder) startBody() *Error {
	d.sectionSize = 0
	switch {
	case d.Head.Chunked:
		d.state = stateChunkSize
	case d.Head.BodyLength >= 0:
		if d.Limits.BodyBytes > 0 && d.Head.BodyLength > int64(d.Limits.BodyBytes) {
			return errBodyTooLarge()
		}
		d.state = stateBody
		d.remaining = d.Head.BodyLength
	default:
		d.state = stateUntilClose
		d.Head.CloseConnection = true
	}
	return nil
}

// readFramingFields collects the fields that framing needs, and sets what else the header says of the connection and of the
// body: Chunked, Close and Expect.
func (h *Head) readFramingFields() (fields framingFields, err *Error) {
	h.CloseConnection = h.MinorVersion == 0
	for i := range h.Header {
		field := &h.Header[i]
		switch {
		case field.HasName("Content-Length"):
			if fields.lengths++; fields.lengths > 1 {
				return fields, badRequest("content-length given twice")
			}
			fields.contentLength = field.Value
		case field.HasName("Transfer-Encoding"):
			if fields.codings++; fields.codings > 1 {
				return fields, badRequest("transfer-encoding given twice")
			}
			if !equalFold(field.Value, "chunked") {
				return fields, &Error{StatusNotImplemented, "transfer-encoding other than chunked"}
			}
			h.Chunked = true
		case field.HasName("Connection"):
			h.applyConnection(field.Value)
		case field.HasName("Host"):
			fields.hosts++
		case field.HasName("Expect"):
			if !equalFold(field.Value, "100-continue") {
				return fields, &Error{StatusExpectationFailed, "expectation not known"}
			}
			h.ExpectContinue = h.MinorVersion > 0
		}
	}
	return fields, nil
}

// applyConnection sets Close by the options of a Connection field.
func (h *Head) applyConnection(options string) {
	for _, option := range splitList(options) {
		if equalFold(option, "close") {
			h.CloseConnection = true
		} else if equalFold(option, "keep-alive") && h.MinorVersion == 0 {
			h.CloseConnection = false
		}
	}
}

func parseContentLength(text string) (int64, *Error) {
	if text == "" || len(text) > maxLengthDigits {
		return 0, badRequest("malformed content-length")
	}
	length := int64(0)
	for _, c := range []byte(text) {
		if !isDigit(c) {
			return 0, badRequest("malformed content-length")
		}
		length = length*10 + int64(c-'0')
	}
	return length, nil
}
