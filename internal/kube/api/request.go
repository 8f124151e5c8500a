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

// request is an HTTP request with its target parsed.
type request struct {
	*http1.Request
	path  []string // the unescaped segments, at least one
	query url.Values

	resourceType *resourceType // nil for a path of discovery
	namespace    string        // "" for all, or none
	name         string        // "" for a list
	subresource  string
	warnings     []string // to be sent with the response
}

// isRead reports whether the method is read-only.
func (r *request) isRead() bool {
	return r.Head.Method == http.MethodGet || r.Head.Method == http.MethodHead
}

func (r *request) isWatch() bool { return isTrue(r.query.Get("watch")) }

// isTrue reads a boolean query parameter.
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

// parseTarget parses the request target, in origin or absolute form.
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
		r.path = append(r.path, segment)
	}
	return nil
}

// discoveryPaths are the paths of API discovery.
var discoveryPaths = [][]string{
	{"api"},
	{"api", "v1"},
	{"apis"},
	{"apis", "batch"},
	{"apis", "batch", "v1"},
	{"version"},
}

// route finds the resource that the path names, nil for a path of discovery.
func (r *request) route() error {
	isPath := func(path []string) bool { return slices.Equal(path, r.path) }
	if slices.ContainsFunc(discoveryPaths, isPath) {
		return nil
	}
	rest, ok := cutGroupVersion(r.path)
	if !ok {
		return newPathNotFound()
	}
	core := r.path[0] == "api"
	if len(rest) >= 3 && rest[0] == "namespaces" && (!core || rest[2] != "status") {
		if len(utilvalidation.IsDNS1123Label(rest[1])) > 0 {
			return newInvalidSegment("namespace", rest[1])
		}
		r.namespace = rest[1]
		rest = rest[2:]
	}
	r.resourceType = findResourceType(rest[0], core)
	if r.resourceType == nil || r.namespace != "" && !r.resourceType.namespaced || len(rest) > 3 {
		return newPathNotFound()
	}
	return r.routeObject(rest[1:])
}

// cutGroupVersion returns the segments after the API group and version, at least one, or false if there are none.
func cutGroupVersion(path []string) (rest []string, ok bool) {
	switch {
	case len(path) >= 3 && path[0] == "api" && path[1] == "v1":
		return path[2:], true
	case len(path) >= 4 && path[0] == "apis" && path[1] == "batch" && path[2] == "v1":
		return path[3:], true
	}
	return nil, false
}

// routeObject parses the segments after the resource: the name of an object and a subresource, if any.
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

// checkEncodings checks the header fields about the encodings of the body and of the response.
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

// acceptsJSON reports whether a client accepts JSON or the protobuf encoding. Only watches are served in the latter: any other response is JSON,
// as its content type says.
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
		case jsonType, binaryType, "*/*", "application/*":
			return true
		}
	}
	return false
}

// dryRun reports whether the query or the options in the body ask for a dry run.
func (r *request) dryRun(options []string) (bool, error) {
	values := slices.Concat(r.query["dryRun"], options)
	for _, value := range values {
		if value != metav1.DryRunAll {
			return false, apierrors.NewBadRequest("dryRun: want All")
		}
	}
	return len(values) > 0, nil
}
