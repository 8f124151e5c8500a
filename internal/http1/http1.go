// Package http1 reads and writes HTTP/1.1 messages as RFC 9112 has them: an incremental decoder for both sides and
// append functions for what goes out.
//
// It is a codec: it takes and gives bytes, knows no socket and no clock, and imports nothing of the project.
package http1

import (
	"bytes"
	"fmt"
	"strconv"
)

// Limits bound what one message may take.
type Limits struct {
	Line    int // bytes of the start line
	Head    int // bytes of start line and header fields together
	Fields  int // number of header fields
	Body    int // bytes of the body, without chunk framing; 0 is no limit
	Trailer int // bytes of the trailer section
}

// DefaultLimits are those of a server for the API.
func DefaultLimits() Limits {
	return Limits{Line: 8 << 10, Head: 32 << 10, Fields: 100, Body: 3 << 20, Trailer: 4 << 10}
}

// Error is a message that cannot be taken. Status is the answer that fits.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("http: %s (%d)", e.Reason, e.Status) }

func badRequest(format string, args ...any) *Error { return &Error{400, fmt.Sprintf(format, args...)} }

// Field is one header field. Name keeps the sender's letters; compare with Is.
type Field struct{ Name, Value string }

// Is compares a field name without regard to case.
func (f *Field) Is(name string) bool { return equalFold(f.Name, name) }

// Header is the fields of a message in their order.
type Header []Field

// Get returns the first value of the field, or "".
func (h Header) Get(name string) string {
	for i := range h {
		if h[i].Is(name) {
			return h[i].Value
		}
	}
	return ""
}

// Has says whether there is such a field.
func (h Header) Has(name string) bool {
	for i := range h {
		if h[i].Is(name) {
			return true
		}
	}
	return false
}

// Head is the start line and header of a message.
type Head struct {
	// Requests.
	Method, Target string
	// Responses.
	Status int
	Reason string

	Minor  int // of the version: 1.Minor
	Header Header
	// Length is the body's length in bytes, -1 if it is chunked or goes on to the end of the connection.
	Length  int64
	Chunked bool
	// Close says that the connection ends with this message.
	Close bool
	// Expect says that the sender waits for 100 Continue.
	Expect bool
}

// Kind of what Next found.
type Kind uint8

// What Next can find. More: nothing yet, bring more bytes. HeadEnd: Head is complete. Data: Body holds a piece of the
// body. End: the message is complete.
const (
	NeedMore Kind = iota
	HeadComplete
	BodyData
	MessageComplete
)

type state uint8

const (
	stateHead state = iota
	stateBody
	stateChunkSize
	stateChunkData
	stateChunkEnd
	stateTrailer
	stateUntilClose
	atEnd
	failed
)

// Decoder takes a stream of messages apart. The zero value with Limits set decodes requests.
type Decoder struct {
	Limits Limits
	// Responses makes it decode responses. NoBody must then be set before the head of an answer to HEAD is read.
	Responses bool
	NoBody    bool

	Head Head
	Body []byte // the piece of the last Data; valid until the input changes

	state     state
	remaining int64
	bodySize  int64
	searched  int // bytes of the head searched already
	err       *Error
}

// Next reads from the front of in and returns how many bytes it took. After an error it returns that error always.
func (d *Decoder) Next(in []byte) (n int, k Kind, err error) {
	if d.err != nil {
		return 0, NeedMore, d.err
	}
	n, k, e := d.decode(in)
	if e != nil {
		d.err = e
		return n, NeedMore, e
	}
	return n, k, nil
}

func (d *Decoder) decode(in []byte) (int, Kind, *Error) {
	switch d.state {
	case stateHead:
		return d.decodeHead(in)
	case stateBody, stateChunkData:
		if d.remaining == 0 {
			if d.state == stateBody {
				return d.endMessage(0)
			}
			d.state = stateChunkEnd
			return d.decode(in)
		}
		if len(in) == 0 {
			return 0, NeedMore, nil
		}
		n := int(min(d.remaining, int64(len(in))))
		d.remaining -= int64(n)
		d.Body = in[:n]
		return n, BodyData, nil
	case stateUntilClose:
		if len(in) == 0 {
			return 0, NeedMore, nil
		}
		if d.bodySize += int64(len(in)); d.Limits.Body > 0 && d.bodySize > int64(d.Limits.Body) {
			return 0, NeedMore, &Error{413, "body over the limit"}
		}
		d.Body = in
		return len(in), BodyData, nil
	case stateChunkEnd:
		if len(in) < 2 {
			if len(in) == 1 && in[0] != '\r' {
				return 0, NeedMore, badRequest("chunk does not end with a line end")
			}
			return 0, NeedMore, nil
		}
		if in[0] != '\r' || in[1] != '\n' {
			return 0, NeedMore, badRequest("chunk does not end with a line end")
		}
		d.state = stateChunkSize
		n, k, err := d.decode(in[2:])
		return n + 2, k, err
	case stateChunkSize:
		return d.decodeChunkSize(in)
	case stateTrailer:
		return d.decodeTrailer(in)
	}
	return 0, NeedMore, badRequest("nothing may follow")
}

func (d *Decoder) endMessage(n int) (int, Kind, *Error) {
	d.state, d.bodySize, d.Body = stateHead, 0, nil
	return n, MessageComplete, nil
}

// EOF tells that the stream is over. It returns nil if that is a legal end of a message, which is then complete, or
// where none had begun; complete says which.
func (d *Decoder) EOF(rest int) (complete bool, err error) {
	switch {
	case d.err != nil:
		return false, d.err
	case d.state == stateUntilClose:
		d.endMessage(0)
		return true, nil
	case d.state == stateHead && rest == 0:
		return false, nil
	}
	return false, badRequest("the stream ends inside a message")
}

func (d *Decoder) decodeHead(in []byte) (int, Kind, *Error) {
	skipped := 0
	if !d.Responses {
		// RFC 9112, 2.2: an empty line before a request line is ignored. One only.
		if len(in) >= 2 && in[0] == '\r' && in[1] == '\n' {
			in, skipped = in[2:], 2
			d.searched = max(0, d.searched-2)
		}
	}
	from := max(0, d.searched-3)
	i := bytes.Index(in[from:], []byte("\r\n\r\n"))
	if i < 0 {
		d.searched = len(in) + skipped
		if j := bytes.IndexByte(in, '\n'); j < 0 && len(in) > d.Limits.Line || j > d.Limits.Line {
			return 0, NeedMore, &Error{414, "start line over the limit"}
		}
		if len(in) > d.Limits.Head {
			return 0, NeedMore, &Error{431, "header over the limit"}
		}
		// A line feed without carriage return can never become legal: say so now.
		if j := bytes.IndexByte(in, '\n'); j == 0 || j > 0 && in[j-1] != '\r' {
			return 0, NeedMore, badRequest("line feed without carriage return")
		}
		return 0, NeedMore, nil
	}
	size := from + i + 4
	d.searched = 0
	if size > d.Limits.Head {
		return 0, NeedMore, &Error{431, "header over the limit"}
	}
	// One copy of the head's text; every field is a part of it.
	text := string(in[:size-2])
	d.Head = Head{Header: d.Head.Header[:0:0]}
	if err := d.parseHead(text); err != nil {
		return 0, NeedMore, err
	}
	return skipped + size, HeadComplete, nil
}

func (d *Decoder) parseHead(text string) *Error {
	line, text, err := cutLine(text)
	if err != nil {
		return err
	}
	if len(line) > d.Limits.Line {
		return &Error{414, "start line over the limit"}
	}
	if d.Responses {
		err = d.parseStatusLine(line)
	} else {
		err = d.parseRequestLine(line)
	}
	if err != nil {
		return err
	}
	h := make(Header, 0, 12)
	for text != "" {
		if line, text, err = cutLine(text); err != nil {
			return err
		}
		f, err := parseField(line)
		if err != nil {
			return err
		}
		if len(h) >= d.Limits.Fields {
			return &Error{431, "too many header fields"}
		}
		h = append(h, f)
	}
	d.Head.Header = h
	return d.setFraming()
}

// cutLine takes one line off, without its end. A bare carriage return or line feed is refused.
func cutLine(s string) (line, rest string, err *Error) {
	for i := 0; i < len(s); i++ {
		switch s[i] {
		case '\n':
			return "", "", badRequest("line feed without carriage return")
		case '\r':
			if i+1 >= len(s) || s[i+1] != '\n' {
				return "", "", badRequest("carriage return without line feed")
			}
			return s[:i], s[i+2:], nil
		}
	}
	return "", "", badRequest("line without end")
}

func (d *Decoder) parseRequestLine(line string) *Error {
	i := 0
	for i < len(line) && isTokenByte[line[i]] {
		i++
	}
	if i == 0 || i >= len(line) || line[i] != ' ' {
		return badRequest("no method in the request line")
	}
	d.Head.Method = line[:i]
	rest := line[i+1:]
	j := 0
	for j < len(rest) && rest[j] > ' ' && rest[j] < 0x7f {
		j++
	}
	if j == 0 || j >= len(rest) || rest[j] != ' ' {
		return badRequest("no target in the request line")
	}
	d.Head.Target = rest[:j]
	if d.Head.Target[0] != '/' && d.Head.Target != "*" {
		if !bytes.Contains([]byte(d.Head.Target), []byte("://")) && d.Head.Method != "CONNECT" {
			return badRequest("target is neither a path nor a URL")
		}
	}
	return d.parseVersion(rest[j+1:])
}

func (d *Decoder) parseVersion(v string) *Error {
	if len(v) != 8 || v[:5] != "HTTP/" || v[6] != '.' || v[5] < '0' || v[5] > '9' || v[7] < '0' || v[7] > '9' {
		return badRequest("malformed version")
	}
	if v[5] != '1' {
		return &Error{505, "version not supported"}
	}
	d.Head.Minor = int(v[7] - '0')
	return nil
}

func (d *Decoder) parseStatusLine(line string) *Error {
	if len(line) < 12 || line[8] != ' ' {
		return badRequest("malformed status line")
	}
	if err := d.parseVersion(line[:8]); err != nil {
		return err
	}
	for _, c := range []byte(line[9:12]) {
		if c < '0' || c > '9' {
			return badRequest("malformed status")
		}
		d.Head.Status = d.Head.Status*10 + int(c-'0')
	}
	if len(line) > 12 && line[12] != ' ' || d.Head.Status < 100 {
		return badRequest("malformed status")
	}
	if len(line) > 13 {
		d.Head.Reason = line[13:]
	}
	return nil
}

func parseField(line string) (Field, *Error) {
	if line == "" || line[0] == ' ' || line[0] == '\t' {
		return Field{}, badRequest("folded header line")
	}
	i := 0
	for i < len(line) && isTokenByte[line[i]] {
		i++
	}
	if i == 0 || i >= len(line) || line[i] != ':' {
		return Field{}, badRequest("malformed header field")
	}
	name, v := line[:i], line[i+1:]
	for v != "" && (v[0] == ' ' || v[0] == '\t') {
		v = v[1:]
	}
	for v != "" && (v[len(v)-1] == ' ' || v[len(v)-1] == '\t') {
		v = v[:len(v)-1]
	}
	for j := 0; j < len(v); j++ {
		if v[j] < ' ' && v[j] != '\t' || v[j] == 0x7f {
			return Field{}, badRequest("control character in header field %s", name)
		}
	}
	return Field{name, v}, nil
}

// setFraming decides how long the body is (RFC 9112, 6.3). Anything ambiguous is refused: two readers that disagree on a
// length are how requests are smuggled.
func (d *Decoder) setFraming() *Error {
	h := &d.Head
	length, lengths, codings, hosts := "", 0, 0, 0
	h.Close = h.Minor == 0
	for i := range h.Header {
		f := &h.Header[i]
		switch {
		case f.Is("Content-Length"):
			if lengths++; lengths > 1 {
				return badRequest("content-length given twice")
			}
			length = f.Value
		case f.Is("Transfer-Encoding"):
			if codings++; codings > 1 {
				return badRequest("transfer-encoding given twice")
			}
			if !equalFold(f.Value, "chunked") {
				return &Error{501, "transfer-encoding other than chunked"}
			}
			h.Chunked = true
		case f.Is("Connection"):
			for _, t := range splitList(f.Value) {
				if equalFold(t, "close") {
					h.Close = true
				} else if equalFold(t, "keep-alive") && h.Minor == 0 {
					h.Close = false
				}
			}
		case f.Is("Host"):
			hosts++
		case f.Is("Expect"):
			if !equalFold(f.Value, "100-continue") {
				return &Error{417, "expectation not known"}
			}
			h.Expect = h.Minor > 0
		}
	}
	if !d.Responses && (hosts > 1 || hosts == 0 && h.Minor > 0) {
		return badRequest("%d host fields, want one", hosts)
	}
	if h.Chunked && (lengths > 0 || h.Minor == 0) {
		return badRequest("transfer-encoding beside content-length or before HTTP/1.1")
	}
	h.Length = -1
	if lengths > 0 {
		if len(length) == 0 || len(length) > 18 {
			return badRequest("malformed content-length")
		}
		for _, c := range []byte(length) {
			if c < '0' || c > '9' {
				return badRequest("malformed content-length")
			}
		}
		h.Length, _ = strconv.ParseInt(length, 10, 64)
	}
	if d.Responses && (d.NoBody || h.Status < 200 || h.Status == 204 || h.Status == 304) {
		h.Length, h.Chunked = 0, false
	}
	if !h.Chunked && lengths == 0 && !d.Responses {
		h.Length = 0
	}
	d.bodySize = 0
	switch {
	case h.Chunked:
		d.state = stateChunkSize
	case h.Length >= 0:
		if d.Limits.Body > 0 && h.Length > int64(d.Limits.Body) {
			return &Error{413, "body over the limit"}
		}
		d.state, d.remaining = stateBody, h.Length
	default:
		d.state, h.Close = stateUntilClose, true
	}
	return nil
}

const maxChunkLine = 256

func (d *Decoder) decodeChunkSize(in []byte) (int, Kind, *Error) {
	i := bytes.IndexByte(in, '\n')
	if i < 0 {
		if len(in) > maxChunkLine {
			return 0, NeedMore, badRequest("chunk line over the limit")
		}
		return 0, NeedMore, nil
	}
	if i == 0 || in[i-1] != '\r' || i > maxChunkLine {
		return 0, NeedMore, badRequest("malformed chunk line")
	}
	line := in[:i-1]
	size, j := int64(0), 0
	for ; j < len(line); j++ {
		c := line[j]
		switch {
		case c >= '0' && c <= '9':
			c -= '0'
		case c >= 'a' && c <= 'f':
			c -= 'a' - 10
		case c >= 'A' && c <= 'F':
			c -= 'A' - 10
		default:
			c = 16
		}
		if c == 16 {
			break
		}
		if j >= 15 {
			return 0, NeedMore, badRequest("chunk size too large")
		}
		size = size<<4 | int64(c)
	}
	if j == 0 {
		return 0, NeedMore, badRequest("malformed chunk size")
	}
	// Extensions are allowed and ignored, but must look like some.
	ext := bytes.TrimLeft(line[j:], " \t")
	if len(ext) > 0 && ext[0] != ';' || len(ext) == 0 && j < len(line) {
		return 0, NeedMore, badRequest("malformed chunk size")
	}
	for _, c := range ext {
		if c < ' ' && c != '\t' || c == 0x7f {
			return 0, NeedMore, badRequest("control character in chunk extension")
		}
	}
	if d.bodySize += size; d.Limits.Body > 0 && d.bodySize > int64(d.Limits.Body) {
		return 0, NeedMore, &Error{413, "body over the limit"}
	}
	if size == 0 {
		d.state, d.bodySize = stateTrailer, 0
		n, k, err := d.decode(in[i+1:])
		return n + i + 1, k, err
	}
	d.state, d.remaining = stateChunkData, size
	n, k, err := d.decode(in[i+1:])
	return n + i + 1, k, err
}

// decodeTrailer reads trailer fields, checks them and drops them.
func (d *Decoder) decodeTrailer(in []byte) (int, Kind, *Error) {
	n := 0
	for {
		i := bytes.IndexByte(in[n:], '\n')
		if i < 0 {
			if int(d.bodySize)+len(in)-n > d.Limits.Trailer {
				return n, NeedMore, &Error{431, "trailer over the limit"}
			}
			return n, NeedMore, nil
		}
		line := in[n : n+i+1]
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return n, NeedMore, badRequest("line feed without carriage return")
		}
		n += len(line)
		if len(line) == 2 {
			return d.endMessage(n)
		}
		if d.bodySize += int64(len(line)); int(d.bodySize) > d.Limits.Trailer {
			return n, NeedMore, &Error{431, "trailer over the limit"}
		}
		if bytes.IndexByte(line[:len(line)-2], '\r') >= 0 {
			return n, NeedMore, badRequest("carriage return without line feed")
		}
		if _, err := parseField(string(line[:len(line)-2])); err != nil {
			return n, NeedMore, err
		}
	}
}

// splitList splits a comma list.
func splitList(s string) []string {
	var out []string
	for s != "" {
		i := 0
		for i < len(s) && s[i] != ',' {
			i++
		}
		a, b := 0, i
		for a < b && (s[a] == ' ' || s[a] == '\t') {
			a++
		}
		for b > a && (s[b-1] == ' ' || s[b-1] == '\t') {
			b--
		}
		if a < b {
			out = append(out, s[a:b])
		}
		if i == len(s) {
			break
		}
		s = s[i+1:]
	}
	return out
}

func equalFold(a, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := 0; i < len(a); i++ {
		x, y := a[i], b[i]
		if x == y {
			continue
		}
		if x|0x20 != y|0x20 || x|0x20 < 'a' || x|0x20 > 'z' {
			return false
		}
	}
	return true
}

var isTokenByte = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		t[c] = true
	}
	return
}()
