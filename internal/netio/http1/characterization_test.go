package http1_test

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"heathshed/internal/netio/http1"
	"heathshed/internal/testsupport/goldentest"
)

// TestCharacterization compares the decoder and the append functions with the golden file. It decodes fixed
// messages in one piece, in several pieces and under small limits, and it decodes random changes of these
// messages. The golden file includes the reasons of rejections, because a server sends them to clients.
// Package goldentest describes how to regenerate the file.
func TestCharacterization(t *testing.T) {
	record := goldentest.NewRecorder()
	limits := http1.DefaultLimits()
	record.Line("limits %d %d %d %d %d", limits.StartLineBytes, limits.HeadBytes, limits.HeaderFields, limits.BodyBytes, limits.TrailerBytes)
	for i, sample := range corpus() {
		record.Line("message %d %.200q %s", i, decode(sample, limits, 1<<30), digestOf(decodeVariants(sample, limits)))
	}
	for seed := uint64(1); seed <= 30; seed++ {
		record.Line("mutations %d %s", seed, digestOf(decodeMutations(seed)))
	}
	for _, line := range appendedOutput() {
		record.Line("%s", line)
	}
	record.Check(t, "characterization")
}

func digestOf(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }

// messageStream is a stream of bytes that holds requests or responses, some of them invalid.
type messageStream struct {
	text              string
	responses, noBody bool
}

var smallLimits = []http1.Limits{{StartLineBytes: 20, HeadBytes: 80, HeaderFields: 2, BodyBytes: 4, TrailerBytes: 8}, {StartLineBytes: 14, HeadBytes: 60, HeaderFields: 1, BodyBytes: 3, TrailerBytes: 5}, {StartLineBytes: 100, HeadBytes: 100, HeaderFields: 10}, {}}

// decodeVariants calls decode on a stream in several ways and returns the concatenation of the texts
// that decode returns. Under the given limits, it decodes the stream in pieces of every size, or only
// in pieces of 1000 bytes if the stream has more than 300 bytes. It then decodes the stream under each
// of smallLimits, in one piece and in pieces of 7 bytes.
func decodeVariants(sample messageStream, limits http1.Limits) string {
	var steps strings.Builder
	if len(sample.text) <= 300 {
		for size := 1; size <= len(sample.text); size++ {
			steps.WriteString(decode(sample, limits, size))
		}
	} else {
		steps.WriteString(decode(sample, limits, 1000))
	}
	for _, small := range smallLimits {
		steps.WriteString(decode(sample, small, 1<<30) + decode(sample, small, 7))
	}
	return steps.String()
}

// decode decodes a stream in pieces of the given size. It returns a text that lists, for each call of
// Decoder.Next, the number of consumed bytes, the event, the decoded values and the error.
func decode(sample messageStream, limits http1.Limits, pieceBytes int) string {
	decoder := http1.Decoder{Limits: limits, DecodeResponses: sample.responses, ResponseHasNoBody: sample.noBody}
	var steps strings.Builder
	pending := ""
	for rest := sample.text; rest != ""; {
		piece := min(pieceBytes, len(rest))
		pending, rest = pending+rest[:piece], rest[piece:]
		var err error
		if pending, err = decodePending(&decoder, pending, &steps); err != nil {
			_, _, repeatedErr := decoder.Next([]byte("x"))
			fmt.Fprintf(&steps, "%t ", isSameError(repeatedErr, err))
			break
		}
	}
	complete, err := decoder.EOF(len(pending))
	fmt.Fprintf(&steps, "eof %t %s\n", complete, describeError(err))
	return steps.String()
}

// isSameError reports whether a and b are the same error. If only one of them wraps the other, it reports
// false.
func isSameError(a, b error) bool { return errors.Is(a, b) && errors.Is(b, a) }

// decodePending decodes the pending bytes until more input is needed. It appends a description of each call
// of Decoder.Next to steps, and returns the bytes that were not consumed.
func decodePending(decoder *http1.Decoder, pending string, steps *strings.Builder) (string, error) {
	for {
		consumed, event, err := decoder.Next([]byte(pending))
		fmt.Fprintf(steps, "%d %d ", consumed, uint8(event))
		if err != nil {
			fmt.Fprintf(steps, "%s ", describeError(err))
			return pending, err
		}
		switch event {
		case http1.HeadComplete:
			describeHead(steps, &decoder.Head)
		case http1.BodyData:
			fmt.Fprintf(steps, "%.100q ", decoder.BodyPiece)
		}
		pending = pending[consumed:]
		if event == http1.NeedMoreInput {
			return pending, nil
		}
	}
}

func describeHead(steps *strings.Builder, head *http1.Head) {
	fmt.Fprintf(steps, "%q %q %d %q %d ", head.Method, head.Target, head.Status, head.ReasonPhrase, head.MinorVersion)
	fmt.Fprintf(steps, "%d %t %t %t ", head.BodyLength, head.Chunked, head.CloseConnection, head.ExpectContinue)
	for i := range head.Header {
		field := &head.Header[i]
		fmt.Fprintf(steps, "%.80q %.80q %t ", field.Name, field.Value, field.HasName("HOST"))
	}
	fmt.Fprintf(steps, "%q %t %q ", head.Header.Get("x-a"), head.Header.Has("Connection"), head.Header.Get("none"))
}

func describeError(err error) string {
	var rejection *http1.Error
	if errors.As(err, &rejection) {
		return fmt.Sprintf("%d %s %s", rejection.Status, rejection.Reason, rejection.Error())
	}
	return fmt.Sprint(err == nil)
}

var requestLines = []string{"GET / HTTP/1.1", "POST /a?b=c HTTP/1.0", "OPTIONS * HTTP/1.1", "GET http://h/x HTTP/1.1", "CONNECT h:1 HTTP/1.1", "GET h:1 HTTP/1.1", "GET / HTTP/2.0", "GET / HTTP/1.9",
	"GET / HTTP/11", "GET /", "GET  / HTTP/1.1", "GET / HTTP/1.1 ", " GET / HTTP/1.1", "G(T / HTTP/1.1", "GET /\x7f HTTP/1.1", "GET /\xc3\xa9 HTTP/1.1", "", "get / http/1.1", "GET / HTTP/a.1", "GET / HTTP/1,1"}

var fieldLines = []string{"Content-Length: 3", "Content-Length: 0", "Content-Length: 03", "Content-Length: +3", "Content-Length: ", "Content-Length: 3, 3", "Content-Length: 3145728",
	"Content-Length: 3145729", "Content-Length: 999999999999999999", "Content-Length: 1999999999999999999", "Transfer-Encoding: chunked", "transfer-encoding: Chunked", "Transfer-Encoding: gzip, chunked",
	"Transfer-Encoding: chunked\r\nContent-Length: 3", "Content-Length: 3\r\nContent-Length: 3", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Connection: close", "Connection: Keep-Alive",
	"Connection: x, CLOSE ,,y", "Connection: keep-alive, close", "Expect: 100-continue", "Expect: 100-Continue", "Expect: other", "Host: again", "X-A: \t v \t ", "X-A:", "X-A : v", " folded: v", "\tfolded: v",
	"X-A: a\x00b", "X-A: a\x7f", "X-A: a\rb", "X-A: a\nb", "no colon", ": v", "X A: v", "X-A: \xff\xc3", "X-A: 1\r\nx-a: 2"}

var statusLines = []string{"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 404 Not Found", "HTTP/1.1 099 x", "HTTP/1.1 100 Continue", "HTTP/1.1 204 No Content", "HTTP/1.1 304 x", "HTTP/1.1 2000",
	"HTTP/1.1 2x0 OK", "HTTP/1.1 20", "HTTP/2.0 200 OK", "HTTP/1.1  200 OK", "", "HTTP/1.1 999 caf\xc3\xa9"}

var chunkedBodies = []string{"3\r\nabc\r\n0\r\n\r\n", "3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\n", "0\r\n\r\n", "00\r\n\r\n", "a\r\n0123456789\r\nA\r\n0123456789\r\n0\r\n\r\n", "3\r\nabcd\r\n", "3\r\nabc\n",
	"3 \r\nabc\r\n", "3 ;x\r\nabc\r\n0\r\n\r\n", "x\r\n", "\r\n", "3\nabc", "-1\r\n", "0x3\r\n", "fffffffffffffff\r\n", "1fffffffffffffff\r\n", "300000\r\n", "300001\r\n", "3;a\x01\r\nabc\r\n",
	"0\r\nbad\r\n\r\n", "0\r\nA: b\n\r\n", "0\r\n A: b\r\n\r\n", "0\r\nA: \r b\r\n\r\n", "1;" + strings.Repeat("e", 251) + "\r\nx\r\n0\r\n\r\n", "1;" + strings.Repeat("e", 253) + "\r\nx\r\n0\r\n\r\n",
	"1;" + strings.Repeat("e", 254) + "\r\nx\r\n0\r\n\r\n", "1;" + strings.Repeat("e", 256), "0\r\n" + strings.Repeat("T: 45678\r\n", 409) + "\r\n", "0\r\n" + strings.Repeat("T: 45678\r\n", 410) + "\r\n", "0\r\n" + strings.Repeat("T", 5000)}

// corpus returns the streams that TestCharacterization decodes. Most of them are well formed except for
// one start line, header field or chunked body, which is an element of requestLines, statusLines,
// fieldLines or chunkedBodies. A few are incomplete, or have extra empty lines, no header or excess
// bytes. The others have a start line, a head or a number of header fields that is at a limit, one
// below it or one above it.
func corpus() []messageStream {
	var all []messageStream
	for _, line := range requestLines {
		all = append(all, messageStream{text: line + "\r\nHost: h\r\n\r\n"}, messageStream{text: "\r\n" + line + "\r\n\r\n"}, messageStream{text: line + "\nHost: h\n\n"})
	}
	for _, field := range fieldLines {
		all = append(all, messageStream{text: "PUT /x HTTP/1.1\r\nHost: h\r\n" + field + "\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n"}, messageStream{text: "PUT /x HTTP/1.0\r\n" + field + "\r\n\r\nabc"},
			messageStream{text: "HTTP/1.1 200 OK\r\n" + field + "\r\n\r\nabc", responses: true}, messageStream{text: "HTTP/1.1 200 OK\r\n" + field + "\r\n\r\nHTTP/1.1 204 x\r\n\r\n", responses: true, noBody: true})
	}
	for _, line := range statusLines {
		all = append(all, messageStream{text: line + "\r\n\r\nbody", responses: true}, messageStream{text: line + "\r\nContent-Length: 2\r\n\r\nbody", responses: true})
	}
	for _, body := range chunkedBodies {
		all = append(all, messageStream{text: "PUT /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body},
			messageStream{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", responses: true})
	}
	for _, text := range []string{"", "\r\n", "\r\n\r\n", "\r", "\n", "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost", "GET / HTTP/1.1\r\nHost: h\r\n\r\nx"} {
		all = append(all, messageStream{text: text}, messageStream{text: text, responses: true})
	}
	for _, excess := range []int{-1, 0, 1} {
		target := "/" + strings.Repeat("p", 8<<10+excess-len("GET / HTTP/1.1"))
		all = append(all, messageStream{text: "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"}, messageStream{text: strings.Repeat("G", 8<<10+excess)})
		head := "GET / HTTP/1.1\r\nHost: h\r\nX-A: "
		all = append(all, messageStream{text: head + strings.Repeat("v", 32<<10+excess-len(head)-4) + "\r\n\r\n"}, messageStream{text: head + strings.Repeat("v", 32<<10+excess-len(head))},
			messageStream{text: "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 99+excess) + "\r\n"})
	}
	return all
}

// decodeMutations calls decode on each stream of the corpus that has 1 to 300 bytes, after it has
// replaced up to two bytes of the stream at random. It returns the concatenation of the texts that
// decode returns.
func decodeMutations(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 8))
	const alphabet = "\r\n :;,0179aAfFxZ/\t\x00\x7f\xff"
	var steps strings.Builder
	for _, sample := range corpus() {
		if len(sample.text) == 0 || len(sample.text) > 300 {
			continue
		}
		mutated := []byte(sample.text)
		for range 2 {
			mutated[random.IntN(len(mutated))] = alphabet[random.IntN(len(alphabet))]
		}
		sample.text = string(mutated)
		steps.WriteString(decode(sample, http1.DefaultLimits(), 1+random.IntN(40)))
	}
	return steps.String()
}

// appendedOutput returns lines that show what the append functions of package http1 write for a range of
// arguments.
func appendedOutput() []string {
	var lines []string
	for status := 0; status < 600; status++ {
		if text := http1.StatusText(status); text != "Status" {
			lines = append(lines, fmt.Sprintf("status %d %q %q", status, text, http1.AppendStatusLine([]byte("before"), status)))
		}
	}
	for _, value := range []string{"", "v", "a\r\nb: c", "\x00\n\r", "\xff\t"} {
		lines = append(lines,
			fmt.Sprintf("field %q", http1.AppendField([]byte("before"), "Name", value)),
			fmt.Sprintf("request %q", http1.AppendRequestLine(nil, "GET", "/"+value)),
			fmt.Sprintf("chunk %q", http1.AppendChunk([]byte("before"), []byte(value))))
	}
	for _, length := range []int{0, 1, 255, 1 << 20} {
		lines = append(lines, fmt.Sprintf("length %q", http1.AppendContentLength(nil, length)))
	}
	return append(lines,
		fmt.Sprintf("unknown status %q", http1.AppendStatusLine(nil, 299)),
		fmt.Sprintf("chunk of 300 %q", http1.AppendChunk(nil, make([]byte, 300))[:8]),
		fmt.Sprintf("last chunk %q", http1.LastChunk))
}
