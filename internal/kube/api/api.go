// Package api serves the Kubernetes API over an engine, by the public specification and with the types of k8s.io/api. A request gives a
// response; a watch gives a response with a stream.
//
// It is a codec above the engine, without sockets and without a clock: the time comes with each request. It decides nothing about placement.
// Package scheduler serves it over HTTP; the emulated inventory serves it read-only, without an engine. Parts of the specification that are
// left out are listed in docs/api.md.
//
// Begin reading at Server.Serve (api.go), which passes a request to serveRead (get, list and watch) or serveWrite (create, update, delete).
package api

import (
	"net/http"
	"strconv"

	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/store"
	"heathshed/internal/netio/http1"
	"heathshed/placer"
)

// Server answers API requests about the objects of a store. Only the goroutine that owns the store may use it.
type Server struct {
	Store *store.Store
	// Engine executes the requests that change objects. If it is nil, the server is read-only.
	Engine  *engine.Engine
	Version string
	// Ready returns the reason why the scheduler does not accept Jobs, nil if it accepts them.
	Ready func() error
	// Metrics returns the text of /metrics.
	Metrics func() []byte
	// DefaultListLimit bounds the objects on one page of a list whose request names no limit; 0 is no bound.
	DefaultListLimit int

	now      placer.Seconds // Unix time of the present request
	watchers map[*watcher]struct{}
	closing  bool // CloseWatches was called
}

// Serve answers one request at a Unix time.
func (s *Server) Serve(now placer.Seconds, r *http1.Request) http1.Response {
	s.now = now
	parsed := &request{Request: r}
	response, err := s.serve(parsed)
	if err != nil {
		response = errorResponse(err)
	}
	for _, warning := range parsed.warnings {
		response.Header = append(response.Header, http1.Field{Name: "Warning", Value: "299 - " + strconv.Quote(warning)})
	}
	return response
}

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

// serveRead serves GET and HEAD of a resource.
func (s *Server) serveRead(r *request) (http1.Response, error) {
	if r.subresource != "" && r.subresource != "status" {
		return http1.Response{}, r.methodNotAllowed()
	}
	if r.name == "" {
		return s.listObjects(r)
	}
	if !r.isWatch() {
		return s.getObject(r)
	}
	// A watch of one object is a watch of the list that contains only this object.
	r.query.Set("fieldSelector", "metadata.name="+r.name)
	r.name = ""
	return s.listObjects(r)
}

// serveWrite serves the methods that change objects.
func (s *Server) serveWrite(r *request) (http1.Response, error) {
	if s.Engine == nil {
		return http1.Response{}, r.methodNotAllowed()
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
	return http1.Response{}, r.methodNotAllowed()
}

// servePost serves the creation of Jobs and of Evictions of Pods.
func (s *Server) servePost(r *request) (http1.Response, error) {
	switch {
	case r.resourceType.supports("create") && r.subresource == "" && r.name == "":
		return s.createJob(r)
	case r.resourceType.resource == store.Pods && r.subresource == evictionSubresource:
		return s.evictPod(r)
	}
	return http1.Response{}, r.methodNotAllowed()
}

// serveNonResource answers the paths outside of the resource API: health checks and metrics. It returns false for any other.
func (s *Server) serveNonResource(r *request) (http1.Response, bool) {
	const plainText = "text/plain; charset=utf-8"
	const metricsText = "text/plain; version=0.0.4; charset=utf-8"
	switch r.path[0] {
	case "livez", "healthz":
		return textResponse(http.StatusOK, plainText, []byte("ok")), true
	case "readyz":
		if err := s.readyError(); err != nil {
			return textResponse(http.StatusServiceUnavailable, plainText, []byte(err.Error()+"\n")), true
		}
		return textResponse(http.StatusOK, plainText, []byte("ok")), true
	case "metrics":
		if s.Metrics != nil {
			return textResponse(http.StatusOK, metricsText, s.Metrics()), true
		}
	}
	return http1.Response{}, false
}

// readyError returns the reason why the scheduler does not accept Jobs, nil if it accepts them.
func (s *Server) readyError() error {
	if s.Ready == nil {
		return nil
	}
	return s.Ready()
}
