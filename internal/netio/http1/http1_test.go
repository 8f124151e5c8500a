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

// message is what a decoder made of a stream.
type decodedMessage struct {
	head Head
	body []byte
}

// decodeAll feeds a stream in pieces of the given size and returns the complete messages and the error that ended it.
func decodeAll(decoder *Decoder, stream []byte, piece int) (messages []decodedMessage, err error) {
	var pending, body []byte
	for len(stream) > 0 || len(pending) > 0 {
		added := min(piece, len(stream))
		pending = append(pending, stream[:added]...)
		stream = stream[added:]
		for kind := BodyData; kind != NeedMoreInput; {
			var consumed int
			consumed, kind, err = decoder.Next(pending)
			if err != nil {
				return messages, err
			}
			pending = pending[consumed:]
			switch kind {
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
	status   int // of the rejection; 0: accepted
	body     string
}{
	{"plain", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 0, ""},
	{"empty line first", "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", 0, ""},
	{"body", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", 0, "abc"},
	{"chunks", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n", 0, "abcde"},
	{"http/1.0 needs no host", "GET / HTTP/1.0\r\n\r\n", 0, ""},
	{"no host", "GET / HTTP/1.1\r\n\r\n", 400, ""},
	{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400, ""},
	{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400, ""},
	{"length list", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc", 400, ""},
	{"signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", 400, ""},
	{"huge length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n", 400, ""},
	{"length and chunks", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
	{"chunks in 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
	{"other coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501, ""},
	{"folded", "GET / HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\r\n", 400, ""},
	{"bare cr", "GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n", 400, ""},
	{"bare lf", "GET / HTTP/1.1\nHost: a\n\n", 400, ""},
	{"space before colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400, ""},
	{"no name", "GET / HTTP/1.1\r\nHost: a\r\n: x\r\n\r\n", 400, ""},
	{"control in value", "GET / HTTP/1.1\r\nHost: a\r\nX: a\x01b\r\n\r\n", 400, ""},
	{"bad chunk size", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n", 400, ""},
	{"empty chunk size", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\r\nabc\r\n", 400, ""},
	{"chunk too long", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", 400, ""},
	{"huge chunk", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n", 400, ""},
	{"chunk lf only", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n", 400, ""},
	{"method", "G(T / HTTP/1.1\r\nHost: a\r\n\r\n", 400, ""},
	{"two spaces", "GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400, ""},
	{"version", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505, ""},
	{"expectation", "GET / HTTP/1.1\r\nHost: a\r\nExpect: tea\r\n\r\n", 417, ""},
	{"body over the limit", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1025\r\n\r\n", 413, ""},
	{"chunks over the limit", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n401\r\n", 413, ""},
	{"line over the limit", "GET /" + strings.Repeat("a", 300) + " HTTP/1.1\r\nHost: a\r\n\r\n", 414, ""},
	{"header over the limit", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 600) + "\r\n\r\n", 431, ""},
	{"too many fields", "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: b\r\n", 10) + "\r\n", 431, ""},
	{"trailer over the limit", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + strings.Repeat("a", 200) + "\r\n\r\n", 431, ""},
}

var smallLimits = Limits{StartLineBytes: 200, HeadBytes: 500, HeaderFields: 10, BodyBytes: 1024, TrailerBytes: 100}

func TestRequests(t *testing.T) {
	for _, test := range requestCases {
		for _, piece := range []int{1, 3, 1 << 20} {
			t.Run(fmt.Sprintf("%s in pieces of %d", test.name, piece), func(t *testing.T) {
				messages, err := decodeAll(&Decoder{Limits: smallLimits}, []byte(test.in), piece)
				if test.status != 0 {
					var rejection *Error
					if !errors.As(err, &rejection) || rejection.Status != test.status {
						t.Errorf("%v, want status %d", err, test.status)
					}
					return
				}
				if err != nil || len(messages) != 1 || string(messages[0].body) != test.body {
					t.Errorf("%d messages, %v", len(messages), err)
				}
			})
		}
	}
}

func TestResponses(t *testing.T) {
	for _, test := range []struct {
		name, in, body string
		noBody, bad    bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "ab", false, false},
		{"to the end", "HTTP/1.1 200 OK\r\n\r\nabc", "abc", false, false},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", "", false, false},
		{"answer to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "", true, false},
		{"no reason", "HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n", "", false, false},
		{"cut short", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", "", false, true},
		{"cut in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "", false, true},
		{"status", "HTTP/1.1 2x0 OK\r\n\r\n", "", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			decoder := &Decoder{Limits: smallLimits, DecodeResponses: true, ResponseHasNoBody: test.noBody}
			messages, err := decodeAll(decoder, []byte(test.in), 1)
			if rejected := err != nil; rejected != test.bad {
				t.Fatalf("rejected with %v, want rejection: %t", err, test.bad)
			}
			if !test.bad && (len(messages) != 1 || string(messages[0].body) != test.body) {
				t.Errorf("%d messages, %v", len(messages), err)
			}
		})
	}
}

func TestPipelineInOrder(t *testing.T) {
	one := "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"
	out, err := decodeAll(&Decoder{Limits: smallLimits}, []byte(strings.Repeat(one, 500)), 7)
	if err != nil || len(out) != 500 {
		t.Fatalf("%d requests, %v", len(out), err)
	}
}

// rejectedOnlyHere reports whether this decoder may reject what net/http accepts. Each difference is wanted:
// net/http accepts bare line feeds, equal lengths given twice, a space before the first header's colon in no case but trims
// others, targets that are no path, and has other limits.
func mayRejectUnlikeNetHTTP(in []byte) bool {
	text := string(in)
	for i := range len(text) {
		if text[i] == '\n' && (i == 0 || text[i-1] != '\r') {
			return true
		}
		if text[i] == '\r' && (i+1 == len(text) || text[i+1] != '\n') {
			return true
		}
	}
	low := strings.ToLower(text)
	return strings.Count(low, "content-length") > 1 || strings.Count(low, "transfer-encoding") > 1 || strings.Contains(low, "expect:") ||
		strings.Contains(low, "transfer-encoding") && strings.Contains(low, "content-length") || strings.HasPrefix(text, "\r\n") ||
		strings.Contains(low, "http/1.0") || strings.Contains(low, "http/1.2") || strings.Contains(low, "connect ") || strings.Contains(low, "host:") && strings.Count(low, "host:") > 1
}

// FuzzRequest checks that pieces do not matter, that nothing panics, and that what net/http rejects is rejected here, with the same
// body where both accept it.
func FuzzRequest(f *testing.F) {
	for _, test := range requestCases {
		f.Add([]byte(test.in))
	}
	limits := DefaultLimits()
	f.Fuzz(func(t *testing.T, in []byte) {
		whole, errWhole := decodeAll(&Decoder{Limits: limits}, in, 1<<20)
		pieces, errPieces := decodeAll(&Decoder{Limits: limits}, in, 1)
		if (errWhole == nil) != (errPieces == nil) || len(whole) != len(pieces) {
			t.Fatalf("whole: %d messages, %v; in pieces: %d, %v", len(whole), errWhole, len(pieces), errPieces)
		}
		for i := range whole {
			if !bytes.Equal(whole[i].body, pieces[i].body) {
				t.Fatalf("body %d differs between whole and pieces", i)
			}
		}
		if len(whole) == 0 || len(in) > 4096 {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(in)))
		var body []byte
		if err == nil {
			body, err = io.ReadAll(req.Body)
		}
		if err != nil {
			if !mayAcceptUnlikeNetHTTP(in) {
				t.Fatalf("accepted here, rejected by net/http: %v", err)
			}
			return
		}
		if req.Method != whole[0].head.Method || !bytes.Equal(body, whole[0].body) {
			t.Fatalf("net/http: %s with %d bytes, here %s with %d", req.Method, len(body), whole[0].head.Method, len(whole[0].body))
		}
	})
}

// acceptedOnlyHere reports whether a request is of a kind that is accepted here though net/http rejects it: a target whose
// escapes are malformed (the API responds with 400 itself), host values that are no host, a minor version over one, and
// trailer fields that net/http forbids.
func mayAcceptUnlikeNetHTTP(in []byte) bool {
	line, rest, _ := strings.Cut(string(in), "\r\n")
	for line == "" && rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
	}
	parts := strings.Split(line, " ")
	return len(parts) == 3 && (strings.ContainsAny(parts[1], "%[]:*#?\\^`{|}\"<>") || parts[2] != "HTTP/1.1") || strings.Contains(strings.ToLower(rest), "host:") ||
		strings.Contains(strings.ToLower(rest), "chunked")
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n\r\nrest"))
	f.Fuzz(func(t *testing.T, in []byte) {
		whole, errWhole := decodeAll(&Decoder{Limits: smallLimits, DecodeResponses: true}, in, 1<<20)
		pieces, errPieces := decodeAll(&Decoder{Limits: smallLimits, DecodeResponses: true}, in, 1)
		if (errWhole == nil) != (errPieces == nil) || len(whole) != len(pieces) {
			t.Fatalf("whole: %d messages, %v; in pieces: %d, %v", len(whole), errWhole, len(pieces), errPieces)
		}
	})
}

// acceptedByNetHTTP names the table's rejections that net/http accepts. RFC 9112 asks for each of them: 3.2, 5.2, 5.1 and 2.3.
var acceptedByNetHTTP = map[string]bool{"no host": true, "folded": true, "space before colon": true, "version": true}

// The table's rejections are those of net/http too, or are listed in rejectedOnlyHere.
func TestAgainstNetHTTP(t *testing.T) {
	for _, test := range requestCases {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(test.in)))
		if err == nil {
			_, err = io.ReadAll(req.Body)
		}
		limit := test.status == 413 || test.status == 414 || test.status == 431 || test.status == 417
		switch {
		case test.status == 0 && err != nil && !strings.HasPrefix(test.in, "\r\n"):
			t.Errorf("%s: accepted here, net/http says %v", test.name, err)
		case test.status != 0 && err == nil && !limit && !mayRejectUnlikeNetHTTP([]byte(test.in)) && !acceptedByNetHTTP[test.name]:
			t.Errorf("%s: rejected here, accepted by net/http, and not among the differences", test.name)
		}
	}
}
