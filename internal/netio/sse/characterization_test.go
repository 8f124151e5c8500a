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

// TestCharacterization compares decoded events with the golden file. It decodes fixed streams with and
// without size limits, and streams that are generated from random seeds. It also checks that the events of
// a fixed stream are the same wherever the stream is split. Package goldentest describes how to regenerate
// the file.
func TestCharacterization(t *testing.T) {
	record := goldentest.NewRecorder()
	for i, stream := range sampleStreams {
		unsplit := decode(0, stream)
		for splitAt := range len(stream) + 1 {
			if got := decode(0, stream[:splitAt], stream[splitAt:]); got != unsplit {
				t.Errorf("sampleStreams[%d] split at byte %d decodes to %q, want %q as without the split", i, splitAt, got, unsplit)
			}
		}
		if got := decode(0, singleBytes(stream)...); got != unsplit {
			t.Errorf("sampleStreams[%d] written byte by byte decodes to %q, want %q as in one piece", i, got, unsplit)
		}
		record.Line("stream %d %q", i, unsplit)
		for limit := 1; limit < 40; limit++ {
			limited := decode(limit, stream) + decode(limit, stream[:len(stream)/2], stream[len(stream)/2:])
			record.Line("stream %d limit %d %x", i, limit, sha256.Sum256([]byte(limited)))
		}
	}
	for seed := uint64(1); seed <= 40; seed++ {
		record.Line("seed %d %x", seed, sha256.Sum256([]byte(decodeRandom(seed))))
	}
	record.Line("%s", decodeAtDefaultLimit())
	record.Check(t, "characterization")
}

func singleBytes(stream string) (pieces []string) {
	for i := range len(stream) {
		pieces = append(pieces, stream[i:i+1])
	}
	return pieces
}

var sampleStreams = []string{"", "data: a\n\n", "data:a\r\rdata:  b\r\n\r\n", "\xef\xbb\xbfdata: x\n\n", "\xef\xbbdata: x\n\n", "\xef\xbb\xbf\xef\xbb\xbfdata: x\n\n",
	"id: 7\nevent: change\ndata: one\ndata: two\ndata\n\ndata: next\n\n", ": comment\n:\n:x\ndata: y\n\n", "id: a\x00b\ndata: z\n\n", "id: 1\n\nid\ndata: q\n\n",
	"retry: 100\nunknown: 5\ndata: r\n\n", "event: e\n\ndata: s\n\n", "data: unfinished", "data: unfinished\n", "data\n\n", "data:\n\n", "\n\n\r\n\n\rdata: t\n\n",
	"Data: u\n\n", " data: v\n\n", "data: \xff\xc3\x00\n\n", "data:\ta\n\n", "data: a\n\r\n\rdata: b\r\n\n"}

// decode writes the pieces to a decoder with the given size limit, where 0 stands for the default limit. It
// returns one text that contains the events, whether any call of Write failed, and the number of comment
// lines.
func decode(limit int, pieces ...string) string {
	decoder := sse.Decoder{MaxEventBytes: limit}
	var output strings.Builder
	failed := false
	for _, piece := range pieces {
		err := decoder.Write([]byte(piece), func(event sse.Event) { fmt.Fprintf(&output, "%q %q %q\n", event.LastEventID, event.Type, event.Data) })
		failed = failed || err != nil
		// The error must be ErrTooLarge itself, not an error that wraps it.
		if err != nil && (!errors.Is(err, sse.ErrTooLarge) || errors.Unwrap(err) != nil) {
			output.WriteString("another error\n")
		}
	}
	fmt.Fprintf(&output, "%t %d", failed, decoder.CommentLines)
	return output.String()
}

func decodeRandom(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 2))
	fragments := []string{"data", "event", "id", "retry", ":", ": ", "\n", "\r", "\r\n", "\n\n", "x", "7", "\x00", "\xef\xbb\xbf", "é"}
	var pieces []string
	for range 400 {
		pieces = append(pieces, fragments[random.IntN(len(fragments))])
	}
	return decode(0, pieces...) + decode(50, pieces...) + decode(200, strings.Join(pieces, ""))
}

// decodeAtDefaultLimit decodes an event whose size is exactly the default limit and an event that is
// one byte larger. It returns one text that describes both results.
func decodeAtDefaultLimit() string {
	const size = 4 << 20
	field, end := "data:", "\n\ndata: next\n\n"
	atLimit := decode(0, field+strings.Repeat("a", size-len(field))+end)
	overLimit := decode(0, field+strings.Repeat("a", size-len(field)+1)+end)
	return fmt.Sprintf("default limit %d %x %s", sse.DefaultMaxEventBytes, sha256.Sum256([]byte(atLimit)), overLimit)
}
