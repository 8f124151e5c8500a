package sse

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

func decode(d *Decoder, in string, piece int) (events []Event, err error) {
	for len(in) > 0 && err == nil {
		n := min(piece, len(in))
		err = d.Write([]byte(in[:n]), func(e Event) { events = append(events, e) })
		in = in[n:]
	}
	return events, err
}

func TestStreams(t *testing.T) {
	for _, c := range []struct {
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
		for piece := 1; piece <= len(c.in); piece++ {
			got, err := decode(&Decoder{}, c.in, piece)
			if err != nil || !reflect.DeepEqual(got, c.want) {
				t.Errorf("%s in pieces of %d: %v, got %q, want %q", c.name, piece, err, got, c.want)
				break
			}
		}
	}
}

func TestLimit(t *testing.T) {
	d := &Decoder{MaxEvent: 100}
	if got, err := decode(d, strings.Repeat(": a comment of some length\n", 50)+"data: a\n\n", 7); err != nil || len(got) != 1 {
		t.Fatalf("comments are no large event: %v, %d events", err, len(got))
	}
	for _, in := range []string{"data: " + strings.Repeat("x", 200), strings.Repeat("data: abc\n", 20)} {
		d := &Decoder{MaxEvent: 100}
		if _, err := decode(d, in, 9); !errors.Is(err, ErrTooLarge) {
			t.Fatalf("%v", err)
		}
		if err := d.Write([]byte("data: a\n\n"), func(Event) { t.Fatal("event after the end") }); !errors.Is(err, ErrTooLarge) {
			t.Fatalf("%v", err)
		}
	}
}

// FuzzStream: pieces make no difference, and the decoder holds no more than its limit.
func FuzzStream(f *testing.F) {
	f.Add("id: 1\ndata: {}\r\n\r\n: c\n\ndata: x\rdata: y\r\r", 3)
	f.Fuzz(func(t *testing.T, in string, piece int) {
		piece = max(1, piece%16)
		a, b := &Decoder{MaxEvent: 256}, &Decoder{MaxEvent: 256}
		whole, errWhole := decode(a, in, max(len(in), 1))
		pieces, errPieces := decode(b, in, piece)
		if !errors.Is(errPieces, errWhole) || !reflect.DeepEqual(whole, pieces) {
			t.Fatalf("whole %q, %v; pieces %q, %v", whole, errWhole, pieces, errPieces)
		}
		if held := len(b.line) + b.data.Len(); held > 2*256 {
			t.Fatalf("holds %d bytes", held)
		}
	})
}
