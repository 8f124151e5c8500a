//go:build linux

package server

import (
	"bytes"

	"heathshed/internal/control/clock"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/platform/protocol"
)

// maxLinesPerTurn is how many lines of one connection are handled in one iteration of the loop before the others have their turn.
const maxLinesPerTurn = 64

// lineCost says whether a line counts towards maxLinesPerTurn.
type lineCost uint8

const (
	lineCounts lineCost = iota
	lineFree
)

// lineHandler handles one line, without its newline. An error ends the connection.
type lineHandler func(line []byte) (lineCost, error)

// lineReader shares the loop among connections that send many lines.
type lineReader struct {
	loop     *eventloop.Loop
	deferred []*eventloop.Conn // reading is paused until the next iteration of the loop
}

// readLines calls handle for each complete line of data, without its newline, until maxLinesPerTurn of them have counted; the rest is
// deferred to the next iteration of the loop. It returns how many bytes were consumed. The error is that of handle, or
// protocol.ErrTooLong for a line that is longer than the protocol allows.
func (reader *lineReader) readLines(conn *eventloop.Conn, data []byte, handle lineHandler) (int, error) {
	consumed := 0
	for handled := 0; handled < maxLinesPerTurn; {
		end := bytes.IndexByte(data[consumed:], '\n')
		if end < 0 {
			if len(data)-consumed >= protocol.MaxLine {
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

// deferReading pauses a connection until the next iteration of the loop.
func (reader *lineReader) deferReading(conn *eventloop.Conn) {
	conn.SetReadPaused(true)
	reader.deferred = append(reader.deferred, conn)
	if len(reader.deferred) == 1 {
		reader.loop.After(0, reader.resumeReading)
	}
}

// resumeReading resumes the connections that were deferred.
func (reader *lineReader) resumeReading() {
	deferred := reader.deferred
	reader.deferred = nil
	for _, conn := range deferred {
		conn.SetReadPaused(false)
	}
}

// nextIncompleteSince returns since when the last message on a connection has been incomplete, zero if it is not, after consumed of the given
// number of unread bytes were consumed. previous is the value before.
func nextIncompleteSince(previous, now clock.Instant, consumed, unread int) clock.Instant {
	switch {
	case consumed == unread:
		return 0
	case consumed > 0 || previous.IsZero():
		return now
	}
	return previous
}
