//go:build linux

package httpd

import "heathshed/internal/netio/http1"

// Exchange is one request together with its response.
type Exchange struct {
	http1.Request
	// OnDisconnect, if set, is called when the connection is closed before the handler has responded.
	OnDisconnect func()

	conn *conn
	// bodyBuffer collects the request body. Its memory is reused for later requests.
	bodyBuffer []byte
	// responseStream produces the rest of the response body. It is nil if the response has no stream.
	responseStream http1.Stream
}

// Finished reports whether it is too late to respond, because the handler has responded already or the
// connection is closed.
func (e *Exchange) Finished() bool {
	return e.conn.state != stateHandling || e.conn.transport.Closed()
}

// Reset closes the connection without a response. An emulated node uses it to behave like an unreachable
// node.
func (e *Exchange) Reset() {
	if !e.Finished() {
		e.conn.transport.Close()
	}
}

// Respond sends the response. The handler may call it before or after it returns. Only the first call has
// an effect.
func (e *Exchange) Respond(response http1.Response) {
	c := e.conn
	if e.Finished() {
		if response.Stream != nil {
			response.Stream.Close()
		}
		return
	}
	c.setState(stateResponding)
	if c.server.draining {
		c.closeAfterResponse = true
	}
	if response.Stream != nil {
		e.respondStream(&response)
	} else {
		e.respondBody(&response)
	}
}

// usesChunks reports whether a streamed body is sent with the chunked transfer coding. HTTP/1.0 does not
// support that coding. For an HTTP/1.0 client, the end of the body is marked by closing the connection.
func (e *Exchange) usesChunks() bool { return e.Head.MinorVersion > 0 }

func (e *Exchange) isHEADRequest() bool { return e.Head.Method == "HEAD" }

// appendHead appends the status line and the header fields of a response, except for Content-Length and
// Transfer-Encoding.
func (e *Exchange) appendHead(out []byte, response *http1.Response) []byte {
	out = http1.AppendStatusLine(out, response.Status)
	for i := range response.Header {
		out = http1.AppendField(out, response.Header[i].Name, response.Header[i].Value)
	}
	if e.conn.closeAfterResponse {
		out = append(out, "Connection: close\r\n"...)
	}
	return out
}

// respondBody sends a response with a complete body.
func (e *Exchange) respondBody(response *http1.Response) {
	c := e.conn
	out := e.appendHead(c.transport.OutputBuffer(), response)
	if http1.StatusHasBody(response.Status) {
		out = http1.AppendContentLength(out, len(response.Body))
	}
	out = append(out, "\r\n"...)
	if !e.isHEADRequest() {
		out = append(out, response.Body...)
	}
	c.transport.CommitOutput(out)
	c.shortenTimer(c.server.options.WriteTimeout)
	c.reportMemoryUse()
	if !c.transport.Closed() {
		c.prepareForNextRequest()
	}
}

// respondStream sends the head of a response whose body is a stream, and the data that the stream has
// ready.
func (e *Exchange) respondStream(response *http1.Response) {
	c := e.conn
	if !e.usesChunks() {
		c.closeAfterResponse = true
	}
	out := e.appendHead(c.transport.OutputBuffer(), response)
	if e.usesChunks() {
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	}
	c.transport.CommitOutput(append(out, "\r\n"...))
	if e.isHEADRequest() {
		response.Stream.Close()
		c.prepareForNextRequest()
		return
	}
	e.responseStream = response.Stream
	c.server.streamingConns[c] = struct{}{}
	c.shortenTimer(c.server.options.WriteTimeout)
	c.pullStream()
}
