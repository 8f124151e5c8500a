package http1

import (
	"bytes"
	"strings"
)

const (
	headTerminator = "\r\n\r\n"

	// initialFieldCapacity is the number of header fields for which memory is allocated before their actual
	// number is known.
	initialFieldCapacity = 12

	versionBytes = len("HTTP/1.1")
	// minStatusLineBytes is the length of a status line without the reason phrase, which is optional.
	minStatusLineBytes = len("HTTP/1.1 200")
)

// decodeHead decodes the start line and the header together, once both have been received completely.
func (d *Decoder) decodeHead(in []byte) (int, Event, *Error) {
	skipped := 0
	if !d.DecodeResponses && len(in) >= 2 && in[0] == '\r' && in[1] == '\n' {
		// One empty line before the request line is ignored (RFC 9112, section 2.2).
		in = in[2:]
		skipped = 2
		d.searchedBytes = max(0, d.searchedBytes-2)
	}
	// headTerminator may begin within the last bytes that an earlier call has searched.
	searchStart := max(0, d.searchedBytes-len(headTerminator)+1)
	terminator := bytes.Index(in[searchStart:], []byte(headTerminator))
	if terminator < 0 {
		d.searchedBytes = len(in) + skipped
		return 0, NeedMoreInput, d.checkIncompleteHead(in)
	}
	size := searchStart + terminator + len(headTerminator)
	d.searchedBytes = 0
	if size > d.Limits.HeadBytes {
		return 0, NeedMoreInput, errHeaderTooLarge("header over the limit")
	}
	// The head is copied once; the names and values of all fields are substrings of this copy.
	text := string(in[:size-2])
	d.Head = Head{textBytes: len(text)}
	if err := d.parseHead(text); err != nil {
		return 0, NeedMoreInput, err
	}
	return skipped + size, HeadComplete, nil
}

// checkIncompleteHead rejects an incomplete head that further bytes cannot make valid.
func (d *Decoder) checkIncompleteHead(in []byte) *Error {
	lineEnd := bytes.IndexByte(in, '\n')
	if lineEnd < 0 && len(in) > d.Limits.StartLineBytes || lineEnd > d.Limits.StartLineBytes {
		return errLineTooLong()
	}
	if len(in) > d.Limits.HeadBytes {
		return errHeaderTooLarge("header over the limit")
	}
	if lineEnd == 0 || lineEnd > 0 && in[lineEnd-1] != '\r' {
		return errBareLineFeed()
	}
	return nil
}

// parseHead parses the start line and the header fields. text does not include the empty line that ends the
// header.
func (d *Decoder) parseHead(text string) *Error {
	line, text, err := cutLine(text)
	if err != nil {
		return err
	}
	if len(line) > d.Limits.StartLineBytes {
		return errLineTooLong()
	}
	if d.DecodeResponses {
		err = d.parseStatusLine(line)
	} else {
		err = d.parseRequestLine(line)
	}
	if err != nil {
		return err
	}
	header := make(Header, 0, initialFieldCapacity)
	for text != "" {
		if line, text, err = cutLine(text); err != nil {
			return err
		}
		field, err := parseField(line)
		if err != nil {
			return err
		}
		if len(header) >= d.Limits.HeaderFields {
			return errHeaderTooLarge("too many header fields")
		}
		header = append(header, field)
	}
	d.Head.Header = header
	return d.determineFraming()
}

// cutLine returns the first line of s, without its line end, and the rest of s. It rejects a carriage
// return without a line feed, and a line feed without a carriage return.
func cutLine(s string) (line, rest string, err *Error) {
	end := strings.IndexByte(s, '\r')
	if end < 0 {
		if strings.IndexByte(s, '\n') >= 0 {
			return "", "", errBareLineFeed()
		}
		return "", "", errBadRequest("line without end")
	}
	if strings.IndexByte(s[:end], '\n') >= 0 {
		return "", "", errBareLineFeed()
	}
	if end+1 >= len(s) || s[end+1] != '\n' {
		return "", "", errBareCarriageReturn()
	}
	return s[:end], s[end+2:], nil
}

func (d *Decoder) parseRequestLine(line string) *Error {
	methodEnd := tokenLength(line)
	if methodEnd == 0 || methodEnd >= len(line) || line[methodEnd] != ' ' {
		return errBadRequest("no method in the request line")
	}
	rest := line[methodEnd+1:]
	targetEnd := 0
	for targetEnd < len(rest) && rest[targetEnd] > ' ' && rest[targetEnd] < 0x7f {
		targetEnd++
	}
	if targetEnd == 0 || targetEnd >= len(rest) || rest[targetEnd] != ' ' {
		return errBadRequest("no target in the request line")
	}
	d.Head.Method = line[:methodEnd]
	d.Head.Target = rest[:targetEnd]
	if !isRequestTarget(d.Head.Method, d.Head.Target) {
		return errBadRequest("target is neither a path nor a URL")
	}
	return d.parseVersion(rest[targetEnd+1:])
}

// isRequestTarget reports whether a request target has one of the forms of RFC 9112, section 3.2. For
// CONNECT, any target is accepted.
func isRequestTarget(method, target string) bool {
	if target[0] == '/' || target == "*" || method == "CONNECT" {
		return true
	}
	return strings.Contains(target, "://")
}

func (d *Decoder) parseVersion(version string) *Error {
	if !isHTTPVersion(version) {
		return errBadRequest("malformed version")
	}
	if version[5] != '1' {
		return &Error{StatusVersionNotSupported, "version not supported"}
	}
	d.Head.MinorVersion = int(version[7] - '0')
	return nil
}

func isHTTPVersion(s string) bool {
	return len(s) == versionBytes && s[:5] == "HTTP/" && isDigit(s[5]) && s[6] == '.' && isDigit(s[7])
}

func (d *Decoder) parseStatusLine(line string) *Error {
	if len(line) < minStatusLineBytes || line[versionBytes] != ' ' {
		return errBadRequest("malformed status line")
	}
	if err := d.parseVersion(line[:versionBytes]); err != nil {
		return err
	}
	for _, c := range []byte(line[versionBytes+1 : minStatusLineBytes]) {
		if !isDigit(c) {
			return errBadRequest("malformed status")
		}
		d.Head.Status = d.Head.Status*10 + int(c-'0')
	}
	if len(line) > minStatusLineBytes && line[minStatusLineBytes] != ' ' || d.Head.Status < StatusContinue {
		return errBadRequest("malformed status")
	}
	if len(line) > minStatusLineBytes+1 {
		d.Head.ReasonPhrase = line[minStatusLineBytes+1:]
	}
	return nil
}

// parseField parses one line of the header or of the trailer section.
func parseField(line string) (Field, *Error) {
	if line == "" || isWhitespace(line[0]) {
		return Field{}, errBadRequest("folded header line")
	}
	nameEnd := tokenLength(line)
	if nameEnd == 0 || nameEnd >= len(line) || line[nameEnd] != ':' {
		return Field{}, errBadRequest("malformed header field")
	}
	name := line[:nameEnd]
	value := trimWhitespace(line[nameEnd+1:])
	if hasControlByte(value) {
		return Field{}, errBadRequest("control character in header field %s", name)
	}
	return Field{name, value}, nil
}
