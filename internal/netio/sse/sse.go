// Package sse decodes server-sent events (media type text/event-stream, defined by the WHATWG HTML
// specification). The input stream may be passed to the decoder in pieces that are split at any byte.
//
// The decoder turns bytes into events without any I/O. It uses neither sockets nor a clock, and the package
// imports no other package of this module. An event that is still incomplete at the end of the stream is
// discarded.
package sse

import (
	"errors"
	"strings"
)

const (
	// DefaultMaxEventBytes is the default limit on the size of one event, including its field names.
	DefaultMaxEventBytes = 4 << 20

	// maxKeptLineBytes is the largest capacity of the line buffer that the decoder keeps for the next
	// event. A larger buffer is released.
	maxKeptLineBytes = 64 << 10
	byteOrderMark    = "\xef\xbb\xbf"
	defaultEventType = "message"
	commentPrefix    = ':'
	fieldSeparator   = ":"
	// fieldValuePrefix is the optional space after the colon of a field. It is removed once from the
	// front of a field value.
	fieldValuePrefix = " "
)

// ErrTooLarge is returned when an event exceeds the size limit. The decoder cannot continue after this
// error.
var ErrTooLarge = errors.New("event stream: event too large")

// Event is one server-sent event.
type Event struct {
	// LastEventID is the most recent value of the id field in the stream. It applies to all later events
	// until another id field follows.
	LastEventID string
	// Type is the value of the event field, or "message" if the event has no such field.
	Type string
	Data string
}

// Decoder splits a stream into events. The zero value is ready to use.
type Decoder struct {
	// MaxEventBytes limits the size of one event. If it is 0, DefaultMaxEventBytes applies.
	MaxEventBytes int
	// CommentLines counts the comment lines that the decoder has skipped.
	CommentLines uint64

	// The following fields describe the whole stream.

	// bomBytesMatched counts the bytes at the start of the stream that match a byte order mark.
	bomBytesMatched int
	// bomChecked reports that the start of the stream has been checked for a byte order mark.
	bomChecked bool
	// skipNextLF reports that the last byte was a carriage return, which ended a line. If a line feed
	// follows, it belongs to the same line end and is skipped.
	skipNextLF  bool
	lastEventID string
	err         error

	// The following fields describe the event that is being decoded.

	line      []byte
	data      strings.Builder
	hasData   bool
	eventType string
	// eventBytes is the number of bytes of the event that have been read, not counting line ends and
	// comment lines.
	eventBytes int
}

// Write decodes the next bytes of the stream and calls emit with each event that they complete. After an
// error, every further call returns the same error.
func (d *Decoder) Write(b []byte, emit func(Event)) error {
	if d.err != nil {
		return d.err
	}
	limit := d.MaxEventBytes
	if limit <= 0 {
		limit = DefaultMaxEventBytes
	}
	for _, c := range b {
		if !d.bomChecked && d.matchByteOrderMark(c) {
			continue
		}
		if d.skipNextLF {
			d.skipNextLF = false
			if c == '\n' {
				continue
			}
		}
		if c == '\n' || c == '\r' {
			d.skipNextLF = c == '\r'
			d.processLine(emit)
			continue
		}
		d.eventBytes++
		if d.eventBytes > limit {
			d.fail(ErrTooLarge)
			return d.err
		}
		d.line = append(d.line, c)
	}
	return nil
}

// fail records the error that ends decoding and releases the buffers.
func (d *Decoder) fail(err error) {
	d.err = err
	d.line = nil
	d.data = strings.Builder{}
}

// matchByteOrderMark compares c, a byte at the start of the stream, with the next byte of a byte order
// mark. If the bytes are equal, it returns true and the caller skips c. If they differ, the stream has no
// byte order mark. The bytes that have matched so far then belong to the first line, and matchByteOrderMark
// returns false.
func (d *Decoder) matchByteOrderMark(c byte) bool {
	if c == byteOrderMark[d.bomBytesMatched] {
		d.bomBytesMatched++
		d.bomChecked = d.bomBytesMatched == len(byteOrderMark)
		return true
	}
	d.bomChecked = true
	d.line = append(d.line, byteOrderMark[:d.bomBytesMatched]...)
	return false
}

func (d *Decoder) processLine(emit func(Event)) {
	line := d.line
	d.line = d.line[:0]
	switch {
	case len(line) == 0:
		d.dispatchEvent(emit)
	case line[0] == commentPrefix:
		d.CommentLines++
		// Comment lines do not count toward the size limit, because many short comment lines do not make an
		// event large.
		d.eventBytes -= len(line)
	default:
		name, value, _ := strings.Cut(string(line), fieldSeparator)
		d.applyField(name, strings.TrimPrefix(value, fieldValuePrefix))
	}
}

// dispatchEvent passes the decoded event to emit if it has data, and resets the decoder for the next event.
func (d *Decoder) dispatchEvent(emit func(Event)) {
	if d.hasData {
		event := Event{LastEventID: d.lastEventID, Type: d.eventType, Data: d.data.String()}
		if event.Type == "" {
			event.Type = defaultEventType
		}
		emit(event)
	}
	d.data = strings.Builder{}
	d.hasData = false
	d.eventType = ""
	d.eventBytes = 0
	if cap(d.line) > maxKeptLineBytes {
		d.line = nil
	}
}

// applyField applies a field to the event that is being decoded. Unknown fields are ignored.
func (d *Decoder) applyField(name, value string) {
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
			d.lastEventID = value
		}
	}
}
