package sse

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// decode writes the stream to the decoder in pieces of the given size. It returns the decoded events and
// the error that ended decoding.
func decode(decoder *Decoder, stream string, pieceBytes int) (events []Event, err error) {
	for len(stream) > 0 && err == nil {
		size := min(pieceBytes, len(stream))
		err = decoder.Write([]byte(stream[:size]), func(event Event) { events = append(events, event) })
		stream = stream[size:]
	}
	return events, err
}

func TestStreams(t *testing.T) {
	for _, test := range []struct {
		name, stream string
		want         []Event
	}{
		{"event with an id and one line of data", "id: 4\ndata: a\n\n", []Event{{"4", "message", "a"}}},
		{"line ends CRLF, CR and LF", "data: a\r\n\r\ndata: b\r\rdata: c\n\n", []Event{{"", "message", "a"}, {"", "message", "b"}, {"", "message", "c"}}},
		{"several data lines are joined by line feeds", "data: a\ndata:b\ndata\n\n", []Event{{"", "message", "a\nb\n"}}},
		{"byte order mark is skipped", "\xef\xbb\xbfdata: a\n\n", []Event{{"", "message", "a"}}},
		{"incomplete byte order mark belongs to the field name", "\xef\xbbdata: a\n\ndata: b\n\n", []Event{{"", "message", "b"}}},
		{"comment lines are ignored", ": hello\n\n:\ndata: a\n: x\n\n", []Event{{"", "message", "a"}}},
		{"event type applies to one event only", "event: snapshot\ndata: a\n\ndata: b\n\n", []Event{{"", "snapshot", "a"}, {"", "message", "b"}}},
		{"id applies to later events until it is set again", "id: 7\ndata: a\n\ndata: b\n\nid\ndata: c\n\n", []Event{{"7", "message", "a"}, {"7", "message", "b"}, {"", "message", "c"}}},
		{"id that contains a NUL byte is ignored", "id: 7\ndata: a\n\nid: 8\x00\ndata: b\n\n", []Event{{"7", "message", "a"}, {"7", "message", "b"}}},
		{"only one leading space of a value is removed", "data:  a\n\n", []Event{{"", "message", " a"}}},
		{"no event is emitted without a data field", "id: 9\nevent: x\n\n", nil},
		{"unknown fields are ignored", "retry: 10\nfoo: bar\ndata: a\n\n", []Event{{"", "message", "a"}}},
		{"stream ends within a line of the second event", "data: a\n\nid: 2\ndata: {\"no\":", []Event{{"", "message", "a"}}},
		{"stream ends before the empty line that ends the event", "data: a\n", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			for pieceBytes := 1; pieceBytes <= len(test.stream); pieceBytes++ {
				got, err := decode(&Decoder{}, test.stream, pieceBytes)
				if err != nil || !reflect.DeepEqual(got, test.want) {
					t.Fatalf("decoded in pieces of %d bytes: error %v, events %q; want no error and events %q", pieceBytes, err, got, test.want)
				}
			}
		})
	}
}

func TestLimit(t *testing.T) {
	comments := strings.Repeat(": a comment of some length\n", 50) + "data: a\n\n"
	if got, err := decode(&Decoder{MaxEventBytes: 100}, comments, 7); err != nil || len(got) != 1 {
		t.Fatalf("1350 bytes of comments with a limit of 100 bytes: error %v, %d events; want no error and 1 event", err, len(got))
	}
	for name, stream := range map[string]string{
		"one long data line":    "data: " + strings.Repeat("x", 200),
		"many short data lines": strings.Repeat("data: abc\n", 20),
	} {
		t.Run(name, func(t *testing.T) {
			decoder := &Decoder{MaxEventBytes: 100}
			if _, err := decode(decoder, stream, 9); !errors.Is(err, ErrTooLarge) {
				t.Fatalf("event over the limit: error %v, want %v", err, ErrTooLarge)
			}
			err := decoder.Write([]byte("data: a\n\n"), func(Event) { t.Fatal("an event was emitted after decoding had failed") })
			if !errors.Is(err, ErrTooLarge) {
				t.Fatalf("write after decoding had failed: error %v, want %v", err, ErrTooLarge)
			}
		})
	}
}

// FuzzStream checks that the events do not depend on how the stream is split, and that the decoder buffers
// at most twice its size limit.
func FuzzStream(f *testing.F) {
	f.Add("id: 1\ndata: {}\r\n\r\n: c\n\ndata: x\rdata: y\r\r", 3)
	f.Fuzz(func(t *testing.T, stream string, pieceBytes int) {
		pieceBytes = max(1, pieceBytes%16)
		splitDecoder := &Decoder{MaxEventBytes: 256}
		unsplitEvents, unsplitErr := decode(&Decoder{MaxEventBytes: 256}, stream, max(len(stream), 1))
		splitEvents, splitErr := decode(splitDecoder, stream, pieceBytes)
		if !errors.Is(splitErr, unsplitErr) || !reflect.DeepEqual(unsplitEvents, splitEvents) {
			t.Fatalf("decoded in one piece: events %q, error %v; decoded in pieces: events %q, error %v", unsplitEvents, unsplitErr, splitEvents, splitErr)
		}
		if buffered := len(splitDecoder.line) + splitDecoder.data.Len(); buffered > 2*256 {
			t.Fatalf("the decoder buffers %d bytes, want at most 512", buffered)
		}
	})
}
