package http1

import "bytes"

const (
	maxChunkLineBytes  = 256 // bytes of a chunk's size and extensions
	maxChunkSizeDigits = 15  // hexadecimal, so that a size fits into 64 bits
)

// decodeChunkSize takes the line before a chunk and goes on with what follows it.
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

// decodeAfter decodes what follows the first n bytes and counts these as consumed too.
func (d *Decoder) decodeAfterLine(in []byte, n int) (int, Event, *Error) {
	consumed, kind, err := d.decodeNext(in[n:])
	return n + consumed, kind, err
}

// parseChunkLine returns the size in the line before a chunk. Extensions are ignored but must be well formed.
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

// hexValues holds the value of each hexadecimal digit, and -1 for every other byte.
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

// decodeChunkEnd takes the line end after a chunk's data and goes on with the next chunk.
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

// decodeTrailer takes whole lines of the trailer section, checks them and drops them.
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
