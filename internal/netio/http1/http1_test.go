package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// decodedMessage is one message that a decoder has completed.
type decodedMessage struct {
	head Head
	body []byte
}

// decodeAll writes the stream to the decoder in pieces of pieceBytes bytes. It returns the complete
// messages and the error that ended the decoding, if any.
func decodeAll(decoder *Decoder, stream []byte, pieceBytes int) (messages []decodedMessage, err error) {
	var pending, body []byte
	for len(stream) > 0 || len(pending) > 0 {
		added := min(pieceBytes, len(stream))
		pending = append(pending, stream[:added]...)
		stream = stream[added:]
		for event := BodyData; event != NeedMoreInput; {
			var consumed int
			consumed, event, err = decoder.Next(pending)
			if err != nil {
				return messages, err
			}
			pending = pending[consumed:]
			switch event {
			case BodyData:
				body = append(body, decoder.BodyPiece...)
			case MessageComplete:
				messages = append(messages, decodedMessage{decoder.Head, body})
				body = nil
			}
		}
		if added == 0 {
			break
		}
	}
	complete, err := decoder.EOF(len(pending))
	if complete {
		messages = append(messages, decodedMessage{decoder.Head, body})
	}
	return messages, err
}

var requestCases = []struct {
	name, in string
	// status is the status code with which the decoder must reject the request, or 0 if it must accept it.
	status int
	body   string
}{
	{"GET without a body", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 0, ""},
	{"one empty line before the request line is ignored", "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", 0, ""},
	{"body with Content-Length", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", 0, "abc"},
	{"chunked body with an extension and a trailer", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n", 0, "abcde"},
	{"HTTP/1.0 request without a Host field", "GET / HTTP/1.0\r\n\r\n", 0, ""},
	{"HTTP/1.1 request without a Host field", "GET / HTTP/1.1\r\n\r\n", 400, ""},
	{"request with two Host fields", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400, ""},
	{"two equal Content-Length fields", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400, ""},
	{"Content-Length with a list of values", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc", 400, ""},
	{"Content-Length with a sign", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", 400, ""},
	{"Content-Length with too many digits", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n", 400, ""},
	{"Content-Length and Transfer-Encoding together", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
	{"chunked body in an HTTP/1.0 request", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
	{"transfer coding other than chunked", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501, ""},
	{"header field that is folded over two lines", "GET / HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\r\n", 400, ""},
	{"carriage return without a line feed in a header field", "GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n", 400, ""},
	{"all lines end with a line feed without a carriage return", "GET / HTTP/1.1\nHost: a\n\n", 400, ""},
	{"space between the field name and the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400, ""},
	{"header field without a name", "GET / HTTP/1.1\r\nHost: a\r\n: x\r\n\r\n", 400, ""},
	{"control character in a field value", "GET / HTTP/1.1\r\nHost: a\r\nX: a\x01b\r\n\r\n", 400, ""},
	{"chunk size with a 0x prefix", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n", 400, ""},
	{"chunk line without a chunk size", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\r\nabc\r\n", 400, ""},
	{"chunk data longer than the chunk size", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", 400, ""},
	{"chunk size with too many digits", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n", 400, ""},
	{"chunk line that ends with a line feed without a carriage return", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n", 400, ""},
	{"method that is not a token", "G(T / HTTP/1.1\r\nHost: a\r\n\r\n", 400, ""},
	{"two spaces after the method", "GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400, ""},
	{"unsupported HTTP version", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505, ""},
	{"unknown expectation in the Expect field", "GET / HTTP/1.1\r\nHost: a\r\nExpect: tea\r\n\r\n", 417, ""},
	{"Content-Length that exceeds the body size limit", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1025\r\n\r\n", 413, ""},
	{"chunk size that exceeds the body size limit", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n401\r\n", 413, ""},
	{"request line that exceeds its size limit", "GET /" + strings.Repeat("a", 300) + " HTTP/1.1\r\nHost: a\r\n\r\n", 414, ""},
	{"header that exceeds the size limit of the head", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 600) + "\r\n\r\n", 431, ""},
	{"more header fields than the limit allows", "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: b\r\n", 10) + "\r\n", 431, ""},
	{"trailer section that exceeds its size limit", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + strings.Repeat("a", 200) + "\r\n\r\n", 431, ""},
}

var smallLimits = Limits{StartLineBytes: 200, HeadBytes: 500, HeaderFields: 10, BodyBytes: 1024, TrailerBytes: 100}

func TestRequests(t *testing.T) {
	for _, test := range requestCases {
		for _, pieceBytes := range []int{1, 3, 1 << 20} {
			t.Run(fmt.Sprintf("%s, in pieces of %d bytes", test.name, pieceBytes), func(t *testing.T) {
				messages, err := decodeAll(&Decoder{Limits: smallLimits}, []byte(test.in), pieceBytes)
				if test.status != 0 {
					var rejection *Error
					if !errors.As(err, &rejection) || rejection.Status != test.status {
						t.Errorf("decoding the request ended with error %v, want an *Error with status %d", err, test.status)
					}
					return
				}
				if err != nil || len(messages) != 1 || string(messages[0].body) != test.body {
					t.Errorf("decoded %d messages and got error %v; want 1 message with the body of the test case and no error", len(messages), err)
				}
			})
		}
	}
}

func TestResponses(t *testing.T) {
	for _, test := range []struct {
		name, in, body     string
		noBody, wantReject bool
	}{
		{"body with Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "ab", false, false},
		{"body that ends when the connection is closed", "HTTP/1.1 200 OK\r\n\r\nabc", "abc", false, false},
		{"response with status 204 has no body", "HTTP/1.1 204 No Content\r\n\r\n", "", false, false},
		{"response to a HEAD request has no body", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "", true, false},
		{"status line without a reason phrase", "HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n", "", false, false},
		{"stream ends before the body has the length in Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", "", false, true},
		{"stream ends within the data of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "", false, true},
		{"status code that is not a number", "HTTP/1.1 2x0 OK\r\n\r\n", "", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			decoder := &Decoder{Limits: smallLimits, DecodeResponses: true, ResponseHasNoBody: test.noBody}
			messages, err := decodeAll(decoder, []byte(test.in), 1)
			if rejected := err != nil; rejected != test.wantReject {
				t.Fatalf("decoding the response ended with error %v; want an error: %t", err, test.wantReject)
			}
			if !test.wantReject && (len(messages) != 1 || string(messages[0].body) != test.body) {
				t.Errorf("decoded %d messages and got error %v; want 1 message with the body of the test case and no error", len(messages), err)
			}
		})
	}
}

// TestPipelineInOrder checks that all pipelined requests are decoded when the input is split within
// requests.
func TestPipelineInOrder(t *testing.T) {
	request := "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"
	messages, err := decodeAll(&Decoder{Limits: smallLimits}, []byte(strings.Repeat(request, 500)), 7)
	if err != nil || len(messages) != 500 {
		t.Fatalf("decoded %d pipelined requests and got error %v; want 500 requests and no error", len(messages), err)
	}
}

// mayBeRejectedByThisDecoderOnly reports whether this decoder may reject input that net/http accepts.
// Each difference between the two is intended. net/http accepts line feeds without carriage returns,
// two Content-Length fields with the same value, and request targets that are not paths. It also
// ignores whitespace before the colon of every header field but the first, and its limits differ.
func mayBeRejectedByThisDecoderOnly(in []byte) bool {
	text := string(in)
	for i := range len(text) {
		if text[i] == '\n' && (i == 0 || text[i-1] != '\r') {
			return true
		}
		if text[i] == '\r' && (i+1 == len(text) || text[i+1] != '\n') {
			return true
		}
	}
	lower := strings.ToLower(text)
	return strings.Count(lower, "content-length") > 1 || strings.Count(lower, "transfer-encoding") > 1 || strings.Contains(lower, "expect:") ||
		strings.Contains(lower, "transfer-encoding") && strings.Contains(lower, "content-length") || strings.HasPrefix(text, "\r\n") ||
		strings.Contains(lower, "http/1.0") || strings.Contains(lower, "http/1.2") || strings.Contains(lower, "connect ") || strings.Contains(lower, "host:") && strings.Count(lower, "host:") > 1
}

// FuzzRequest checks that the decoder never panics, and that its result does not depend on how the
// input is split. It also compares the decoder with net/http. This decoder must reject each request
// that net/http rejects, unless mayBeRejectedByNetHTTPOnly covers the request. If both accept a
// request, they must decode the same method and body.
func FuzzRequest(f *testing.F) {
	for _, test := range requestCases {
		f.Add([]byte(test.in))
	}
	limits := DefaultLimits()
	f.Fuzz(func(t *testing.T, in []byte) {
		unsplit, unsplitErr := decodeAll(&Decoder{Limits: limits}, in, 1<<20)
		split, splitErr := decodeAll(&Decoder{Limits: limits}, in, 1)
		if (unsplitErr == nil) != (splitErr == nil) || len(unsplit) != len(split) {
			t.Fatalf("decoding in one piece gives %d messages and error %v, but byte by byte it gives %d messages and error %v; want equal results", len(unsplit), unsplitErr, len(split), splitErr)
		}
		for i := range unsplit {
			if !bytes.Equal(unsplit[i].body, split[i].body) {
				t.Fatalf("the body of message %d depends on whether the input is decoded in one piece or byte by byte", i)
			}
		}
		if len(unsplit) == 0 || len(in) > 4096 {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(in)))
		var body []byte
		if err == nil {
			body, err = io.ReadAll(req.Body)
		}
		if err != nil {
			if !mayBeRejectedByNetHTTPOnly(in) {
				t.Fatalf("this decoder accepts the request, but net/http rejects it with error %v", err)
			}
			return
		}
		if req.Method != unsplit[0].head.Method || !bytes.Equal(body, unsplit[0].body) {
			t.Fatalf("net/http decodes method %s and a body of %d bytes, but this decoder decodes method %s and a body of %d bytes", req.Method, len(body), unsplit[0].head.Method, len(unsplit[0].body))
		}
	})
}

// mayBeRejectedByNetHTTPOnly reports whether this decoder may accept a request that net/http rejects.
// This concerns requests with a malformed escape in the target, with a Host field that is not a valid
// host, with a minor version above 1, or with trailer fields that net/http forbids. A malformed escape
// does no harm, because the API server itself responds to it with status 400.
func mayBeRejectedByNetHTTPOnly(in []byte) bool {
	line, rest, _ := strings.Cut(string(in), "\r\n")
	for line == "" && rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
	}
	parts := strings.Split(line, " ")
	return len(parts) == 3 && (strings.ContainsAny(parts[1], "%[]:*#?\\^`{|}\"<>") || parts[2] != "HTTP/1.1") || strings.Contains(strings.ToLower(rest), "host:") ||
		strings.Contains(strings.ToLower(rest), "chunked")
}

// FuzzResponse checks that the result of decoding responses does not depend on how the input is split.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n\r\nrest"))
	f.Fuzz(func(t *testing.T, in []byte) {
		unsplit, unsplitErr := decodeAll(&Decoder{Limits: smallLimits, DecodeResponses: true}, in, 1<<20)
		split, splitErr := decodeAll(&Decoder{Limits: smallLimits, DecodeResponses: true}, in, 1)
		if (unsplitErr == nil) != (splitErr == nil) || len(unsplit) != len(split) {
			t.Fatalf("decoding in one piece gives %d messages and error %v, but byte by byte it gives %d messages and error %v; want equal results", len(unsplit), unsplitErr, len(split), splitErr)
		}
	})
}

// acceptedByNetHTTP holds the names of those requestCases that this decoder rejects although net/http
// accepts them. RFC 9112 requires each rejection. The sections are 3.2, 5.2, 5.1 and 2.3, in the order of
// the names.
var acceptedByNetHTTP = map[string]bool{"HTTP/1.1 request without a Host field": true, "header field that is folded over two lines": true, "space between the field name and the colon": true, "unsupported HTTP version": true}

// TestAgainstNetHTTP checks that net/http accepts exactly those requestCases that this decoder accepts.
// There are exceptions. net/http may reject a request that begins with an empty line. It may accept a
// request that exceeds a limit, has an unknown expectation, or is covered by
// mayBeRejectedByThisDecoderOnly or acceptedByNetHTTP.
func TestAgainstNetHTTP(t *testing.T) {
	for _, test := range requestCases {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(test.in)))
		if err == nil {
			_, err = io.ReadAll(req.Body)
		}
		onlyRejectedHere := test.status == 413 || test.status == 414 || test.status == 431 || test.status == 417
		switch {
		case test.status == 0 && err != nil && !strings.HasPrefix(test.in, "\r\n"):
			t.Errorf("case %q: this decoder accepts the request, but net/http rejects it with error %v", test.name, err)
		case test.status != 0 && err == nil && !onlyRejectedHere && !mayBeRejectedByThisDecoderOnly([]byte(test.in)) && !acceptedByNetHTTP[test.name]:
			t.Errorf("case %q: this decoder rejects the request, but net/http accepts it, and neither mayBeRejectedByThisDecoderOnly nor acceptedByNetHTTP covers the case", test.name)
		}
	}
}
