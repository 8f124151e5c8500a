// Package sse decodes server-sent events (text/event-stream, as the WHATWG HTML specification has them) from pieces of any
// size.
//
// It is pure: it takes bytes and gives events, knows neither sockets nor time, and imports nothing of the project. An event
// that the end of the stream cuts short is never given out.
package sse

import (
	"errors"
	"strings"
)

const (
	// DefaultMaxEventBytes is how many bytes one event may take, its field names included.
	DefaultMaxEventBytes = 4 << 20

	maxKeptLine     = 64 << 10 // bytes of the line buffer that is kept after an event
	byteOrderMark   = "\xef\xbb\xbf"
	defaultType     = "message"
	commentPrefix   = ':'
	fieldSeparator  = ":"
	fieldValueSpace = " " // one is dropped from the front of a value
)

// ErrTooLarge ends a stream one of whose events does not end within the limit.
var ErrTooLarge = errors.New("event stream: event too large")

// Event is one message of the stream.
type Event struct {
	LastEventID string // the last that the stream has set; it holds until another is set
	Type        string // "message" if none was set
	Data        string
}

// Decoder splits a stream into events. The zero value is ready to use.
type Decoder struct {
	// MaxEventBytes bounds one event in bytes; 0 is DefaultMaxEventBytes.
	MaxEventBytes int
	// CommentLines counts the comment lines.
	CommentLines uint64

	// Of the stream.
	bomMatched int  // bytes of a byte order mark so far
	started    bool // a byte order mark, if any, is behind
	afterCR    bool // a line feed now belongs to the line end before it
	lastID     string
	err        error

	// Of the present event.
	line      []byte
	data      strings.Builder
	hasData   bool
	eventType string
	eventSize int // bytes, without comments
}

// Write decodes the next piece and calls emit for each event that it completes. Once there is an error, every call returns
// it.
func (d *Decoder) Write(b []byte, emit func(Event)) error {
	if d.err != nil {
		return d.err
	}
	limit := d.MaxEventBytes
	if limit <= 0 {
		limit = DefaultMaxEventBytes
	}
	for _, c := range b {
		if !d.started && d.matchByteOrderMark(c) {
			continue
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
		d.eventSize++
		if d.eventSize > limit {
			d.fail(ErrTooLarge)
			return d.err
		}
		d.line = append(d.line, c)
	}
	return nil
}

// fail ends the stream and releases its buffers.
func (d *Decoder) fail(err error) {
	d.err = err
	d.line = nil
	d.data = strings.Builder{}
}

// matchByteOrderMark reports whether c continues a byte order mark at the very start of the stream, which is skipped. If
// not, what looked like one is the start of a line.
func (d *Decoder) matchByteOrderMark(c byte) bool {
	if c == byteOrderMark[d.bomMatched] {
		d.bomMatched++
		d.started = d.bomMatched == len(byteOrderMark)
		return true
	}
	d.started = true
	d.line = append(d.line, byteOrderMark[:d.bomMatched]...)
	return false
}

func (d *Decoder) endLine(emit func(Event)) {
	line := d.line
	d.line = d.line[:0]
	switch {
	case len(line) == 0:
		d.endEvent(emit)
	case line[0] == commentPrefix:
		d.CommentLines++
		d.eventSize -= len(line) // a stream of comments is not a large event
	default:
		name, value, _ := strings.Cut(string(line), fieldSeparator)
		d.setField(name, strings.TrimPrefix(value, fieldValueSpace))
	}
}

// endEvent gives the event out if it has data, and begins the next.
func (d *Decoder) endEvent(emit func(Event)) {
	if d.hasData {
		event := Event{LastEventID: d.lastID, Type: d.eventType, Data: d.data.String()}
		if event.Type == "" {
			event.Type = defaultType
		}
		emit(event)
	}
	d.data = strings.Builder{}
	d.hasData = false
	d.eventType = ""
	d.eventSize = 0
	if cap(d.line) > maxKeptLine {
		d.line = nil
	}
}

// setField applies a field of the present event. Unknown fields are ignored.
func (d *Decoder) setField(name, value string) {
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
