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

// response is an HTTP response of a scriptedServer.
type response struct {
	status      int
	contentType string
	body        string
}

const emptyList = `{"kind":"NodeList","metadata":{"resourceVersion":"5"},"items":[]}`

// scriptedServer is an HTTP handler that sends the given responses in order. It does not respond to further
// requests until release is closed.
type scriptedServer struct {
	mu            sync.Mutex
	responseCount int           // number of responses at the start
	responses     []response    // responses that have not been sent yet
	requests      []string      // "list" for each list request, the resource version for each watch request
	exhausted     chan struct{} // closed at the first request for which no response is left
	release       chan struct{} // closed when the test ends
}

func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	requested := "list"
	if r.URL.Query().Get("watch") == "true" {
		requested = r.URL.Query().Get("resourceVersion")
	}
	s.requests = append(s.requests, requested)
	if len(s.responses) == 0 {
		if len(s.requests) == s.responseCount+1 {
			close(s.exhausted)
		}
		s.mu.Unlock()
		<-s.release
		return
	}
	next := s.responses[0]
	s.responses = s.responses[1:]
	s.mu.Unlock()
	w.Header().Set("Content-Type", next.contentType)
	w.WriteHeader(next.status)
	_, _ = w.Write([]byte(next.body)) // fails only if the reflector has closed the connection
}

// recorder records the callbacks of a Reflector.
type recorder struct {
	calls  []string // calls of OnList and OnEvent
	errors []error  // arguments of OnError
}

// runReflector runs a Reflector against a server with the given responses until it sends one request more. It
// returns the requests that the server received and the callbacks of the Reflector.
func runReflector(t *testing.T, responses []response) (requests []string, got recorder) {
	t.Helper()
	handler := &scriptedServer{responses: responses, responseCount: len(responses), release: make(chan struct{}), exhausted: make(chan struct{})}
	server := httptest.NewServer(handler)
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
		got.recordCallbacks(reflector)
		reflector.Start()
	})
	select {
	case <-handler.exhausted:
	case <-time.After(testTimeout):
		t.Fatalf("the reflector sent fewer than %d requests", len(responses)+1)
	}
	stop()
	close(handler.release)
	server.Close()
	return handler.requests, got
}

// recordCallbacks sets the callbacks of a Reflector to functions that record their calls.
func (recorded *recorder) recordCallbacks(reflector *Reflector) {
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
	reflector.OnEvent = func(eventType string, object Object) {
		recorded.calls = append(recorded.calls, eventType+" "+nameOf(object))
	}
	reflector.OnError = func(err error) { recorded.errors = append(recorded.errors, err) }
}

// jsonEvent returns a watch event for a Node in JSON.
func jsonEvent(eventType, name, resourceVersion string) string {
	return fmt.Sprintf(`{"type":%q,"object":{"kind":"Node","apiVersion":"v1","metadata":{"name":%q,"resourceVersion":%q}}}`+"\n", eventType, name, resourceVersion)
}

// frame returns a watch event for a Node as a Protocol Buffers frame.
func frame(t *testing.T, eventType, name, resourceVersion string) string {
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
	event = protowire.AppendString(event, eventType)
	event = protowire.AppendTag(event, watchEventObject, protowire.BytesType)
	event = protowire.AppendBytes(event, extension)
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(event)))) + string(event)
}

// TestListAndWatch checks which requests a Reflector sends, and which callbacks it calls, for scripted
// responses.
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
		wantErrors   []string // a substring of each error
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
			name:         "protobuf frames",
			responses:    []response{list, frames(frame(t, "ADDED", "a", "6"), frame(t, "BOOKMARK", "", "7"), frame(t, "DELETED", "a", "8"))},
			wantRequests: []string{"list", "5", "8"},
			wantCalls:    []string{"list 5", "ADDED a", "DELETED a"},
		},
		{
			name:         "expired resource version, status 410",
			responses:    []response{list, {410, jsonMediaType, `{"kind":"Status","message":"too old"}`}, list},
			wantRequests: []string{"list", "5", "list", "5"},
			wantCalls:    []string{"list 5", "list 5"},
			wantErrors:   []string{"status 410: too old"},
		},
		{
			name:         "expired resource version, error event",
			responses:    []response{list, watch(`{"type":"ERROR","object":{"kind":"Status","code":410,"message":"too old"}}` + "\n"), list},
			wantRequests: []string{"list", "5", "list", "5"},
			wantCalls:    []string{"list 5", "list 5"},
			wantErrors:   []string{"server sent an ERROR event: too old"},
		},
		{
			name:         "other error event",
			responses:    []response{list, watch(`{"type":"ERROR","object":{"kind":"Status","code":500,"message":"trouble"}}` + "\n")},
			wantRequests: []string{"list", "5", "5"},
			wantCalls:    []string{"list 5"},
			wantErrors:   []string{"server sent an ERROR event: trouble"},
		},
		{
			name:         "failed list",
			responses:    []response{{503, jsonMediaType, "busy"}, {200, jsonMediaType, "{}"}, {200, jsonMediaType, "{"}, list},
			wantRequests: []string{"list", "list", "list", "list", "5"},
			wantCalls:    []string{"list 5"},
			wantErrors:   []string{"status 503", "list has no resourceVersion", "unexpected end"},
		},
		{
			name:         "malformed events",
			responses:    []response{list, watch("{\n"), watch(jsonEvent("RENAMED", "a", "6")), frames("\x00\x00\x00\x02ab"), frames(frame(t, "ADDED", "a", "")), frames("\xff\xff\xff\xff")},
			wantRequests: []string{"list", "5", "5", "5", "5", "5", "5"},
			wantCalls:    []string{"list 5"},
			wantErrors:   []string{"decode event: ", `unknown event type "RENAMED"`, "malformed watch frame", "ADDED event has no resourceVersion", "watch frame exceeds the size limit"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			requests, got := runReflector(t, test.responses)
			if !slices.Equal(requests, test.wantRequests) {
				t.Errorf("the reflector sent the requests %q, want %q", requests, test.wantRequests)
			}
			if !slices.Equal(got.calls, test.wantCalls) {
				t.Errorf("the reflector called the callbacks %q, want %q", got.calls, test.wantCalls)
			}
			if len(got.errors) != len(test.wantErrors) {
				t.Fatalf("the reflector reported the errors %q, want %q", got.errors, test.wantErrors)
			}
			for i, want := range test.wantErrors {
				if !strings.Contains(got.errors[i].Error(), want) {
					t.Errorf("reported error is %q, want one that contains %q", got.errors[i], want)
				}
			}
		})
	}
}

// TestStatusError checks that the error of a failed request contains the status code and the message of the
// server.
func TestStatusError(t *testing.T) {
	_, got := runReflector(t, []response{{403, jsonMediaType, `{"kind":"Status","message":"no"}`}})
	var statusError *StatusError
	if len(got.errors) != 1 || !errors.As(got.errors[0], &statusError) || statusError.Code != 403 || statusError.Message != "no" {
		t.Errorf("the reflector reported the errors %v, want one StatusError with code 403 and the message no", got.errors)
	}
}

// TestEventsSplitAcrossReads checks that the events of a watch are decoded correctly for every size of the
// pieces in which the bytes arrive.
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
			got.recordCallbacks(reflector)
			for piece := range slices.Chunk([]byte(test.stream), size) {
				reflector.decodeStream(slices.Clone(piece))
			}
			if !slices.Equal(got.calls, want) || reflector.resourceVersion != "8" {
				t.Fatalf("%s in pieces of %d bytes: events %q, last resource version %s", test.name, size, got.calls, reflector.resourceVersion)
			}
		}
	}
}
