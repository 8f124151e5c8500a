// Package sse reads server-sent events (text/event-stream, by the WHATWG HTML specification) from pieces of any size.
//
// It is pure: bytes in, events out, no socket and no clock, and it imports nothing of the project. An event that the stream ends in the
// middle of is never given out.
package sse

import (
	"errors"
	"strings"
)

// DefaultMaxEvent is how many bytes one event may take, its field names included.
const DefaultMaxEvent = 4 << 20

// ErrTooLarge ends a stream whose event does not end within the limit.
var ErrTooLarge = errors.New("event stream: event too large")

// Event is one message of the stream.
type Event struct {
	ID   string // the last id that the stream has told, which stays until another is told
	Type string // "message" if none was told
	Data string
}

// Decoder takes a stream apart. The zero value is ready to use.
type Decoder struct {
	// MaxEvent bounds one event in bytes; DefaultMaxEvent if 0.
	MaxEvent int
	// Comments counts the comment lines.
	Comments uint64

	line       []byte
	data       strings.Builder
	hasData    bool // the event has data
	eventType  string
	lastID     string
	eventSize  int
	started    bool
	afterCR    bool
	bomMatched int
	err        error
}

// Write takes the next piece and calls emit for each event that it completes. After an error it returns that error always.
func (d *Decoder) Write(b []byte, emit func(Event)) error {
	limit := d.MaxEvent
	if limit <= 0 {
		limit = DefaultMaxEvent
	}
	if d.err != nil {
		return d.err
	}
	for _, c := range b {
		// A byte order mark at the very start is skipped.
		if !d.started {
			const mark = "\xef\xbb\xbf"
			if c == mark[d.bomMatched] {
				if d.bomMatched++; d.bomMatched == len(mark) {
					d.started = true
				}
				continue
			}
			d.started = true
			d.line = append(d.line, mark[:d.bomMatched]...)
		}
		if d.afterCR {
			d.afterCR = false
			if c == '\n' {
				continue
			}
		}
		if c == '\n' || c == '\r' {
			d.afterCR = c == '\r'
			d.endLine(emit)
			continue
		}
		if d.eventSize++; d.eventSize > limit {
			d.err = ErrTooLarge
			d.line, d.data = nil, strings.Builder{}
			return d.err
		}
		d.line = append(d.line, c)
	}
	return nil
}

func (d *Decoder) endLine(emit func(Event)) {
	line := d.line
	d.line = d.line[:0]
	if len(line) == 0 {
		if d.hasData {
			event := Event{ID: d.lastID, Type: d.eventType, Data: d.data.String()}
			if event.Type == "" {
				event.Type = "message"
			}
			emit(event)
		}
		d.data, d.hasData, d.eventType, d.eventSize = strings.Builder{}, false, "", 0
		if cap(d.line) > 64<<10 { // one large event does not hold its memory for good
			d.line = nil
		}
		return
	}
	if line[0] == ':' {
		d.Comments++
		d.eventSize -= len(line) // a stream of comments is no large event
		return
	}
	name, value, _ := strings.Cut(string(line), ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "data":
		if d.hasData {
			d.data.WriteByte('\n')
		}
		d.data.WriteString(value)
		d.hasData = true
	case "event":
		d.eventType = value
	case "id":
		if !strings.ContainsRune(value, 0) {
			d.lastID = value
		}
	}
}
