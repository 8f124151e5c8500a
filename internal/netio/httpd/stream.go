//go:build linux

package httpd

import "heathshed/internal/netio/http1"

// chunkPlaceholder stands before a chunk's data until its size is known.
const chunkLinePlaceholder = "00000000\r\n"

const chunkSizeDigits = len(chunkLinePlaceholder) - len("\r\n")

// incompleteStream is a stream that may end without being complete.
type truncatableStream interface {
	// Broken reports, after its end, whether it is incomplete.
	Broken() bool
}

// pullStream has the stream of the present response, if any, write what the peer and the memory quota allow.
func (c *conn) pullStream() {
	e := &c.exchange
	// What goes out at the end of this iteration counts until then.
	for e.responseStream != nil && !c.transport.Closed() {
		free := c.server.options.OutputHighWaterMark - c.transport.UnsentBytes()
		if free <= 0 {
			return
		}
		room := min(free, int(c.server.memoryQuota.Available(c.id)))
		if room <= 0 {
			if c.transport.UnsentBytes() == 0 {
				c.server.schedulePull()
			}
			return
		}
		more := c.pullStreamOnce(room)
		c.reportMemoryUse()
		if !more {
			return
		}
	}
}

// pullOnce pulls the stream once, for about room bytes, and reports whether there may be more.
func (c *conn) pullStreamOnce(room int) bool {
	e := &c.exchange
	out := c.transport.OutputBuffer()
	before := len(out)
	if e.usesChunks() {
		out = append(out, chunkLinePlaceholder...)
	}
	start := len(out)
	out, done := e.responseStream.Pull(out, room)
	size := len(out) - start
	switch {
	case size == 0:
		// Nothing came: take the placeholder back without queueing a flush.
		c.transport.DiscardOutput(out[:before])
	case e.usesChunks():
		putChunkSize(out[before:], size)
		c.transport.CommitOutput(append(out, "\r\n"...))
	default:
		c.transport.CommitOutput(out)
	}
	if !done {
		return size > 0
	}
	c.endStream()
	return false
}

// putChunkSize writes a chunk's size over its placeholder.
func putChunkSize(b []byte, size int) {
	const digits = "0123456789abcdef"
	for i := chunkSizeDigits - 1; i >= 0; i-- {
		b[i] = digits[size&15]
		size >>= 4
	}
}

// endStream completes a response whose stream has ended, or closes the connection if the stream is incomplete: the response
// must not look complete.
func (c *conn) endStream() {
	if stream, ok := c.exchange.responseStream.(truncatableStream); ok && stream.Broken() {
		c.transport.Close()
		return
	}
	if c.exchange.usesChunks() {
		c.transport.Write([]byte(http1.LastChunk))
	}
	delete(c.server.streamingConns, c)
	c.closeStream()
	c.prepareForNextRequest()
}

// closeStream tells the stream, if any, that it is not pulled any more.
func (c *conn) closeStream() {
	stream := c.exchange.responseStream
	if stream == nil {
		return
	}
	c.exchange.responseStream = nil
	stream.Close()
}
