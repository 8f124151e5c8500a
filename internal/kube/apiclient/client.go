// Package apiclient is a client of the scheduler's Kubernetes API over HTTP, with JSON objects: it sends requests, reads lists page by page,
// and resumes watches after their connections break. An answer that is not a success is a StatusError. The commands use it, and package
// faultinjection; a scheduler reads its inventory with package reflector instead.
//
// Begin reading at Client.Do (client.go), Client.ListPages (list.go) and Client.Watch (watch.go).
package apiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"k8s.io/apimachinery/pkg/types"
)

const (
	maxStatusBytes  = 1 << 20 // of an answer that reports an error
	maxDiscardBytes = 1 << 20 // of an answer that is discarded
)

// The content types of bodies.
const (
	JSON                = "application/json"
	JSONPatch           = string(types.JSONPatchType)
	MergePatch          = string(types.MergePatchType)
	StrategicMergePatch = string(types.StrategicMergePatchType)
)

// Client sends requests to one server. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client of the server at the given URL.
func New(baseURL string, httpClient *http.Client) *Client {
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), http: httpClient}
}

// Request is a request to a server.
type Request struct {
	Method      string
	Path        string // with the query, if there is one
	ContentType string // of Body; "" for none
	Body        []byte
}

// Send sends a request and returns the answer, whatever its status. The caller must close its body.
func (c *Client) Send(ctx context.Context, request *Request) (*http.Response, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, c.baseURL+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	if request.ContentType != "" {
		httpRequest.Header.Set("Content-Type", request.ContentType)
	}
	return c.http.Do(httpRequest)
}

// Do sends a request and decodes the answer into out, or discards it if out is nil. The error is a *StatusError if the server answered that
// the request did not succeed.
func (c *Client) Do(ctx context.Context, request *Request, out any) error {
	response, err := c.open(ctx, request)
	if err != nil {
		return err
	}
	if out == nil {
		DiscardResponse(response)
		return nil
	}
	defer closeBody(response)
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return fmt.Errorf("%s %s: %w", request.Method, request.Path, err)
	}
	return nil
}

// open sends a request and returns a successful answer, whose body the caller must close.
func (c *Client) open(ctx context.Context, request *Request) (*http.Response, error) {
	response, err := c.Send(ctx, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer closeBody(response)
	return nil, newStatusError(request, response)
}

// Get reads an object or a list.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.Do(ctx, &Request{Method: http.MethodGet, Path: path}, out)
}

// Create posts an object, as JSON, to a collection. The created object is decoded into out, which may be nil.
func (c *Client) Create(ctx context.Context, path string, object []byte, out any) error {
	return c.Do(ctx, &Request{Method: http.MethodPost, Path: path, ContentType: JSON, Body: object}, out)
}

// Patch changes an object by a JSON merge patch. The changed object is decoded into out, which may be nil.
func (c *Client) Patch(ctx context.Context, path string, patch []byte, out any) error {
	return c.Do(ctx, &Request{Method: http.MethodPatch, Path: path, ContentType: MergePatch, Body: patch}, out)
}

// Delete deletes an object.
func (c *Client) Delete(ctx context.Context, path string) error {
	return c.Do(ctx, &Request{Method: http.MethodDelete, Path: path, ContentType: JSON}, nil)
}

// SetUnschedulable drains a node, or cancels its drain. The changed Node is decoded into out, which may be nil.
func (c *Client) SetUnschedulable(ctx context.Context, node string, unschedulable bool, out any) error {
	return c.Patch(ctx, NodePath(node), fmt.Appendf(nil, `{"spec":{"unschedulable":%v}}`, unschedulable), out)
}

// DiscardResponse reads an answer to its end and closes it, so that its connection can be reused. Errors are ignored: the connection is closed then.
func DiscardResponse(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardBytes))
	closeBody(response)
}

// closeBody closes the body of an answer. Its error is ignored, since nothing more is read.
func closeBody(response *http.Response) { _ = response.Body.Close() }
