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

// newClient returns a client of a server that the handler answers for.
func newClient(t *testing.T, handler http.HandlerFunc) *apiclient.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return apiclient.New(server.URL+"/", server.Client())
}

// reply writes an answer.
func reply(t *testing.T, w http.ResponseWriter, status int, body string) {
	t.Helper()
	w.WriteHeader(status)
	if _, err := io.WriteString(w, body); err != nil {
		t.Error(err)
	}
}

// TestStatusErrors checks that an answer that reports an error is an error with the message of its Status, or with the code if it has none.
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
			client := newClient(t, func(w http.ResponseWriter, _ *http.Request) { reply(t, w, test.status, test.body) })
			var out map[string]any
			err := client.Get(t.Context(), "/x", &out)
			var status *apiclient.StatusError
			if !errors.As(err, &status) || status.Code != test.status || err.Error() != test.want {
				t.Fatalf("%#v, want a StatusError %q", err, test.want)
			}
			if status.Temporary() != test.temporary || status.Conflict() != test.conflict {
				t.Errorf("temporary %v, conflict %v, want %v, %v", status.Temporary(), status.Conflict(), test.temporary, test.conflict)
			}
		})
	}
}

// TestInvalidJSONResponse checks that a good answer whose body is no JSON is an error that is no StatusError.
func TestInvalidJSONResponse(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, _ *http.Request) { reply(t, w, http.StatusOK, "oops") })
	var out map[string]any
	err := client.Get(t.Context(), "/x", &out)
	const want = "GET /x: invalid character 'o' looking for beginning of value"
	var status *apiclient.StatusError
	if err == nil || err.Error() != want || errors.As(err, &status) {
		t.Errorf("%#v, want %q", err, want)
	}
	if err := client.Do(t.Context(), &apiclient.Request{Method: http.MethodGet, Path: "/x"}, nil); err != nil {
		t.Errorf("answer that is not looked at: %v", err)
	}
}

// TestUnreachableServer checks that a server that cannot be reached is an error that is no StatusError.
func TestUnreachableServer(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	var status *apiclient.StatusError
	if err := apiclient.New(server.URL, server.Client()).Get(t.Context(), "/x", nil); err == nil || errors.As(err, &status) {
		t.Errorf("%#v, want an error of the connection", err)
	}
}

// sent is what a request puts on the wire.
type sent struct{ method, uri, contentType, body string }

// TestRequests checks what each call puts on the wire, and that the answer is decoded.
func TestRequests(t *testing.T) {
	var got sent
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		got = sent{r.Method, r.RequestURI, r.Header.Get("Content-Type"), string(text)}
		reply(t, w, http.StatusOK, `{"metadata":{"name":"n"}}`)
	})
	ctx := t.Context()
	for _, test := range []struct {
		name    string
		call    func(out *corev1.Node) error
		want    sent
		decoded bool
	}{
		{"get", func(out *corev1.Node) error { return client.Get(ctx, apiclient.NodePath("a b"), out) },
			sent{http.MethodGet, "/api/v1/nodes/a%20b", "", ""}, true},
		{"create", func(out *corev1.Node) error { return client.Create(ctx, apiclient.JobsPath("ns"), []byte("{}"), out) },
			sent{http.MethodPost, "/apis/batch/v1/namespaces/ns/jobs", "application/json", "{}"}, true},
		{"create an eviction", func(out *corev1.Node) error {
			return client.Create(ctx, apiclient.EvictionPath("ns", "p"), []byte("{}"), out)
		},
			sent{http.MethodPost, "/api/v1/namespaces/ns/pods/p/eviction", "application/json", "{}"}, true},
		{"patch", func(out *corev1.Node) error { return client.Patch(ctx, apiclient.PodsPath(""), []byte(`{"a":1}`), out) },
			sent{http.MethodPatch, "/api/v1/pods", "application/merge-patch+json", `{"a":1}`}, true},
		{"set unschedulable", func(out *corev1.Node) error { return client.SetUnschedulable(ctx, "n", true, out) },
			sent{http.MethodPatch, "/api/v1/nodes/n", "application/merge-patch+json", `{"spec":{"unschedulable":true}}`}, true},
		{"delete", func(*corev1.Node) error { return client.Delete(ctx, apiclient.ObjectPath(apiclient.JobsPath(""), "j")) },
			sent{http.MethodDelete, "/apis/batch/v1/jobs/j", "application/json", ""}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got = sent{}
			var out corev1.Node
			if err := test.call(&out); err != nil {
				t.Fatal(err)
			}
			if got != test.want {
				t.Errorf("sent %q, want %q", got, test.want)
			}
			if decoded := out.Name == "n"; decoded != test.decoded {
				t.Errorf("answer decoded: %v, want %v", decoded, test.decoded)
			}
		})
	}
}

// TestListPages checks that a list is read page by page, that the selectors are part of each request, and that an error ends it.
func TestListPages(t *testing.T) {
	selectors := url.Values{"labelSelector": {"x=y"}}
	var queries []string
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		queries = append(queries, r.URL.RawQuery)
		switch r.URL.Query().Get("continue") {
		case "":
			reply(t, w, http.StatusOK, `{"kind":"PodList","metadata":{"continue":"second"},"items":[{"a":1},{"a":2}]}`)
		case "second":
			reply(t, w, http.StatusOK, `{"kind":"PodList","metadata":{"continue":"third"},"items":[{"a":3}]}`)
		default:
			reply(t, w, http.StatusGone, `{"message":"too old"}`)
		}
	})
	var items []string
	var failed error
	for page, err := range client.ListPages(t.Context(), "/api/v1/pods", selectors, 2) {
		if err != nil {
			failed = err
			break
		}
		if page.Kind != "PodList" {
			t.Errorf("kind %q", page.Kind)
		}
		for _, item := range page.Items {
			items = append(items, string(item))
		}
	}
	if want := []string{`{"a":1}`, `{"a":2}`, `{"a":3}`}; !slices.Equal(items, want) {
		t.Errorf("items %v, want %v", items, want)
	}
	if failed == nil || failed.Error() != "too old (410)" {
		t.Errorf("error %v, want that of the third page", failed)
	}
	want := []string{"labelSelector=x%3Dy&limit=2", "continue=second&labelSelector=x%3Dy&limit=2", "continue=third&labelSelector=x%3Dy&limit=2"}
	if !slices.Equal(queries, want) {
		t.Errorf("queries %q, want %q", queries, want)
	}
	if encoded, _ := json.Marshal(selectors); string(encoded) != `{"labelSelector":["x=y"]}` {
		t.Errorf("the caller's selectors have become %s", encoded)
	}
}
