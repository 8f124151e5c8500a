//go:build linux

package eventloop

import (
	"fmt"
	"io"

	"golang.org/x/sys/unix"
)

const (
	// maxReadNow is how many reads ReadNow makes of a peer that sends as fast as it is read.
	maxReadNowReads = 64

	// minSentToCompact is how many bytes of a queue must have been sent before the rest is moved to its front.
	minSentBytesToCompact = 64 << 10

	// outputSlack is how many bytes a buffer that waits for a slow peer may have beyond twice what is left in it.
	maxUnusedOutputBytes = 4 << 10
)

// ReadNow delivers what the system has received by now, the peer's end included, rather than what it had at the start of
// the iteration. It does nothing within the connection's own Data, or while reading is paused.
func (c *Conn) ReadNow() {
	for range maxReadNowReads {
		if !c.canReadNow() || !c.readOnce() {
			return
		}
	}
}

func (c *Conn) canReadNow() bool {
	if c.state == stateClosed || c.state.isDialing() {
		return false
	}
	return !c.readPaused && !c.peerClosed && !c.deliveringInput
}

// readOnce reads and delivers up to one buffer and reports whether there may be more.
func (c *Conn) readOnce() bool {
	n, err := unix.Read(c.fd, c.loop.readBuffer)
	switch err {
	case nil:
	case unix.EINTR:
		return true
	case unix.EAGAIN:
		return false
	default:
		c.closeWithError(fmt.Errorf("read: %w", err))
		return false
	}
	if n == 0 {
		c.handlePeerClose()
		return false
	}
	if !c.state.discardsInput() {
		c.deliverInput(c.loop.readBuffer[:n])
	}
	return true
}

func (c *Conn) handlePeerClose() {
	c.peerClosed = true
	if c.state.discardsInput() {
		c.closeWithError(ErrClosedLocally)
		return
	}
	c.updateRegisteredEvents()
	c.deliverInput(nil)
}

// deliver hands received bytes, after those that were not consumed before, to the handler and keeps what it does not
// consume. An idle connection holds no input buffer.
func (c *Conn) deliverInput(received []byte) {
	if c.deliveringInput {
		return
	}
	pending := received
	buffered := len(c.unconsumedInput) > 0
	if buffered {
		c.unconsumedInput = append(c.unconsumedInput, received...)
		pending = c.unconsumedInput
	}
	if len(pending) > 0 {
		c.deliveringInput = true
		consumed := c.handler.Data(c, pending)
		c.deliveringInput = false
		if c.state == stateClosed {
			return
		}
		c.keepUnconsumed(pending[consumed:], buffered)
		if len(c.unconsumedInput) > c.MaxInputBytes {
			c.SetReadPaused(true)
		}
	}
	if c.peerClosed && !c.readPaused && !c.state.discardsInput() {
		c.closeWithError(io.EOF)
	}
}

// keepInput keeps the bytes that the handler did not consume; buffered says that they are a part of c.input rather than of
// the loop's buffer.
func (c *Conn) keepUnconsumed(rest []byte, buffered bool) {
	switch {
	case len(rest) == 0:
		c.unconsumedInput = nil
	case buffered:
		c.unconsumedInput = c.unconsumedInput[:copy(c.unconsumedInput, rest)]
	default:
		c.unconsumedInput = append([]byte(nil), rest...)
	}
}

// Write queues a copy of b; it is sent at the end of the iteration.
func (c *Conn) Write(b []byte) {
	if !c.state.acceptsOutput() {
		return
	}
	c.output = append(c.OutputBuffer(), b...)
	c.queueFlush()
}

// OutputBuffer returns the output queue to append to. Give the result to CommitOutput, or to DiscardOutput if nothing was
// appended.
func (c *Conn) OutputBuffer() []byte {
	if spares := c.loop.spareOutputBuffers; c.output == nil && len(spares) > 0 {
		last := len(spares) - 1
		c.output = spares[last]
		c.loop.spareOutputBuffers = spares[:last]
	}
	return c.output
}

// CommitOutput takes back the queue of OutputBuffer with what was appended to it.
func (c *Conn) CommitOutput(b []byte) {
	if !c.state.acceptsOutput() {
		return
	}
	c.output = b
	c.queueFlush()
}

// DiscardOutput takes back the queue of OutputBuffer when nothing is to be sent.
func (c *Conn) DiscardOutput(b []byte) {
	if !c.state.acceptsOutput() {
		return
	}
	c.output = b
	if len(b) == 0 && !c.flushQueued {
		c.releaseOutputBuffer()
	}
}

// releaseOutput gives the output buffer back to the loop: an idle connection holds none.
func (c *Conn) releaseOutputBuffer() {
	size := cap(c.output)
	if size > 0 && size <= maxSpareBufferBytes && len(c.loop.spareOutputBuffers) < maxSpareBuffers {
		c.loop.spareOutputBuffers = append(c.loop.spareOutputBuffers, c.output[:0])
	}
	c.output = nil
}

func (c *Conn) queueFlush() {
	if c.flushQueued || c.state.isDialing() {
		return
	}
	c.flushQueued = true
	c.loop.flushQueue = append(c.loop.flushQueue, c)
}

// Flush sends queued output now rather than at the end of the iteration, so that writing much to many connections does not
// hold all of it in memory at a time.
func (c *Conn) Flush() {
	if c.state == stateClosed || c.state.isDialing() {
		return
	}
	if !c.writeBlocked && c.UnsentBytes() > 0 {
		c.writeQueuedOutput()
	}
}

// flush gives queued output to the system, until all is sent or the system takes no more.
func (c *Conn) writeQueuedOutput() {
	for c.outputSentBytes < len(c.output) {
		n, err := unix.Write(c.fd, c.output[c.outputSentBytes:])
		switch err {
		case nil:
			c.outputSentBytes += n
		case unix.EINTR:
		case unix.EAGAIN:
			c.waitWritable()
			return
		default:
			c.closeWithError(fmt.Errorf("write: %w", err))
			return
		}
	}
	c.outputSentBytes = 0
	c.output = c.output[:0]
	if c.writeBlocked {
		c.writeBlocked = false
		c.updateRegisteredEvents()
	}
	c.handleOutputSent()
}

// afterFlush follows when all output has been sent.
func (c *Conn) handleOutputSent() {
	if c.state == stateClosed {
		return
	}
	if c.state.discardsInput() {
		c.shutdownWrite()
		return
	}
	c.handler.Drained(c)
	if c.UnsentBytes() == 0 && !c.flushQueued {
		c.releaseOutputBuffer()
	}
}

// waitWritable waits for the system to take output again, holding what is left in as little memory as it needs.
func (c *Conn) waitWritable() {
	if !c.writeBlocked {
		c.writeBlocked = true
		c.updateRegisteredEvents()
	}
	if c.outputSentBytes > minSentBytesToCompact && c.outputSentBytes > len(c.output)/2 {
		c.output = c.output[:copy(c.output, c.output[c.outputSentBytes:])]
		c.outputSentBytes = 0
	}
	left := c.UnsentBytes()
	if cap(c.output) > 2*left+maxUnusedOutputBytes {
		smaller := append(make([]byte, 0, left), c.output[c.outputSentBytes:]...)
		c.releaseOutputBuffer()
		c.output = smaller
		c.outputSentBytes = 0
	}
}
