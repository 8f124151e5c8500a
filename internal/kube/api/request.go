package api

import (
	"fmt"
	"mime"
	"net/http"
	"net/url"
	"slices"
	"strings"

	apierrors "k8s.io/apimachinery/pkg/api/errors"
	"k8s.io/apimachinery/pkg/api/validate/content"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/runtime/schema"
	utilvalidation "k8s.io/apimachinery/pkg/util/validation"

	"heathshed/internal/kube/store"
	"heathshed/internal/netio/http1"
)

const evictionSubresource = "eviction"

// request is an HTTP request together with the parsed target.
type request struct {
	*http1.Request
	// pathSegments contains the unescaped segments of the path. It has at least one element.
	pathSegments []string
	query        url.Values

	// resourceType is nil if the path is a discovery path.
	resourceType *resourceType
	// namespace is empty if the request covers all namespaces or the resource has none.
	namespace string
	// name is empty if the request refers to a list.
	name        string
	subresource string
	// warnings are sent to the client in Warning header fields of the response.
	warnings []string
}

// isRead reports whether the request has the method GET or HEAD.
func (r *request) isRead() bool {
	return r.Head.Method == http.MethodGet || r.Head.Method == http.MethodHead
}

func (r *request) isWatch() bool { return isTrue(r.query.Get("watch")) }

// isTrue reports whether the value of a boolean query parameter means true.
func isTrue(parameter string) bool { return parameter == "true" || parameter == "1" }

func (r *request) groupResource() schema.GroupResource {
	return schema.GroupResource{Group: r.resourceType.groupVersion.Group, Resource: r.resourceType.resource.String()}
}

func (r *request) groupKind() schema.GroupKind {
	return schema.GroupKind{Group: r.resourceType.groupVersion.Group, Kind: r.resourceType.kind}
}

func (r *request) methodNotAllowed() error {
	return apierrors.NewMethodNotSupported(r.groupResource(), strings.ToLower(r.Head.Method))
}

// parseTarget parses the request target, which may be in origin form (/path) or absolute form
// (http://host/path).
func (r *request) parseTarget() error {
	path, rawQuery, _ := strings.Cut(r.Head.Target, "?")
	if _, authority, absolute := strings.Cut(path, "://"); absolute {
		_, path, _ = strings.Cut(authority, "/")
	}
	var err error
	if r.query, err = url.ParseQuery(rawQuery); err != nil {
		return apierrors.NewBadRequest("query: " + err.Error())
	}
	for escaped := range strings.SplitSeq(strings.Trim(path, "/"), "/") {
		segment, err := url.PathUnescape(escaped)
		if err != nil {
			return apierrors.NewBadRequest("path: " + err.Error())
		}
		r.pathSegments = append(r.pathSegments, segment)
	}
	return nil
}

// discoveryPaths contains the paths of API discovery, split into segments.
var discoveryPaths = [][]string{
	{"api"},
	{"api", "v1"},
	{"apis"},
	{"apis", "batch"},
	{"apis", "batch", "v1"},
	{"version"},
}

// route determines the namespace, resource type, object name and subresource from the path. The resource type
// remains nil if the path is a discovery path.
func (r *request) route() error {
	isRequestPath := func(path []string) bool { return slices.Equal(path, r.pathSegments) }
	if slices.ContainsFunc(discoveryPaths, isRequestPath) {
		return nil
	}
	remaining, ok := cutGroupVersion(r.pathSegments)
	if !ok {
		return newPathNotFound()
	}
	inCoreGroup := r.pathSegments[0] == "api"
	if len(remaining) >= 3 && remaining[0] == "namespaces" && (!inCoreGroup || remaining[2] != "status") {
		if len(utilvalidation.IsDNS1123Label(remaining[1])) > 0 {
			return newInvalidSegment("namespace", remaining[1])
		}
		r.namespace = remaining[1]
		remaining = remaining[2:]
	}
	r.resourceType = findResourceType(remaining[0], inCoreGroup)
	if r.resourceType == nil || r.namespace != "" && !r.resourceType.namespaced || len(remaining) > 3 {
		return newPathNotFound()
	}
	return r.routeObject(remaining[1:])
}

// cutGroupVersion removes the API group and version from the path segments. It returns false if the group or
// version is not served or if no segment remains.
func cutGroupVersion(path []string) (remaining []string, ok bool) {
	switch {
	case len(path) >= 3 && path[0] == "api" && path[1] == "v1":
		return path[2:], true
	case len(path) >= 4 && path[0] == "apis" && path[1] == "batch" && path[2] == "v1":
		return path[3:], true
	}
	return nil, false
}

// routeObject parses the path segments after the resource, which are an optional object name and an optional
// subresource.
func (r *request) routeObject(segments []string) error {
	if len(segments) == 0 {
		return nil
	}
	name := segments[0]
	if len(content.IsPathSegmentName(name)) > 0 || len(utilvalidation.IsDNS1123Subdomain(name)) > 0 {
		return newInvalidSegment("name", name)
	}
	r.name = name
	if r.resourceType.namespaced && r.namespace == "" {
		return newPathNotFound()
	}
	if len(segments) == 1 {
		return nil
	}
	r.subresource = segments[1]
	isEviction := r.subresource == evictionSubresource && r.resourceType.resource == store.Pods
	if r.subresource != "status" && !isEviction {
		return newPathNotFound()
	}
	return nil
}

// checkEncodings rejects a request with a compressed body, and a request whose client accepts no media type
// that the server can produce.
func (r *request) checkEncodings() error {
	encoding := r.Head.Header.Get("Content-Encoding")
	if encoding != "" && !strings.EqualFold(encoding, "identity") {
		return newStatusError(http.StatusUnsupportedMediaType, metav1.StatusReasonUnsupportedMediaType,
			fmt.Sprintf("content-encoding %.40q: bodies are taken as they are only", encoding))
	}
	if !acceptsJSON(r.Head.Header.Get("Accept")) {
		return newStatusError(http.StatusNotAcceptable, metav1.StatusReasonNotAcceptable,
			"only the following media types are accepted: application/json")
	}
	return nil
}

// acceptsJSON reports whether a client accepts JSON or the protobuf encoding. The server sends protobuf
// only in watches. A client that accepts only protobuf still receives every other response as JSON, which the
// Content-Type header of the response states.
func acceptsJSON(accept string) bool {
	if accept == "" {
		return true
	}
	for part := range strings.SplitSeq(accept, ",") {
		mediaType, parameters, err := mime.ParseMediaType(part)
		if err != nil || parameters["as"] != "" {
			continue
		}
		switch mediaType {
		case jsonType, protobufType, "*/*", "application/*":
			return true
		}
	}
	return false
}

// dryRun reports whether the query parameter dryRun or the options in the request body request a dry run.
func (r *request) dryRun(options []string) (bool, error) {
	values := slices.Concat(r.query["dryRun"], options)
	for _, value := range values {
		if value != metav1.DryRunAll {
			return false, apierrors.NewBadRequest("dryRun: want All")
		}
	}
	return len(values) > 0, nil
}
