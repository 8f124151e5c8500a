//go:build linux

package server

import (
	"bytes"

	"heathshed/internal/control/clock"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/platform/protocol"
)

// These constants limit the lines of one client or node connection that are handled in one iteration of the event
// loop. Without a limit, a connection with many lines would delay the other connections.
const (
	maxLinesPerIteration = 64
	// sharedLinesPerIteration is divided among the connections that have more lines than they may.
	sharedLinesPerIteration = 1024
	minLinesPerIteration    = 4
)

// lineAccounting states whether a handled line counts towards maxLinesPerIteration.
type lineAccounting uint8

const (
	countsTowardsLineLimit lineAccounting = iota
	exemptFromLineLimit
)

// lineHandler handles one line without its line feed. If it returns an error, the caller closes the
// connection on which the line arrived.
type lineHandler func(line []byte) (lineAccounting, error)

// lineReader reads lines from client and node connections. It limits the number of lines that are handled per
// connection in one iteration of the event loop.
type lineReader struct {
	loop          *eventloop.Loop
	deferredConns []*eventloop.Conn // deferredConns lists the connections that are not read until the next iteration of the event loop.
	greedyConns   int               // greedyConns is the number of connections that were last deferred.
}

// lineLimit returns the number of lines of one connection that may be handled now. The more connections have more
// lines than they may, the smaller it is, so that those with a single line wait no longer.
func (reader *lineReader) lineLimit() int {
	share := sharedLinesPerIteration / max(reader.greedyConns, 1)
	return min(max(share, minLinesPerIteration), maxLinesPerIteration)
}

// readLines calls handle for each complete line of data, without its line feed. It stops after the number of
// lines that lineLimit allows and defers the remaining lines to the next iteration of the event
// loop. It also stops if handle returns an error, and returns this error. For a line that is too long, it
// returns protocol.ErrTooLong. The first result is the number of bytes consumed.
func (reader *lineReader) readLines(conn *eventloop.Conn, data []byte, handle lineHandler) (int, error) {
	consumedBytes := 0
	limit := reader.lineLimit()
	for handledLines := 0; handledLines < limit; {
		end := bytes.IndexByte(data[consumedBytes:], '\n')
		if end < 0 {
			if len(data)-consumedBytes >= protocol.MaxLineBytes {
				return consumedBytes, protocol.ErrTooLong
			}
			return consumedBytes, nil
		}
		cost, err := handle(data[consumedBytes : consumedBytes+end])
		if err != nil {
			return consumedBytes, err
		}
		consumedBytes += end + 1
		if conn.Closed() {
			return consumedBytes, nil
		}
		if cost == countsTowardsLineLimit {
			handledLines++
		}
	}
	if consumedBytes < len(data) {
		reader.deferReading(conn)
	}
	return consumedBytes, nil
}

// deferReading pauses reading from a connection until the next iteration of the event loop.
func (reader *lineReader) deferReading(conn *eventloop.Conn) {
	conn.SetReadPaused(true)
	reader.deferredConns = append(reader.deferredConns, conn)
	if len(reader.deferredConns) == 1 {
		reader.loop.After(0, reader.resumeReading)
	}
}

// resumeReading resumes reading from the connections that deferReading has paused.
func (reader *lineReader) resumeReading() {
	conns := reader.deferredConns
	reader.deferredConns = nil
	reader.greedyConns = len(conns)
	for _, conn := range conns {
		conn.SetReadPaused(false)
	}
}

// nextIncompleteSince returns when the incomplete message at the end of the input of a connection began to
// arrive, or zero if the input ends with a complete message. previousSince is the previous result of this
// function for the same connection. availableBytes is the number of bytes in the input, and consumedBytes is
// the number of these bytes that were handled as complete lines.
func nextIncompleteSince(previousSince, now clock.Instant, consumedBytes, availableBytes int) clock.Instant {
	switch {
	case consumedBytes == availableBytes:
		return 0
	case consumedBytes > 0 || previousSince.IsZero():
		return now
	}
	return previousSince
}
