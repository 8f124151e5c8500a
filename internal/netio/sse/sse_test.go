package sse

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// decode writes the stream to the decoder in pieces of pieceBytes bytes. It returns the decoded events and
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
		{"event with an id field and one data field", "id: 4\ndata: a\n\n", []Event{{"4", "message", "a"}}},
		{"lines may end with CRLF, CR or LF", "data: a\r\n\r\ndata: b\r\rdata: c\n\n", []Event{{"", "message", "a"}, {"", "message", "b"}, {"", "message", "c"}}},
		{"values of several data fields are joined by line feeds", "data: a\ndata:b\ndata\n\n", []Event{{"", "message", "a\nb\n"}}},
		{"byte order mark is skipped", "\xef\xbb\xbfdata: a\n\n", []Event{{"", "message", "a"}}},
		{"incomplete byte order mark is a part of the first field name", "\xef\xbbdata: a\n\ndata: b\n\n", []Event{{"", "message", "b"}}},
		{"comment lines are ignored", ": hello\n\n:\ndata: a\n: x\n\n", []Event{{"", "message", "a"}}},
		{"event type applies to one event only", "event: snapshot\ndata: a\n\ndata: b\n\n", []Event{{"", "snapshot", "a"}, {"", "message", "b"}}},
		{"id field applies to later events until another id field follows", "id: 7\ndata: a\n\ndata: b\n\nid\ndata: c\n\n", []Event{{"7", "message", "a"}, {"7", "message", "b"}, {"", "message", "c"}}},
		{"id field that contains a NUL byte is ignored", "id: 7\ndata: a\n\nid: 8\x00\ndata: b\n\n", []Event{{"7", "message", "a"}, {"7", "message", "b"}}},
		{"only one leading space of a field value is removed", "data:  a\n\n", []Event{{"", "message", " a"}}},
		{"event without a data field is not emitted", "id: 9\nevent: x\n\n", nil},
		{"unknown fields are ignored", "retry: 10\nfoo: bar\ndata: a\n\n", []Event{{"", "message", "a"}}},
		{"event that is incomplete at the end of the stream is not emitted", "data: a\n\nid: 2\ndata: {\"no\":", []Event{{"", "message", "a"}}},
		{"event without the empty line that ends it is not emitted", "data: a\n", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			for pieceBytes := 1; pieceBytes <= len(test.stream); pieceBytes++ {
				got, err := decode(&Decoder{}, test.stream, pieceBytes)
				if err != nil || !reflect.DeepEqual(got, test.want) {
					t.Fatalf("decoding the stream in pieces of %d bytes: got error %v and events %q; want no error and events %q", pieceBytes, err, got, test.want)
				}
			}
		})
	}
}

func TestLimit(t *testing.T) {
	comments := strings.Repeat(": a comment of some length\n", 50) + "data: a\n\n"
	if got, err := decode(&Decoder{MaxEventBytes: 100}, comments, 7); err != nil || len(got) != 1 {
		t.Fatalf("decoding 1350 bytes of comments and one event with a limit of 100 bytes: got error %v and %d events; want no error and 1 event", err, len(got))
	}
	for name, stream := range map[string]string{
		"one data line that exceeds the size limit":            "data: " + strings.Repeat("x", 200),
		"short data lines that together exceed the size limit": strings.Repeat("data: abc\n", 20),
	} {
		t.Run(name, func(t *testing.T) {
			decoder := &Decoder{MaxEventBytes: 100}
			if _, err := decode(decoder, stream, 9); !errors.Is(err, ErrTooLarge) {
				t.Fatalf("decoding an event over the size limit: got error %v, want %v", err, ErrTooLarge)
			}
			err := decoder.Write([]byte("data: a\n\n"), func(Event) { t.Fatal("Write emitted an event after an earlier Write had failed") })
			if !errors.Is(err, ErrTooLarge) {
				t.Fatalf("Write after an earlier Write had failed: got error %v, want %v", err, ErrTooLarge)
			}
		})
	}
}

// FuzzStream checks that the decoded events and the error do not depend on how the stream is split into
// pieces, and that the decoder buffers at most twice its size limit.
func FuzzStream(f *testing.F) {
	f.Add("id: 1\ndata: {}\r\n\r\n: c\n\ndata: x\rdata: y\r\r", 3)
	f.Fuzz(func(t *testing.T, stream string, pieceBytes int) {
		pieceBytes = max(1, pieceBytes%16)
		splitDecoder := &Decoder{MaxEventBytes: 256}
		unsplitEvents, unsplitErr := decode(&Decoder{MaxEventBytes: 256}, stream, max(len(stream), 1))
		splitEvents, splitErr := decode(splitDecoder, stream, pieceBytes)
		if !errors.Is(splitErr, unsplitErr) || !reflect.DeepEqual(unsplitEvents, splitEvents) {
			t.Fatalf("decoding in one piece gives events %q and error %v, but decoding in smaller pieces gives events %q and error %v; want equal results", unsplitEvents, unsplitErr, splitEvents, splitErr)
		}
		if buffered := len(splitDecoder.line) + splitDecoder.data.Len(); buffered > 2*256 {
			t.Fatalf("the decoder buffers %d bytes, want at most 512, which is twice its size limit", buffered)
		}
	})
}
