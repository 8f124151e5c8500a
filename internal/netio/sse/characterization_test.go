package sse_test

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"heathshed/internal/netio/sse"
	"heathshed/internal/testsupport/goldentest"
)

// TestCharacterization compares the events of fixed streams, split at every position, and of seeded streams with the golden file. See
// package goldentest for how the file is written anew.
func TestCharacterization(t *testing.T) {
	record := goldentest.NewRecorder()
	for i, stream := range streams {
		whole := decode(0, stream)
		for at := range len(stream) + 1 {
			if got := decode(0, stream[:at], stream[at:]); got != whole {
				t.Errorf("stream %d split at %d: got %q, want %q", i, at, got, whole)
			}
		}
		if got := decode(0, singleBytes(stream)...); got != whole {
			t.Errorf("stream %d in single bytes: got %q, want %q", i, got, whole)
		}
		record.Line("stream %d %q", i, whole)
		for limit := 1; limit < 40; limit++ {
			limited := decode(limit, stream) + decode(limit, stream[:len(stream)/2], stream[len(stream)/2:])
			record.Line("stream %d limit %d %x", i, limit, sha256.Sum256([]byte(limited)))
		}
	}
	for seed := uint64(1); seed <= 40; seed++ {
		record.Line("seed %d %x", seed, sha256.Sum256([]byte(decodeRandom(seed))))
	}
	record.Line("%s", defaultLimit())
	record.Check(t, "characterization")
}

func singleBytes(stream string) (pieces []string) {
	for i := range len(stream) {
		pieces = append(pieces, stream[i:i+1])
	}
	return pieces
}

var streams = []string{"", "data: a\n\n", "data:a\r\rdata:  b\r\n\r\n", "\xef\xbb\xbfdata: x\n\n", "\xef\xbbdata: x\n\n", "\xef\xbb\xbf\xef\xbb\xbfdata: x\n\n",
	"id: 7\nevent: change\ndata: one\ndata: two\ndata\n\ndata: next\n\n", ": comment\n:\n:x\ndata: y\n\n", "id: a\x00b\ndata: z\n\n", "id: 1\n\nid\ndata: q\n\n",
	"retry: 100\nunknown: 5\ndata: r\n\n", "event: e\n\ndata: s\n\n", "data: unfinished", "data: unfinished\n", "data\n\n", "data:\n\n", "\n\n\r\n\n\rdata: t\n\n",
	"Data: u\n\n", " data: v\n\n", "data: \xff\xc3\x00\n\n", "data:\ta\n\n", "data: a\n\r\n\rdata: b\r\n\n"}

// decode gives the events, the verdict of each write and the number of comments.
func decode(limit int, pieces ...string) string {
	decoder := sse.Decoder{MaxEventBytes: limit}
	var found strings.Builder
	failed := false
	for _, piece := range pieces {
		err := decoder.Write([]byte(piece), func(event sse.Event) { fmt.Fprintf(&found, "%q %q %q\n", event.LastEventID, event.Type, event.Data) })
		failed = failed || err != nil
		// ErrTooLarge itself, not an error that wraps it.
		if err != nil && (!errors.Is(err, sse.ErrTooLarge) || errors.Unwrap(err) != nil) {
			found.WriteString("another error\n")
		}
	}
	fmt.Fprintf(&found, "%t %d", failed, decoder.CommentLines)
	return found.String()
}

func decodeRandom(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 2))
	parts := []string{"data", "event", "id", "retry", ":", ": ", "\n", "\r", "\r\n", "\n\n", "x", "7", "\x00", "\xef\xbb\xbf", "é"}
	var pieces []string
	for range 400 {
		pieces = append(pieces, parts[random.IntN(len(parts))])
	}
	return decode(0, pieces...) + decode(50, pieces...) + decode(200, strings.Join(pieces, ""))
}

// defaultLimit pins the size from which an event is refused where no limit is set.
func defaultLimit() string {
	const size = 4 << 20
	field, end := "data:", "\n\ndata: next\n\n"
	within := decode(0, field+strings.Repeat("a", size-len(field))+end)
	beyond := decode(0, field+strings.Repeat("a", size-len(field)+1)+end)
	return fmt.Sprintf("default limit %d %x %s", sse.DefaultMaxEventBytes, sha256.Sum256([]byte(within)), beyond)
}
