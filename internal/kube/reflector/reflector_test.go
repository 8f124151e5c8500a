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

	"heathshed/internal/control/retry"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
	"heathshed/internal/netio/httpc"
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
	responses []response
	requests  []string // what each request asked for: "list", or the revision that it watches from
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
	s := &script{responses: responses, hold: make(chan struct{})}
	server := httptest.NewServer(s)
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- loop.Run() }()
	loop.Post(func() {
		r := &Reflector{
			Loop:   loop,
			Client: httpc.New(loop, strings.TrimPrefix(server.URL, "http://")),
			Path:   "/api/v1/nodes",
			Rand:   rand.New(rand.NewPCG(1, 2)),
			Retry:  retry.Backoff{Min: 0.001, Max: 0.01},
		}
		got.follow(r)
		r.Start()
	})
	deadline := time.Now().Add(testTimeout)
	for {
		s.mu.Lock()
		n := len(s.requests)
		s.mu.Unlock()
		if n > len(responses) {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d requests", n, len(responses)+1)
		}
		time.Sleep(time.Millisecond)
	}
	loop.Stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
	close(s.hold)
	server.Close()
	return s.requests, got
}

func (rec *recorder) follow(r *Reflector) {
	nameOf := func(o Object) string {
		node := &corev1.Node{}
		if err := o.Decode(node); err != nil {
			return err.Error()
		}
		return node.Name
	}
	r.OnList = func(_ *http1.Head, resourceVersion string, items []Object) {
		call := "list " + resourceVersion
		for _, item := range items {
			call += " " + nameOf(item)
		}
		rec.calls = append(rec.calls, call)
	}
	r.OnEvent = func(kind string, o Object) { rec.calls = append(rec.calls, kind+" "+nameOf(o)) }
	r.OnError = func(err error) { rec.errors = append(rec.errors, err) }
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
	for _, c := range []struct {
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
		t.Run(c.name, func(t *testing.T) {
			requests, got := run(t, c.responses)
			if !slices.Equal(requests, c.wantRequests) {
				t.Errorf("requests %q, want %q", requests, c.wantRequests)
			}
			if !slices.Equal(got.calls, c.wantCalls) {
				t.Errorf("callbacks %q, want %q", got.calls, c.wantCalls)
			}
			if len(got.errors) != len(c.wantErrors) {
				t.Fatalf("errors %q, want %q", got.errors, c.wantErrors)
			}
			for i, want := range c.wantErrors {
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
func TestPieces(t *testing.T) {
	stream := frame(t, "ADDED", "a", "6") + frame(t, "MODIFIED", "b", "7") + frame(t, "DELETED", "c", "8")
	lines := jsonEvent("ADDED", "a", "6") + jsonEvent("MODIFIED", "b", "7") + jsonEvent("DELETED", "c", "8")
	want := []string{"ADDED a", "MODIFIED b", "DELETED c"}
	for _, c := range []struct {
		name, stream string
		protobuf     bool
	}{{"frames", stream, true}, {"lines", lines, false}} {
		for size := 1; size <= len(c.stream); size++ {
			var got recorder
			r := &Reflector{protobuf: c.protobuf}
			got.follow(r)
			for piece := range slices.Chunk([]byte(c.stream), size) {
				r.decodeStream(slices.Clone(piece))
			}
			if !slices.Equal(got.calls, want) || r.resourceVersion != "8" {
				t.Fatalf("%s in pieces of %d: %q, at %s", c.name, size, got.calls, r.resourceVersion)
			}
		}
	}
}
