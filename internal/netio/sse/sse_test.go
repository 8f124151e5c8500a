package sse

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// decode feeds a stream in pieces of the given size and returns the events, and the error that ended it.
func decode(decoder *Decoder, stream string, piece int) (events []Event, err error) {
	for len(stream) > 0 && err == nil {
		size := min(piece, len(stream))
		err = decoder.Write([]byte(stream[:size]), func(event Event) { events = append(events, event) })
		stream = stream[size:]
	}
	return events, err
}

func TestStreams(t *testing.T) {
	for _, test := range []struct {
		name, in string
		want     []Event
	}{
		{"one", "id: 4\ndata: a\n\n", []Event{{"4", "message", "a"}}},
		{"all line ends", "data: a\r\n\r\ndata: b\r\rdata: c\n\n", []Event{{"", "message", "a"}, {"", "message", "b"}, {"", "message", "c"}}},
		{"several lines", "data: a\ndata:b\ndata\n\n", []Event{{"", "message", "a\nb\n"}}},
		{"byte order mark", "\xef\xbb\xbfdata: a\n\n", []Event{{"", "message", "a"}}},
		{"half a mark", "\xef\xbbdata: a\n\ndata: b\n\n", []Event{{"", "message", "b"}}},
		{"comments", ": hello\n\n:\ndata: a\n: x\n\n", []Event{{"", "message", "a"}}},
		{"type", "event: roster\ndata: a\n\ndata: b\n\n", []Event{{"", "roster", "a"}, {"", "message", "b"}}},
		{"id stays", "id: 7\ndata: a\n\ndata: b\n\nid\ndata: c\n\n", []Event{{"7", "message", "a"}, {"7", "message", "b"}, {"", "message", "c"}}},
		{"id with a zero", "id: 7\ndata: a\n\nid: 8\x00\ndata: b\n\n", []Event{{"7", "message", "a"}, {"7", "message", "b"}}},
		{"one space only", "data:  a\n\n", []Event{{"", "message", " a"}}},
		{"no data, no event", "id: 9\nevent: x\n\n", nil},
		{"unknown field", "retry: 10\nfoo: bar\ndata: a\n\n", []Event{{"", "message", "a"}}},
		{"broken in the middle", "data: a\n\nid: 2\ndata: {\"no\":", []Event{{"", "message", "a"}}},
		{"without the empty line", "data: a\n", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			for piece := 1; piece <= len(test.in); piece++ {
				got, err := decode(&Decoder{}, test.in, piece)
				if err != nil || !reflect.DeepEqual(got, test.want) {
					t.Fatalf("in pieces of %d: %v, got %q, want %q", piece, err, got, test.want)
				}
			}
		})
	}
}

func TestLimit(t *testing.T) {
	comments := strings.Repeat(": a comment of some length\n", 50) + "data: a\n\n"
	if got, err := decode(&Decoder{MaxEventBytes: 100}, comments, 7); err != nil || len(got) != 1 {
		t.Fatalf("comments are no large event: %v, %d events", err, len(got))
	}
	for name, stream := range map[string]string{
		"one long line": "data: " + strings.Repeat("x", 200),
		"many lines":    strings.Repeat("data: abc\n", 20),
	} {
		t.Run(name, func(t *testing.T) {
			decoder := &Decoder{MaxEventBytes: 100}
			if _, err := decode(decoder, stream, 9); !errors.Is(err, ErrTooLarge) {
				t.Fatalf("got %v, want %v", err, ErrTooLarge)
			}
			err := decoder.Write([]byte("data: a\n\n"), func(Event) { t.Fatal("event after the end") })
			if !errors.Is(err, ErrTooLarge) {
				t.Fatalf("after the end: got %v, want %v", err, ErrTooLarge)
			}
		})
	}
}

// FuzzStream: pieces make no difference, and the decoder holds no more than its limit.
func FuzzStream(f *testing.F) {
	f.Add("id: 1\ndata: {}\r\n\r\n: c\n\ndata: x\rdata: y\r\r", 3)
	f.Fuzz(func(t *testing.T, in string, piece int) {
		piece = max(1, piece%16)
		inPieces := &Decoder{MaxEventBytes: 256}
		whole, errWhole := decode(&Decoder{MaxEventBytes: 256}, in, max(len(in), 1))
		pieces, errPieces := decode(inPieces, in, piece)
		if !errors.Is(errPieces, errWhole) || !reflect.DeepEqual(whole, pieces) {
			t.Fatalf("whole %q, %v; pieces %q, %v", whole, errWhole, pieces, errPieces)
		}
		if held := len(inPieces.line) + inPieces.data.Len(); held > 2*256 {
			t.Fatalf("holds %d bytes", held)
		}
	})
}
