package http1

import "bytes"

const (
	// maxChunkLineBytes limits the length of a chunk line, which is the line before the data of a chunk.
	// The line holds the chunk size and optional chunk extensions.
	maxChunkLineBytes = 256
	// maxChunkSizeDigits limits the hexadecimal digits of a chunk size: 15 digits always fit into an int64.
	maxChunkSizeDigits = 15
)

// decodeChunkLine decodes the line before the data of a chunk and continues with that data or, after the
// last chunk, with the trailer section.
func (d *Decoder) decodeChunkLine(in []byte) (int, Event, *Error) {
	lineEnd := bytes.IndexByte(in, '\n')
	if lineEnd < 0 {
		if len(in) > maxChunkLineBytes {
			return 0, NeedMoreInput, errBadRequest("chunk line over the limit")
		}
		return 0, NeedMoreInput, nil
	}
	if lineEnd == 0 || in[lineEnd-1] != '\r' || lineEnd > maxChunkLineBytes {
		return 0, NeedMoreInput, errBadRequest("malformed chunk line")
	}
	size, err := parseChunkLine(in[:lineEnd-1])
	if err != nil {
		return 0, NeedMoreInput, err
	}
	if err := d.addBodyBytes(size); err != nil {
		return 0, NeedMoreInput, err
	}
	if size == 0 {
		d.state = stateTrailer
		d.sectionBytes = 0
	} else {
		d.state = stateChunkData
		d.remainingBytes = size
	}
	return d.decodeAfterLine(in, lineEnd+1)
}

// decodeAfterLine decodes the part of the message that follows the first n bytes of in, which hold a line
// that has been decoded. The number of consumed bytes that it returns includes the line.
func (d *Decoder) decodeAfterLine(in []byte, n int) (int, Event, *Error) {
	consumed, event, err := d.decodeNext(in[n:])
	return n + consumed, event, err
}

// parseChunkLine returns the chunk size from a chunk line. Chunk extensions are ignored, but they must
// begin with a semicolon and contain no control characters.
func parseChunkLine(line []byte) (int64, *Error) {
	size := int64(0)
	digits := 0
	for ; digits < len(line); digits++ {
		value := hexValues[line[digits]]
		if value < 0 {
			break
		}
		if digits >= maxChunkSizeDigits {
			return 0, errBadRequest("chunk size too large")
		}
		size = size<<4 | int64(value)
	}
	if digits == 0 {
		return 0, errBadRequest("malformed chunk size")
	}
	if digits == len(line) {
		return size, nil
	}
	extensions := line[digits:]
	for len(extensions) > 0 && isWhitespace(extensions[0]) {
		extensions = extensions[1:]
	}
	if len(extensions) == 0 || extensions[0] != ';' {
		return 0, errBadRequest("malformed chunk size")
	}
	if hasControlByte(extensions) {
		return 0, errBadRequest("control character in chunk extension")
	}
	return size, nil
}

// hexValues maps each byte to its value as a hexadecimal digit, or to -1 if it is not such a digit.
var hexValues = func() (table [256]int8) {
	for c := range table {
		table[c] = -1
	}
	for value, c := range []byte("0123456789abcdef") {
		table[c] = int8(value)
	}
	for value, c := range []byte("ABCDEF") {
		table[c] = int8(value + 10)
	}
	return
}()

// decodeChunkEnd decodes the line end after the data of a chunk and continues with the next chunk.
func (d *Decoder) decodeChunkEnd(in []byte) (int, Event, *Error) {
	if len(in) == 0 || len(in) == 1 && in[0] == '\r' {
		return 0, NeedMoreInput, nil
	}
	if len(in) < 2 || in[0] != '\r' || in[1] != '\n' {
		return 0, NeedMoreInput, errBadRequest("chunk does not end with a line end")
	}
	d.state = stateChunkLine
	return d.decodeAfterLine(in, 2)
}

// decodeTrailer decodes the complete lines of the trailer section. Trailer fields are checked and then
// discarded.
func (d *Decoder) decodeTrailer(in []byte) (int, Event, *Error) {
	consumed := 0
	for {
		rest := in[consumed:]
		lineEnd := bytes.IndexByte(rest, '\n')
		if lineEnd < 0 {
			if d.sectionBytes+int64(len(rest)) > int64(d.Limits.TrailerBytes) {
				return consumed, NeedMoreInput, errHeaderTooLarge("trailer over the limit")
			}
			return consumed, NeedMoreInput, nil
		}
		if lineEnd == 0 || rest[lineEnd-1] != '\r' {
			return consumed, NeedMoreInput, errBareLineFeed()
		}
		consumed += lineEnd + 1
		line := rest[:lineEnd-1]
		if len(line) == 0 {
			return d.endMessage(consumed)
		}
		d.sectionBytes += int64(lineEnd + 1)
		if d.sectionBytes > int64(d.Limits.TrailerBytes) {
			return consumed, NeedMoreInput, errHeaderTooLarge("trailer over the limit")
		}
		if bytes.IndexByte(line, '\r') >= 0 {
			return consumed, NeedMoreInput, errBareCarriageReturn()
		}
		if _, err := parseField(string(line)); err != nil {
			return consumed, NeedMoreInput, err
		}
	}
}
