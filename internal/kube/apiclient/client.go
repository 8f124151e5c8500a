// Package apiclient is a client for the scheduler's Kubernetes API. It exchanges JSON objects over HTTP,
// reads lists page by page, and resumes watches after their connections break. It returns a *StatusError
// for every response whose status is not 2xx. The commands of cmd/heathshed and package faultinjection use
// apiclient. The scheduler itself uses package reflector to read its inventory.
//
// The main entry points are Client.Do (client.go), Client.ListPages (list.go) and Client.Watch (watch.go).
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
	maxStatusBytes  = 1 << 20 // largest part of an error response that is read
	maxDiscardBytes = 1 << 20 // largest part of a discarded response that is read
)

// Content types of request bodies.
const (
	JSON                = "application/json"
	JSONPatch           = string(types.JSONPatchType)
	MergePatch          = string(types.MergePatchType)
	StrategicMergePatch = string(types.StrategicMergePatchType)
)

// Client sends requests to a single server. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// New returns a Client that sends requests to baseURL with httpClient.
func New(baseURL string, httpClient *http.Client) *Client {
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), httpClient: httpClient}
}

// Request is an HTTP request to the API.
type Request struct {
	Method      string
	Path        string // path and optional query, relative to the base URL
	ContentType string // content type of Body; if "", no Content-Type header is sent
	Body        []byte
}

// Send sends a request and returns the response regardless of its status. The caller must close the
// response body.
func (c *Client) Send(ctx context.Context, request *Request) (*http.Response, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, c.baseURL+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	if request.ContentType != "" {
		httpRequest.Header.Set("Content-Type", request.ContentType)
	}
	return c.httpClient.Do(httpRequest)
}

// Do sends a request and decodes the JSON response into out. If out is nil, Do discards the response. Do
// returns a *StatusError if the status of the response is not 2xx.
func (c *Client) Do(ctx context.Context, request *Request, out any) error {
	response, err := c.sendExpectingSuccess(ctx, request)
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

// sendExpectingSuccess sends a request and returns the response if its status is 2xx, and a *StatusError
// otherwise. The caller must close the body of a returned response.
func (c *Client) sendExpectingSuccess(ctx context.Context, request *Request) (*http.Response, error) {
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

// Get reads the object or list at path and decodes it into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.Do(ctx, &Request{Method: http.MethodGet, Path: path}, out)
}

// Create posts an object, encoded as JSON, to the collection at path. It decodes the created object into
// out, which may be nil.
func (c *Client) Create(ctx context.Context, path string, object []byte, out any) error {
	return c.Do(ctx, &Request{Method: http.MethodPost, Path: path, ContentType: JSON, Body: object}, out)
}

// Patch applies a JSON merge patch to the object at path. It decodes the changed object into out, which may
// be nil.
func (c *Client) Patch(ctx context.Context, path string, patch []byte, out any) error {
	return c.Do(ctx, &Request{Method: http.MethodPatch, Path: path, ContentType: MergePatch, Body: patch}, out)
}

// Delete deletes the object at path.
func (c *Client) Delete(ctx context.Context, path string) error {
	return c.Do(ctx, &Request{Method: http.MethodDelete, Path: path, ContentType: JSON}, nil)
}

// SetUnschedulable sets spec.unschedulable of a Node: true drains the node, false cancels the drain. It
// decodes the changed Node into out, which may be nil.
func (c *Client) SetUnschedulable(ctx context.Context, node string, unschedulable bool, out any) error {
	return c.Patch(ctx, NodePath(node), fmt.Appendf(nil, `{"spec":{"unschedulable":%v}}`, unschedulable), out)
}

// DiscardResponse reads the rest of a response, up to maxDiscardBytes, and closes its body, so that the
// connection can be reused. It ignores errors, because a connection that failed is closed and not reused.
func DiscardResponse(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardBytes))
	closeBody(response)
}

// closeBody closes the body of a response. It ignores the error, because nothing more is read from the body.
func closeBody(response *http.Response) { _ = response.Body.Close() }
