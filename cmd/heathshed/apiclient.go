package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
)

const (
	maxStatusBytes     = 1 << 20 // of an answer that reports an error
	maxWatchEventBytes = 8 << 20
	maxWatchAttempts   = 20 // in a row without an event
	watchRetryStep     = 200 * time.Millisecond
	maxWatchRetrySteps = 10
)

// apiClient is the API as the operators' commands use it.
type apiClient struct{ server string }

func (a *apiClient) register(c *cobra.Command) {
	server := os.Getenv("HEATHSHED_SERVER")
	if server == "" {
		server = "http://127.0.0.1:8480"
	}
	c.PersistentFlags().StringVarP(&a.server, "server", "s", server, "address of the API (or HEATHSHED_SERVER)")
}

// do sends a request and decodes the answer into out.
func (a *apiClient) do(ctx context.Context, method, path, contentType string, body []byte, out any) error {
	resp, err := a.open(ctx, method, path, contentType, body)
	if err != nil {
		return err
	}
	defer closeBody(resp)
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	return nil
}

// open sends a request and returns the answer for reading. An answer that reports an error is returned as one.
func (a *apiClient) open(ctx context.Context, method, path, contentType string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(a.server, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer closeBody(resp)
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes)) // what was read may suffice
	var status metav1.Status
	if json.Unmarshal(text, &status) == nil && status.Message != "" {
		return nil, fmt.Errorf("%s (%d)", status.Message, resp.StatusCode)
	}
	return nil, fmt.Errorf("%s %s: status %d", method, path, resp.StatusCode)
}

// closeBody closes the body of an answer, of which nothing more is needed.
func closeBody(resp *http.Response) { _ = resp.Body.Close() }

// collectionPath is the path of a resource by one of its names. An empty namespace stands for all.
func collectionPath(resource, namespace string) (string, error) {
	inNamespace := ""
	if namespace != "" {
		inNamespace = "/namespaces/" + url.PathEscape(namespace)
	}
	switch resource {
	case "jobs", "job":
		return "/apis/batch/v1" + inNamespace + "/jobs", nil
	case "pods", "pod", "tasks", "task":
		return "/api/v1" + inNamespace + "/pods", nil
	case "nodes", "node", "machines", "machine":
		return "/api/v1/nodes", nil
	}
	return "", fmt.Errorf("%q: want jobs, pods (tasks) or nodes (machines)", resource)
}

// watchHandler takes an event of a watch: ADDED, MODIFIED or DELETED with the object. It returns true to end the watch.
type watchHandler func(eventType string, object json.RawMessage) bool

// errWatchExpired reports that the server has not stored the changes from the requested revision on.
var errWatchExpired = errors.New("the revision of the watch has expired")

// errWatchEnded reports that the connection of a watch was broken.
var errWatchEnded = errors.New("the connection has ended")

// watch watches a collection, with the objects that exist first, and continues over broken connections until handle ends it or the context
// is done.
func (a *apiClient) watch(ctx context.Context, path string, query url.Values, handle watchHandler) error {
	query.Set("watch", "true")
	query.Set("allowWatchBookmarks", "true")
	stream := watchStream{client: a, handle: handle}
	for attempts := 0; ; {
		query.Set("resourceVersion", stream.revision)
		stream.received = false
		err := stream.read(ctx, path+"?"+query.Encode())
		var failed *watchError
		if errors.As(err, &failed) {
			return failed
		}
		if err == nil || ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, errWatchExpired) {
			stream.revision = ""
		}
		if stream.received {
			attempts = 0
		}
		if attempts++; attempts > maxWatchAttempts {
			return fmt.Errorf("watch does not come about: %w", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Duration(min(attempts, maxWatchRetrySteps)) * watchRetryStep):
		}
	}
}

// watchError is an error that the server reports inside a watch, after which the watch is not tried again.
type watchError struct{ message string }

func (e *watchError) Error() string { return e.message }

// watchStream reads the connections of one watch, one after another.
type watchStream struct {
	client   *apiClient
	handle   watchHandler
	revision string // to resume from
	received bool   // the present connection has brought an event
}

// read reads one connection. It returns nil if the handler ended the watch.
func (s *watchStream) read(ctx context.Context, path string) error {
	resp, err := s.client.open(ctx, http.MethodGet, path, "", nil)
	if err != nil {
		return err
	}
	defer closeBody(resp)
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxWatchEventBytes)
	for lines.Scan() {
		ended, err := s.event(lines.Bytes())
		if ended || err != nil {
			return err
		}
	}
	return errWatchEnded
}

// event takes one line of a connection and reports whether the handler ended the watch. A line that the break of the connection has cut
// short ends the connection: its event comes again.
func (s *watchStream) event(line []byte) (ended bool, err error) {
	var event struct {
		Type   string          `json:"type"`
		Object json.RawMessage `json:"object"`
	}
	if json.Unmarshal(line, &event) != nil {
		return false, errWatchEnded
	}
	var object metav1.PartialObjectMetadata
	if json.Unmarshal(event.Object, &object) != nil {
		return false, errWatchEnded
	}
	if event.Type == "ERROR" {
		var status metav1.Status
		_ = json.Unmarshal(event.Object, &status) // the fields that could be decoded describe the error
		if status.Code == http.StatusGone {
			return false, errWatchExpired
		}
		return false, &watchError{status.Message}
	}
	s.received = true
	s.revision = object.ResourceVersion
	return event.Type != "BOOKMARK" && s.handle(event.Type, event.Object), nil
}
