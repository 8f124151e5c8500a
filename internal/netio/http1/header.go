package http1

// Field is one header field. Name keeps the sender's spelling; compare with HasName.
type Field struct{ Name, Value string }

// HasName compares the field's name without regard to case.
func (f *Field) HasName(name string) bool { return equalFold(f.Name, name) }

// Header is the fields of a message in their order.
type Header []Field

// Get returns the first value of the field, or "".
func (h Header) Get(name string) string {
	for i := range h {
		if h[i].HasName(name) {
			return h[i].Value
		}
	}
	return ""
}

// Has reports whether there is such a field.
func (h Header) Has(name string) bool {
	for i := range h {
		if h[i].HasName(name) {
			return true
		}
	}
	return false
}

// Head is the start line and header of a message.
type Head struct {
	// Of requests.
	Method, Target string
	// Of responses.
	Status       int
	ReasonPhrase string

	MinorVersion int // of the version: 1.Minor
	Header       Header
	// BodyLength is the body's length in bytes; -1 if the body is chunked or ends with the connection.
	BodyLength int64
	Chunked    bool
	// CloseConnection reports that the connection ends with this message.
	CloseConnection bool
	// ExpectContinue reports that the sender waits for 100 Continue.
	ExpectContinue bool
}

// splitList splits a comma-separated list and drops empty elements.
func splitList(s string) []string {
	var elements []string
	for s != "" {
		end := 0
		for end < len(s) && s[end] != ',' {
			end++
		}
		if element := trimWhitespace(s[:end]); element != "" {
			elements = append(elements, element)
		}
		if end == len(s) {
			break
		}
		s = s[end+1:]
	}
	return elements
}

// trimSpace removes the white space of HTTP, spaces and tabs, from both ends.
func trimWhitespace(s string) string {
	start := 0
	end := len(s)
	for start < end && isWhitespace(s[start]) {
		start++
	}
	for end > start && isWhitespace(s[end-1]) {
		end--
	}
	return s[start:end]
}

func isWhitespace(c byte) bool { return c == ' ' || c == '\t' }

// isControlByte holds the bytes that may not stand in a field value or chunk extension.
var isControlByte = func() (table [256]bool) {
	for c := range byte(' ') {
		table[c] = c != '\t'
	}
	table[0x7f] = true
	return
}()

// hasControl reports whether a field value or chunk extension has a byte that may not stand there.
func hasControlByte[text string | []byte](s text) bool {
	for i := 0; i < len(s); i++ {
		if isControlByte[s[i]] {
			return true
		}
	}
	return false
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// equalFold compares without regard to the case of ASCII letters.
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

// isTokenByte holds the bytes of a token (RFC 9110, 5.6.2).
var isTokenByte = func() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		table[c] = true
	}
	return
}()

// tokenLength is the number of bytes of the token at the front of s.
func tokenLength(s string) int {
	n := 0
	for n < len(s) && isTokenByte[s[n]] {
		n++
	}
	return n
}
