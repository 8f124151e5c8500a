//go:build linux

package httpd

import "heathshed/internal/netio/http1"

// Exchange is one request and its response.
type Exchange struct {
	http1.Request
	// OnDisconnect, if set, is called when the connection ends before the response.
	OnDisconnect func()

	conn           *conn
	bodyBuffer     []byte       // the request's, with its memory reused
	responseStream http1.Stream // the rest of the response; nil if there is none
}

// Finished reports whether a response is no longer of use: there has been one, or the connection has ended.
func (e *Exchange) Finished() bool {
	return e.conn.state != stateHandling || e.conn.transport.Closed()
}

// Reset closes the connection without a response; emulators use it to be faulty.
func (e *Exchange) Reset() {
	if !e.Finished() {
		e.conn.transport.Close()
	}
}

// Respond sends the response. It may be called once, from the handler or later.
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

// chunked reports whether a stream goes out in chunks. HTTP/1.0 knows none: there the body ends with the connection.
func (e *Exchange) usesChunks() bool { return e.Head.MinorVersion > 0 }

func (e *Exchange) isHEADRequest() bool { return e.Head.Method == "HEAD" }

// appendHead appends the status line and the fields of a response, without those of the body's length.
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

// respondBody sends a response whose body is complete.
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

// respondStream sends the head of a response whose body is a stream, and begins to pull the stream.
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
