//go:build linux

package server

import (
	"bytes"

	"heathshed/internal/control/clock"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/platform/protocol"
)

// maxLinesPerIteration is the maximum number of lines of one connection that are handled in one iteration of
// the event loop. The limit keeps a connection with many lines from delaying the others.
const maxLinesPerIteration = 64

// lineCost states whether a line counts towards maxLinesPerIteration.
type lineCost uint8

const (
	lineCounts lineCost = iota
	lineExempt
)

// lineHandler handles one line without its line feed. If it returns an error, the connection is closed.
type lineHandler func(line []byte) (lineCost, error)

// lineReader reads lines from connections and limits the number of lines per connection and iteration of the
// event loop.
type lineReader struct {
	loop     *eventloop.Loop
	deferred []*eventloop.Conn // deferred lists connections whose reading is paused until the next iteration of the event loop.
}

// readLines calls handle for each complete line of data, without its line feed, until maxLinesPerIteration
// lines have counted. It defers the remaining lines to the next iteration of the event loop. It returns the
// number of bytes consumed and either the error of handle or protocol.ErrTooLong for a line that is too long.
func (reader *lineReader) readLines(conn *eventloop.Conn, data []byte, handle lineHandler) (int, error) {
	consumed := 0
	for handled := 0; handled < maxLinesPerIteration; {
		end := bytes.IndexByte(data[consumed:], '\n')
		if end < 0 {
			if len(data)-consumed >= protocol.MaxLineBytes {
				return consumed, protocol.ErrTooLong
			}
			return consumed, nil
		}
		cost, err := handle(data[consumed : consumed+end])
		if err != nil {
			return consumed, err
		}
		consumed += end + 1
		if conn.Closed() {
			return consumed, nil
		}
		if cost == lineCounts {
			handled++
		}
	}
	if consumed < len(data) {
		reader.deferReading(conn)
	}
	return consumed, nil
}

// deferReading pauses reading from a connection until the next iteration of the event loop.
func (reader *lineReader) deferReading(conn *eventloop.Conn) {
	conn.SetReadPaused(true)
	reader.deferred = append(reader.deferred, conn)
	if len(reader.deferred) == 1 {
		reader.loop.After(0, reader.resumeReading)
	}
}

// resumeReading resumes reading from the deferred connections.
func (reader *lineReader) resumeReading() {
	deferred := reader.deferred
	reader.deferred = nil
	for _, conn := range deferred {
		conn.SetReadPaused(false)
	}
}

// nextIncompleteSince returns when the incomplete message at the end of the unread bytes began, or zero if
// there is none. The arguments are the previous value, the current time, and how many of the unread bytes
// were consumed.
func nextIncompleteSince(previous, now clock.Instant, consumed, unread int) clock.Instant {
	switch {
	case consumed == unread:
		return 0
	case consumed > 0 || previous.IsZero():
		return now
	}
	return previous
}
