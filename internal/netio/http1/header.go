package http1

import "unsafe"

// Field is one header field. Name keeps the case in which the sender wrote the name. Use HasName to compare
// names.
type Field struct{ Name, Value string }

// HasName reports whether the field has the given name. The comparison ignores case.
func (f *Field) HasName(name string) bool { return equalFold(f.Name, name) }

// Header holds the header fields of a message in the order in which they were received.
type Header []Field

// Get returns the value of the first field with the given name, or "" if there is none.
func (h Header) Get(name string) string {
	for i := range h {
		if h[i].HasName(name) {
			return h[i].Value
		}
	}
	return ""
}

// Has reports whether the header contains a field with the given name.
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
	// Method and Target are set for requests only.
	Method, Target string
	// Status and ReasonPhrase are set for responses only.
	Status       int
	ReasonPhrase string

	// MinorVersion is the minor version of HTTP that the message uses, such as 1 for HTTP/1.1.
	MinorVersion int
	Header       Header
	// BodyLength is the length of the body in bytes, or -1 if the body is chunked or ends when the
	// connection is closed.
	BodyLength int64
	// Chunked reports that the body uses the chunked transfer coding.
	Chunked bool
	// CloseConnection reports that the connection must be closed after this message.
	CloseConnection bool
	// ExpectContinue reports that the client waits for a 100 Continue response before it sends the body.
	ExpectContinue bool

	textBytes int // textBytes is the length of the copy of the head that the fields refer to.
}

// MemoryBytes returns the memory that the header takes. All names and values are parts of one copy of the head, so
// that each of them keeps the whole copy.
func (h *Head) MemoryBytes() int { return h.textBytes + cap(h.Header)*int(unsafe.Sizeof(Field{})) }

// splitList returns the elements of a comma-separated list, without empty elements and without whitespace
// around the elements.
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

// trimWhitespace removes spaces and tabs, which are the whitespace of HTTP, from both ends.
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

// isControlByte holds true for the control characters that are not allowed in a field value or chunk
// extension. Tabs are allowed.
var isControlByte = func() (table [256]bool) {
	for c := range byte(' ') {
		table[c] = c != '\t'
	}
	table[0x7f] = true
	return
}()

// hasControlByte reports whether a field value or chunk extension contains a control character that is not
// allowed.
func hasControlByte[text string | []byte](s text) bool {
	for i := 0; i < len(s); i++ {
		if isControlByte[s[i]] {
			return true
		}
	}
	return false
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// equalFold reports whether two strings are equal, ignoring the case of ASCII letters.
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

// isTokenByte holds true for the bytes that are allowed in a token (RFC 9110, section 5.6.2).
var isTokenByte = func() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		table[c] = true
	}
	return
}()

// tokenLength returns the length in bytes of the token at the front of s.
func tokenLength(s string) int {
	n := 0
	for n < len(s) && isTokenByte[s[n]] {
		n++
	}
	return n
}
