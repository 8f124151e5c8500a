//go:build linux

package httpd

import "heathshed/internal/netio/http1"

// chunkLinePlaceholder reserves space in the output for the chunk size, which is not known before the
// stream has appended the data of the chunk.
const chunkLinePlaceholder = "00000000\r\n"

const chunkSizeDigits = len(chunkLinePlaceholder) - len("\r\n")

// truncatableStream is a response stream that may end before the body is complete.
type truncatableStream interface {
	// Broken reports, after the stream has ended, whether the body is incomplete.
	Broken() bool
}

// pullStream pulls data from the stream of the current response, if there is one, and queues it as
// output. It stops when the stream has no more data, OutputHighWaterMark is reached or the memory quota
// has no room for more output of the connection.
func (c *conn) pullStream() {
	e := &c.exchange
	// Output that has been queued in this iteration counts as unsent until the end of the iteration.
	for e.responseStream != nil && !c.transport.Closed() {
		freeBytes := c.server.options.OutputHighWaterMark - c.transport.UnsentBytes()
		if freeBytes <= 0 {
			return
		}
		maxBytes := min(freeBytes, int(c.server.memoryQuota.Available(c.id)))
		if maxBytes <= 0 {
			if c.transport.UnsentBytes() == 0 {
				c.server.schedulePull()
			}
			return
		}
		more := c.pullStreamOnce(maxBytes)
		c.reportMemoryUse()
		if !more {
			return
		}
	}
}

// pullStreamOnce pulls data from the response stream once, about maxBytes at most. It queues the data
// as output and reports whether the stream may have more data.
func (c *conn) pullStreamOnce(maxBytes int) bool {
	e := &c.exchange
	out := c.transport.OutputBuffer()
	queuedBytes := len(out)
	if e.usesChunks() {
		out = append(out, chunkLinePlaceholder...)
	}
	dataStart := len(out)
	out, done := e.responseStream.Pull(out, maxBytes)
	size := len(out) - dataStart
	switch {
	case size == 0:
		// The stream appended no data. The placeholder for the chunk size, if there is one, is removed
		// from the output, and no flush is queued for the connection.
		c.transport.DiscardOutput(out[:queuedBytes])
	case e.usesChunks():
		putChunkSize(out[queuedBytes:], size)
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

// putChunkSize writes the chunk size at the start of b, over the digits of chunkLinePlaceholder.
func putChunkSize(b []byte, size int) {
	const digits = "0123456789abcdef"
	for i := chunkSizeDigits - 1; i >= 0; i-- {
		b[i] = digits[size&15]
		size >>= 4
	}
}

// endStream completes a response whose stream has ended. If the body is incomplete, endStream closes the
// connection instead. The client can then tell that the response is incomplete.
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

// closeStream closes the stream of the current response, if there is one. The connection pulls no data from
// it after that.
func (c *conn) closeStream() {
	stream := c.exchange.responseStream
	if stream == nil {
		return
	}
	c.exchange.responseStream = nil
	stream.Close()
}
