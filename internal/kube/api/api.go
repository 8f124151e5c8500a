// Package api implements the Kubernetes API. It follows the public specification of this API and uses the
// types of k8s.io/api. Server.Serve turns each HTTP request into a response. The response to a watch request
// contains a stream of events.
//
// The package parses requests, calls package engine to change objects, and encodes responses. It opens no
// sockets, reads no clock and makes no placement decisions: the caller passes the time with each request.
// Package scheduler serves the API over HTTP. The nodes and the inventory (the server that lists all nodes) in
// package emulator use package api without an engine and serve a read-only API. The file docs/api.md lists the
// parts of the specification that are not implemented.
//
// New readers should start with Server.Serve (api.go). This method passes each request for API objects to
// serveRead (get, list and watch) or to serveWrite (create, update and delete).
package api

import (
	"net/http"
	"strconv"

	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/store"
	"heathshed/internal/netio/http1"
	"heathshed/placer"
)

// Server answers API requests about the objects in a store. Only the goroutine that owns the store may use a
// Server.
type Server struct {
	// Store contains the objects that the API serves.
	Store *store.Store
	// Engine is the core of the scheduler. It carries out the requests that change objects. If Engine is
	// nil, the server rejects such requests.
	Engine *engine.Engine
	// Version is the program version that the response to GET /version contains.
	Version string
	// Ready returns nil if the scheduler accepts Jobs. Otherwise it returns an error that states the reason.
	Ready func() error
	// Metrics returns the body of the response to GET /metrics. If Metrics is nil, the server does not serve
	// this path.
	Metrics func() []byte
	// DefaultListLimit is the maximum number of objects in the response to a list request that sets no
	// limit. If DefaultListLimit is 0, the number of objects is unlimited.
	DefaultListLimit int

	// now is the Unix time that the caller passed in the last call of Serve or SetTime.
	now placer.Seconds
	// watchers contains the open watches.
	watchers map[*watcher]struct{}
	// closing is true after a call of CloseWatches. The server then ends open watches and rejects requests
	// for new watches.
	closing bool
}

// Serve answers an HTTP request that arrived at the given Unix time.
func (s *Server) Serve(now placer.Seconds, r *http1.Request) http1.Response {
	s.now = now
	parsedRequest := &request{Request: r}
	response, err := s.serve(parsedRequest)
	if err != nil {
		response = errorResponse(err)
	}
	for _, warning := range parsedRequest.warnings {
		response.Header = append(response.Header, http1.Field{Name: "Warning", Value: "299 - " + strconv.Quote(warning)})
	}
	return response
}

// serve parses the target of a request and answers the request. The caller converts an error that serve
// returns to an error response.
func (s *Server) serve(r *request) (http1.Response, error) {
	if err := r.parseTarget(); err != nil {
		return http1.Response{}, err
	}
	if response, ok := s.serveNonResource(r); ok {
		return response, nil
	}
	if err := r.route(); err != nil {
		return http1.Response{}, err
	}
	if r.resourceType == nil {
		return s.serveDiscovery(r)
	}
	if err := r.checkEncodings(); err != nil {
		return http1.Response{}, err
	}
	if r.isRead() {
		return s.serveRead(r)
	}
	return s.serveWrite(r)
}

// serveRead serves GET and HEAD requests for a single object or a list of objects, and watch requests.
func (s *Server) serveRead(r *request) (http1.Response, error) {
	if r.subresource != "" && r.subresource != "status" {
		return http1.Response{}, r.methodNotAllowedError()
	}
	if r.name == "" {
		return s.listObjects(r)
	}
	if !r.isWatch() {
		return s.getObject(r)
	}
	// A watch of a single object is served as a watch of a list with a field selector on the object's name.
	r.query.Set("fieldSelector", "metadata.name="+r.name)
	r.name = ""
	return s.listObjects(r)
}

// serveWrite serves POST, PUT, PATCH and DELETE requests, which change objects.
func (s *Server) serveWrite(r *request) (http1.Response, error) {
	if s.Engine == nil {
		return http1.Response{}, r.methodNotAllowedError()
	}
	switch r.Head.Method {
	case http.MethodPost:
		return s.servePost(r)
	case http.MethodPut, http.MethodPatch:
		if r.resourceType.supports("update") && r.subresource == "" && r.name != "" {
			return s.updateObject(r)
		}
	case http.MethodDelete:
		if r.resourceType.supports("delete") && r.subresource == "" {
			return s.deleteObjects(r)
		}
	}
	return http1.Response{}, r.methodNotAllowedError()
}

// servePost serves POST requests, which create Jobs or Evictions of Pods.
func (s *Server) servePost(r *request) (http1.Response, error) {
	switch {
	case r.resourceType.supports("create") && r.subresource == "" && r.name == "":
		return s.createJob(r)
	case r.resourceType.resource == store.Pods && r.subresource == evictionSubresource:
		return s.evictPod(r)
	}
	return http1.Response{}, r.methodNotAllowedError()
}

// serveNonResource serves requests for the health checks and the metrics. The paths of these requests
// belong to no API resource. The result is false if a request has any other path.
func (s *Server) serveNonResource(r *request) (http1.Response, bool) {
	const plainTextType = "text/plain; charset=utf-8"
	const metricsTextType = "text/plain; version=0.0.4; charset=utf-8"
	switch r.pathSegments[0] {
	case "livez", "healthz":
		return textResponse(http.StatusOK, plainTextType, []byte("ok")), true
	case "readyz":
		if err := s.readyError(); err != nil {
			return textResponse(http.StatusServiceUnavailable, plainTextType, []byte(err.Error()+"\n")), true
		}
		return textResponse(http.StatusOK, plainTextType, []byte("ok")), true
	case "metrics":
		if s.Metrics != nil {
			return textResponse(http.StatusOK, metricsTextType, s.Metrics()), true
		}
	}
	return http1.Response{}, false
}

// readyError returns nil if the scheduler accepts Jobs. Otherwise it returns an error that states the reason.
func (s *Server) readyError() error {
	if s.Ready == nil {
		return nil
	}
	return s.Ready()
}
