//go:build linux

package eventloop

import (
	"fmt"
	"io"

	"golang.org/x/sys/unix"
)

const (
	// maxReadNowReads limits the reads in one call of ReadNow. Without it, a peer that sends as fast as the
	// loop reads could keep ReadNow from returning.
	maxReadNowReads = 64

	// minSentBytesToCompact is the number of sent bytes in the output buffer above which the unsent rest
	// may be moved to the front of the buffer.
	minSentBytesToCompact = 64 << 10

	// maxUnusedOutputBytes limits the memory that an output buffer wastes while the peer reads slowly. If
	// the capacity exceeds twice the number of unsent bytes by more than this, the buffer is replaced by a
	// smaller one.
	maxUnusedOutputBytes = 4 << 10
)

// ReadNow reads what the socket has received by now, including a close by the peer, and passes it to the
// handler. The loop itself reads only what epoll reported at the start of the iteration. ReadNow does
// nothing while Handler.Data of this connection is running or reading is paused.
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

// readOnce reads at most readBufferBytes from the socket, passes them to the handler, and reports whether
// the socket may hold more.
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

// deliverInput passes the unconsumed bytes, followed by the received ones, to the handler and keeps those
// that the handler does not consume. If the handler consumes all bytes, the input buffer is released,
// because an idle connection should hold no input buffer.
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
		c.consumedBytes += uint64(consumed)
		c.keepUnconsumed(pending[consumed:], buffered)
		if len(c.unconsumedInput) > c.MaxInputBytes {
			c.SetReadPaused(true)
		}
	}
	if c.peerClosed && !c.readPaused && !c.state.discardsInput() {
		c.closeWithError(io.EOF)
	}
}

// keepUnconsumed stores the bytes that the handler did not consume. buffered tells that these bytes are in
// the input buffer of the connection already, rather than in the read buffer of the loop.
func (c *Conn) keepUnconsumed(unconsumed []byte, buffered bool) {
	switch {
	case len(unconsumed) == 0:
		c.unconsumedInput = nil
	case buffered:
		c.unconsumedInput = c.unconsumedInput[:copy(c.unconsumedInput, unconsumed)]
	default:
		c.unconsumedInput = append([]byte(nil), unconsumed...)
	}
}

// Write queues a copy of b as output. The loop sends queued output at the end of the iteration.
func (c *Conn) Write(b []byte) {
	if !c.state.acceptsOutput() {
		return
	}
	c.output = append(c.OutputBuffer(), b...)
	c.queueFlush()
}

// OutputBuffer returns the buffer of queued output for the caller to append to. The caller must pass the
// extended buffer to CommitOutput, or pass it to DiscardOutput if it appended nothing.
func (c *Conn) OutputBuffer() []byte {
	if spareBuffers := c.loop.spareOutputBuffers; c.output == nil && len(spareBuffers) > 0 {
		last := len(spareBuffers) - 1
		c.output = spareBuffers[last]
		c.loop.spareOutputBuffers = spareBuffers[:last]
	}
	return c.output
}

// CommitOutput queues the output that was appended to the buffer from OutputBuffer.
func (c *Conn) CommitOutput(b []byte) {
	if !c.state.acceptsOutput() {
		return
	}
	c.output = b
	c.queueFlush()
}

// DiscardOutput returns the buffer from OutputBuffer when nothing was appended to it.
func (c *Conn) DiscardOutput(b []byte) {
	if !c.state.acceptsOutput() {
		return
	}
	c.output = b
	if len(b) == 0 && !c.flushQueued {
		c.releaseOutputBuffer()
	}
}

// releaseOutputBuffer returns the output buffer to the loop, which reuses it for other connections. An idle
// connection should hold no output buffer.
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

// Flush sends queued output now rather than at the end of the iteration. A caller that writes much output
// to many connections uses Flush to avoid holding all of that output in memory at once.
func (c *Conn) Flush() {
	if c.state == stateClosed || c.state.isDialing() {
		return
	}
	if !c.writeBlocked && c.UnsentBytes() > 0 {
		c.writeQueuedOutput()
	}
}

// writeQueuedOutput writes queued output to the socket until all is written or the socket send buffer is
// full.
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

// handleOutputSent is called when all queued output has been written to the socket.
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

// waitWritable makes the loop continue to write when the socket is writable again, and shrinks the output
// buffer if most of its memory is unused.
func (c *Conn) waitWritable() {
	if !c.writeBlocked {
		c.writeBlocked = true
		c.updateRegisteredEvents()
	}
	if c.outputSentBytes > minSentBytesToCompact && c.outputSentBytes > len(c.output)/2 {
		c.output = c.output[:copy(c.output, c.output[c.outputSentBytes:])]
		c.outputSentBytes = 0
	}
	unsent := c.UnsentBytes()
	if cap(c.output) > 2*unsent+maxUnusedOutputBytes {
		smaller := append(make([]byte, 0, unsent), c.output[c.outputSentBytes:]...)
		c.releaseOutputBuffer()
		c.output = smaller
		c.outputSentBytes = 0
	}
}
