//go:build linux

package reflector

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/netio/http1"
	"heathshed/internal/netio/httpc"
	"heathshed/internal/testsupport/looptest"
)

const testTimeout = 10 * time.Second

// response is one that the scripted server sends.
type response struct {
	status      int
	contentType string
	body        string
}

const emptyList = `{"kind":"NodeList","metadata":{"resourceVersion":"5"},"items":[]}`

// script is a server that sends given responses in turn, and holds every request after them.
type script struct {
	mu        sync.Mutex
	scripted  int // responses at the start
	responses []response
	requests  []string      // what each request asked for: "list", or the revision that it watches from
	exhausted chan struct{} // closed at the first request that there is no response for
	hold      chan struct{}
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	asked := "list"
	if r.URL.Query().Get("watch") == "true" {
		asked = r.URL.Query().Get("resourceVersion")
	}
	s.requests = append(s.requests, asked)
	if len(s.responses) == 0 {
		if len(s.requests) == s.scripted+1 {
			close(s.exhausted)
		}
		s.mu.Unlock()
		<-s.hold
		return
	}
	next := s.responses[0]
	s.responses = s.responses[1:]
	s.mu.Unlock()
	w.Header().Set("Content-Type", next.contentType)
	w.WriteHeader(next.status)
	_, _ = w.Write([]byte(next.body)) // fails only when the reflector has ended the connection
}

// recorder is what a reflector has called back.
type recorder struct {
	calls  []string
	errors []error
}

// run has a reflector follow the scripted responses until it makes a request beyond them, and returns what it has done.
func run(t *testing.T, responses []response) (requests []string, got recorder) {
	t.Helper()
	played := &script{responses: responses, scripted: len(responses), hold: make(chan struct{}), exhausted: make(chan struct{})}
	server := httptest.NewServer(played)
	loop := looptest.New(t)
	stop := looptest.Run(t, loop)
	loop.Post(func() {
		reflector := &Reflector{
			Loop:       loop,
			Client:     httpc.New(loop, strings.TrimPrefix(server.URL, "http://")),
			Path:       "/api/v1/nodes",
			Rand:       rand.New(rand.NewPCG(1, 2)),
			MinBackoff: time.Millisecond,
			MaxBackoff: 10 * time.Millisecond,
		}
		got.follow(reflector)
		reflector.Start()
	})
	select {
	case <-played.exhausted:
	case <-time.After(testTimeout):
		t.Fatalf("fewer than %d requests", len(responses)+1)
	}
	stop()
	close(played.hold)
	server.Close()
	return played.requests, got
}

func (recorded *recorder) follow(reflector *Reflector) {
	nameOf := func(object Object) string {
		node := &corev1.Node{}
		if err := object.Decode(node); err != nil {
			return err.Error()
		}
		return node.Name
	}
	reflector.OnList = func(_ *http1.Head, resourceVersion string, items []Object) {
		call := "list " + resourceVersion
		for _, item := range items {
			call += " " + nameOf(item)
		}
		recorded.calls = append(recorded.calls, call)
	}
	reflector.OnEvent = func(kind string, object Object) { recorded.calls = append(recorded.calls, kind+" "+nameOf(object)) }
	reflector.OnError = func(err error) { recorded.errors = append(recorded.errors, err) }
}

// jsonEvent is one event of a watch in JSON.
func jsonEvent(kind, name, resourceVersion string) string {
	return fmt.Sprintf(`{"type":%q,"object":{"kind":"Node","apiVersion":"v1","metadata":{"name":%q,"resourceVersion":%q}}}`+"\n", kind, name, resourceVersion)
}

// frame is one event of a watch in the binary encoding.
func frame(t *testing.T, kind, name, resourceVersion string) string {
	t.Helper()
	node := &corev1.Node{}
	node.Name = name
	node.ResourceVersion = resourceVersion
	raw, err := node.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	unknown := protowire.AppendTag([]byte(protobufMagic), unknownRaw, protowire.BytesType)
	unknown = protowire.AppendBytes(unknown, raw)
	extension := protowire.AppendTag(nil, rawExtensionRaw, protowire.BytesType)
	extension = protowire.AppendBytes(extension, unknown)
	event := protowire.AppendTag(nil, watchEventType, protowire.BytesType)
	event = protowire.AppendString(event, kind)
	event = protowire.AppendTag(event, watchEventObject, protowire.BytesType)
	event = protowire.AppendBytes(event, extension)
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(event)))) + string(event)
}

func TestListAndWatch(t *testing.T) {
	list := response{200, jsonMediaType, emptyList}
	watch := func(events ...string) response { return response{200, jsonMediaType, strings.Join(events, "")} }
	frames := func(events ...string) response {
		return response{200, protobufMediaType + ";stream=watch", strings.Join(events, "")}
	}
	for _, test := range []struct {
		name         string
		responses    []response
		wantRequests []string
		wantCalls    []string
		wantErrors   []string // a part of each
	}{
		{
			name:         "list with objects",
			responses:    []response{{200, jsonMediaType, `{"metadata":{"resourceVersion":"7"},"items":[{"metadata":{"name":"a"}},{"metadata":{"name":"b"}}]}`}},
			wantRequests: []string{"list", "7"},
			wantCalls:    []string{"list 7 a b"},
		},
		{
			name:         "watch resumed from its last event",
			responses:    []response{list, watch(jsonEvent("ADDED", "a", "6"), jsonEvent("MODIFIED", "a", "8")), watch(jsonEvent("DELETED", "a", "9"))},
			wantRequests: []string{"list", "5", "8", "9"},
			wantCalls:    []string{"list 5", "ADDED a", "MODIFIED a", "DELETED a"},
		},
		{
			name:         "bookmark",
			responses:    []response{list, watch(jsonEvent("BOOKMARK", "", "20"))},
			wantRequests: []string{"list", "5", "20"},
			wantCalls:    []string{"list 5"},
		},
		{
			name:         "binary encoding",
			responses:    []response{list, frames(frame(t, "ADDED", "a", "6"), frame(t, "BOOKMARK", "", "7"), frame(t, "DELETED", "a", "8"))},
			wantRequests: []string{"list", "5", "8"},
			wantCalls:    []string{"list 5", "ADDED a", "DELETED a"},
		},
		{
			name:         "history gone at the request",
			responses:    []response{list, {410, jsonMediaType, `{"kind":"Status","message":"too old"}`}, list},
			wantRequests: []string{"list", "5", "list", "5"},
			wantCalls:    []string{"list 5", "list 5"},
			wantErrors:   []string{"status 410: too old"},
		},
		{
			name:         "history gone within the watch",
			responses:    []response{list, watch(`{"type":"ERROR","object":{"kind":"Status","code":410,"message":"too old"}}` + "\n"), list},
			wantRequests: []string{"list", "5", "list", "5"},
			wantCalls:    []string{"list 5", "list 5"},
			wantErrors:   []string{"error event: too old"},
		},
		{
			name:         "other error event",
			responses:    []response{list, watch(`{"type":"ERROR","object":{"kind":"Status","code":500,"message":"trouble"}}` + "\n")},
			wantRequests: []string{"list", "5", "5"},
			wantCalls:    []string{"list 5"},
			wantErrors:   []string{"error event: trouble"},
		},
		{
			name:         "failed list",
			responses:    []response{{503, jsonMediaType, "busy"}, {200, jsonMediaType, "{}"}, {200, jsonMediaType, "{"}, list},
			wantRequests: []string{"list", "list", "list", "list", "5"},
			wantCalls:    []string{"list 5"},
			wantErrors:   []string{"status 503", "list without resourceVersion", "unexpected end"},
		},
		{
			name:         "malformed events",
			responses:    []response{list, watch("{\n"), watch(jsonEvent("RENAMED", "a", "6")), frames("\x00\x00\x00\x02ab"), frames(frame(t, "ADDED", "a", "")), frames("\xff\xff\xff\xff")},
			wantRequests: []string{"list", "5", "5", "5", "5", "5", "5"},
			wantCalls:    []string{"list 5"},
			wantErrors:   []string{"event: ", `"RENAMED" is not known`, "frame of a watch cannot be read", "ADDED without resourceVersion", "frame over the limit"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			requests, got := run(t, test.responses)
			if !slices.Equal(requests, test.wantRequests) {
				t.Errorf("requests %q, want %q", requests, test.wantRequests)
			}
			if !slices.Equal(got.calls, test.wantCalls) {
				t.Errorf("callbacks %q, want %q", got.calls, test.wantCalls)
			}
			if len(got.errors) != len(test.wantErrors) {
				t.Fatalf("errors %q, want %q", got.errors, test.wantErrors)
			}
			for i, want := range test.wantErrors {
				if !strings.Contains(got.errors[i].Error(), want) {
					t.Errorf("error %q, want %q", got.errors[i], want)
				}
			}
		})
	}
}

// The status of a response that is not success can be read from the error.
func TestStatusError(t *testing.T) {
	_, got := run(t, []response{{403, jsonMediaType, `{"kind":"Status","message":"no"}`}})
	var statusError *StatusError
	if len(got.errors) != 1 || !errors.As(got.errors[0], &statusError) || statusError.Code != 403 || statusError.Message != "no" {
		t.Errorf("errors %v", got.errors)
	}
}

// Events may come in pieces of any size.
func TestEventsSplitAcrossReads(t *testing.T) {
	stream := frame(t, "ADDED", "a", "6") + frame(t, "MODIFIED", "b", "7") + frame(t, "DELETED", "c", "8")
	lines := jsonEvent("ADDED", "a", "6") + jsonEvent("MODIFIED", "b", "7") + jsonEvent("DELETED", "c", "8")
	want := []string{"ADDED a", "MODIFIED b", "DELETED c"}
	for _, test := range []struct {
		name, stream string
		protobuf     bool
	}{{"frames", stream, true}, {"lines", lines, false}} {
		for size := 1; size <= len(test.stream); size++ {
			var got recorder
			reflector := &Reflector{protobuf: test.protobuf}
			got.follow(reflector)
			for piece := range slices.Chunk([]byte(test.stream), size) {
				reflector.decodeStream(slices.Clone(piece))
			}
			if !slices.Equal(got.calls, want) || reflector.resourceVersion != "8" {
				t.Fatalf("%s in pieces of %d: %q, at %s", test.name, size, got.calls, reflector.resourceVersion)
			}
		}
	}
}
