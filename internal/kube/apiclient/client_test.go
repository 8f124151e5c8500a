package apiclient_test

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"testing"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/apiclient"
)

// newClient starts a server with the given handler and returns a client for it.
func newClient(t *testing.T, handler http.HandlerFunc) *apiclient.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return apiclient.New(server.URL+"/", server.Client())
}

// writeResponse writes a response with the given status and body.
func writeResponse(t *testing.T, w http.ResponseWriter, status int, body string) {
	t.Helper()
	w.WriteHeader(status)
	if _, err := io.WriteString(w, body); err != nil {
		t.Error(err)
	}
}

// TestStatusErrors checks that a response that is not a success becomes a StatusError with the message of
// the Status object in the body, or with the status code if the body has no message.
func TestStatusErrors(t *testing.T) {
	for _, test := range []struct {
		name, body string
		status     int
		want       string
		temporary  bool
		conflict   bool
	}{
		{"status", `{"kind":"Status","message":"no such job"}`, http.StatusNotFound, "no such job (404)", false, false},
		{"no status", "oops", http.StatusBadGateway, "GET /x: status 502", false, false},
		{"status without a message", `{"kind":"Status"}`, http.StatusConflict, "GET /x: status 409", false, true},
		{"too many requests", `{"message":"later"}`, http.StatusTooManyRequests, "later (429)", true, false},
		{"unavailable", "", http.StatusServiceUnavailable, "GET /x: status 503", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := newClient(t, func(w http.ResponseWriter, _ *http.Request) { writeResponse(t, w, test.status, test.body) })
			var out map[string]any
			err := client.Get(t.Context(), "/x", &out)
			var statusError *apiclient.StatusError
			if !errors.As(err, &statusError) || statusError.Code != test.status || err.Error() != test.want {
				t.Fatalf("Get returned %#v, want a StatusError with the text %q", err, test.want)
			}
			if statusError.Temporary() != test.temporary || statusError.Conflict() != test.conflict {
				t.Errorf("Temporary() = %v and Conflict() = %v, want %v and %v", statusError.Temporary(), statusError.Conflict(), test.temporary, test.conflict)
			}
		})
	}
}

// TestInvalidJSONResponse checks that a 200 response whose body is not JSON gives an error other than a
// StatusError, and that no error is returned if the response is discarded.
func TestInvalidJSONResponse(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, _ *http.Request) { writeResponse(t, w, http.StatusOK, "oops") })
	var out map[string]any
	err := client.Get(t.Context(), "/x", &out)
	const want = "GET /x: invalid character 'o' looking for beginning of value"
	var statusError *apiclient.StatusError
	if err == nil || err.Error() != want || errors.As(err, &statusError) {
		t.Errorf("Get returned %#v, want the error %q", err, want)
	}
	if err := client.Do(t.Context(), &apiclient.Request{Method: http.MethodGet, Path: "/x"}, nil); err != nil {
		t.Errorf("Do returned %v for a response that it discards, want no error", err)
	}
}

// TestUnreachableServer checks that a failed connection gives an error other than a StatusError.
func TestUnreachableServer(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	var statusError *apiclient.StatusError
	if err := apiclient.New(server.URL, server.Client()).Get(t.Context(), "/x", nil); err == nil || errors.As(err, &statusError) {
		t.Errorf("Get returned %#v, want a connection error", err)
	}
}

// sentRequest is a request as the server received it.
type sentRequest struct{ method, uri, contentType, body string }

// TestRequests checks the HTTP request that each method of Client sends, and that the method decodes the
// response.
func TestRequests(t *testing.T) {
	var got sentRequest
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		got = sentRequest{r.Method, r.RequestURI, r.Header.Get("Content-Type"), string(body)}
		writeResponse(t, w, http.StatusOK, `{"metadata":{"name":"n"}}`)
	})
	ctx := t.Context()
	for _, test := range []struct {
		name        string
		call        func(out *corev1.Node) error
		want        sentRequest
		wantDecoded bool
	}{
		{"get", func(out *corev1.Node) error { return client.Get(ctx, apiclient.NodePath("a b"), out) },
			sentRequest{http.MethodGet, "/api/v1/nodes/a%20b", "", ""}, true},
		{"create", func(out *corev1.Node) error { return client.Create(ctx, apiclient.JobsPath("ns"), []byte("{}"), out) },
			sentRequest{http.MethodPost, "/apis/batch/v1/namespaces/ns/jobs", "application/json", "{}"}, true},
		{"create an eviction", func(out *corev1.Node) error {
			return client.Create(ctx, apiclient.EvictionPath("ns", "p"), []byte("{}"), out)
		},
			sentRequest{http.MethodPost, "/api/v1/namespaces/ns/pods/p/eviction", "application/json", "{}"}, true},
		{"patch", func(out *corev1.Node) error { return client.Patch(ctx, apiclient.PodsPath(""), []byte(`{"a":1}`), out) },
			sentRequest{http.MethodPatch, "/api/v1/pods", "application/merge-patch+json", `{"a":1}`}, true},
		{"set unschedulable", func(out *corev1.Node) error { return client.SetUnschedulable(ctx, "n", true, out) },
			sentRequest{http.MethodPatch, "/api/v1/nodes/n", "application/merge-patch+json", `{"spec":{"unschedulable":true}}`}, true},
		{"delete", func(*corev1.Node) error { return client.Delete(ctx, apiclient.ObjectPath(apiclient.JobsPath(""), "j")) },
			sentRequest{http.MethodDelete, "/apis/batch/v1/jobs/j", "application/json", ""}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got = sentRequest{}
			var out corev1.Node
			if err := test.call(&out); err != nil {
				t.Fatal(err)
			}
			if got != test.want {
				t.Errorf("the client sent %q, want %q", got, test.want)
			}
			if decoded := out.Name == "n"; decoded != test.wantDecoded {
				t.Errorf("response decoded: %v, want %v", decoded, test.wantDecoded)
			}
		})
	}
}

// TestListPages checks that ListPages reads a collection page by page, sends the selectors with each
// request, leaves the caller's query unchanged, and ends after the first error.
func TestListPages(t *testing.T) {
	selectors := url.Values{"labelSelector": {"x=y"}}
	var queries []string
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		queries = append(queries, r.URL.RawQuery)
		switch r.URL.Query().Get("continue") {
		case "":
			writeResponse(t, w, http.StatusOK, `{"kind":"PodList","metadata":{"continue":"second"},"items":[{"a":1},{"a":2}]}`)
		case "second":
			writeResponse(t, w, http.StatusOK, `{"kind":"PodList","metadata":{"continue":"third"},"items":[{"a":3}]}`)
		default:
			writeResponse(t, w, http.StatusGone, `{"message":"too old"}`)
		}
	})
	var items []string
	var listError error
	for page, err := range client.ListPages(t.Context(), "/api/v1/pods", selectors, 2) {
		if err != nil {
			listError = err
			break
		}
		if page.Kind != "PodList" {
			t.Errorf("kind of the page is %q, want PodList", page.Kind)
		}
		for _, item := range page.Items {
			items = append(items, string(item))
		}
	}
	if want := []string{`{"a":1}`, `{"a":2}`, `{"a":3}`}; !slices.Equal(items, want) {
		t.Errorf("items %v, want %v", items, want)
	}
	if listError == nil || listError.Error() != "too old (410)" {
		t.Errorf("ListPages ended with %v, want the error of the third page: too old (410)", listError)
	}
	want := []string{"labelSelector=x%3Dy&limit=2", "continue=second&labelSelector=x%3Dy&limit=2", "continue=third&labelSelector=x%3Dy&limit=2"}
	if !slices.Equal(queries, want) {
		t.Errorf("queries %q, want %q", queries, want)
	}
	if encoded, _ := json.Marshal(selectors); string(encoded) != `{"labelSelector":["x=y"]}` {
		t.Errorf("ListPages changed the caller's query to %s", encoded)
	}
}
