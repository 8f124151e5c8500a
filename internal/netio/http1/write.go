package http1

import "strconv"

// AppendStatusLine appends the status line of a response to b.
func AppendStatusLine(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, StatusText(status)...)
	return append(b, "\r\n"...)
}

// AppendRequestLine appends a request line to b.
func AppendRequestLine(b []byte, method, target string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	return append(b, " HTTP/1.1\r\n"...)
}

// AppendField appends one header field to b. Carriage returns, line feeds and NUL bytes in the value are
// replaced by spaces; otherwise a value could inject further header fields.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	for i := 0; i < len(value); i++ {
		if c := value[i]; c == '\r' || c == '\n' || c == 0 {
			b = append(b, ' ')
		} else {
			b = append(b, c)
		}
	}
	return append(b, "\r\n"...)
}

// AppendContentLength appends a Content-Length field to b.
func AppendContentLength(b []byte, length int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	return append(b, "\r\n"...)
}

// AppendChunk appends one chunk to b. If data is empty, it appends nothing, because an empty chunk would
// end the body.
func AppendChunk(b, data []byte) []byte {
	if len(data) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// LastChunk ends a chunked body that has no trailer section.
const LastChunk = "0\r\n\r\n"
