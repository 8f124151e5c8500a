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

// request is an HTTP request together with its parsed target.
type request struct {
	*http1.Request
	// pathSegments contains the unescaped segments of the path. It has at least one element.
	pathSegments []string
	query        url.Values

	// resourceType is the type of the requested objects. It is nil if the path belongs to API discovery.
	resourceType *resourceType
	// namespace is the requested namespace. It is empty if the request covers all namespaces or if the
	// objects of the resource type belong to no namespace.
	namespace string
	// name is the name of the requested object. It is empty if the request refers to a list of objects.
	name        string
	subresource string
	// warnings contains the texts that the response sends to the client in Warning header fields.
	warnings []string
}

// isRead reports whether the request has the method GET or HEAD.
func (r *request) isRead() bool {
	return r.Head.Method == http.MethodGet || r.Head.Method == http.MethodHead
}

func (r *request) isWatch() bool { return isTrue(r.query.Get("watch")) }

// isTrue reports whether the value of a boolean query parameter means true.
func isTrue(value string) bool { return value == "true" || value == "1" }

func (r *request) groupResource() schema.GroupResource {
	return schema.GroupResource{Group: r.resourceType.groupVersion.Group, Resource: r.resourceType.resource.String()}
}

func (r *request) groupKind() schema.GroupKind {
	return schema.GroupKind{Group: r.resourceType.groupVersion.Group, Kind: r.resourceType.kind}
}

func (r *request) methodNotAllowedError() error {
	return apierrors.NewMethodNotSupported(r.groupResource(), strings.ToLower(r.Head.Method))
}

// parseTarget parses the request target, which is either in origin form (/path) or in absolute form
// (http://host/path).
func (r *request) parseTarget() error {
	path, rawQuery, _ := strings.Cut(r.Head.Target, "?")
	if _, hostAndPath, isAbsolute := strings.Cut(path, "://"); isAbsolute {
		_, path, _ = strings.Cut(hostAndPath, "/")
	}
	var err error
	if r.query, err = url.ParseQuery(rawQuery); err != nil {
		return apierrors.NewBadRequest("query: " + err.Error())
	}
	for escapedSegment := range strings.SplitSeq(strings.Trim(path, "/"), "/") {
		segment, err := url.PathUnescape(escapedSegment)
		if err != nil {
			return apierrors.NewBadRequest("path: " + err.Error())
		}
		r.pathSegments = append(r.pathSegments, segment)
	}
	return nil
}

// discoveryPaths contains the paths of API discovery, each split into its segments.
var discoveryPaths = [][]string{
	{"api"},
	{"api", "v1"},
	{"apis"},
	{"apis", "batch"},
	{"apis", "batch", "v1"},
	{"version"},
}

// route determines the namespace, resource type, object name and subresource that the path of a request
// refers to. The resource type remains nil if the path belongs to API discovery.
func (r *request) route() error {
	isRequestPath := func(path []string) bool { return slices.Equal(path, r.pathSegments) }
	if slices.ContainsFunc(discoveryPaths, isRequestPath) {
		return nil
	}
	remaining, ok := cutGroupVersion(r.pathSegments)
	if !ok {
		return newPathNotFoundError()
	}
	inCoreGroup := r.pathSegments[0] == "api"
	// The path /api/v1/namespaces/NAME/status refers to the status of a Namespace object, and not to a
	// resource within the namespace.
	if len(remaining) >= 3 && remaining[0] == "namespaces" && (!inCoreGroup || remaining[2] != "status") {
		if len(utilvalidation.IsDNS1123Label(remaining[1])) > 0 {
			return newInvalidSegmentError("namespace", remaining[1])
		}
		r.namespace = remaining[1]
		remaining = remaining[2:]
	}
	r.resourceType = findResourceType(remaining[0], inCoreGroup)
	if r.resourceType == nil || r.namespace != "" && !r.resourceType.namespaced || len(remaining) > 3 {
		return newPathNotFoundError()
	}
	return r.parseObjectSegments(remaining[1:])
}

// cutGroupVersion removes the API group and version from the beginning of the path segments. It returns
// false if the server does not serve the group or version, or if no segment remains.
func cutGroupVersion(path []string) (remaining []string, ok bool) {
	switch {
	case len(path) >= 3 && path[0] == "api" && path[1] == "v1":
		return path[2:], true
	case len(path) >= 4 && path[0] == "apis" && path[1] == "batch" && path[2] == "v1":
		return path[3:], true
	}
	return nil, false
}

// parseObjectSegments parses the path segments after the resource name. These segments are an optional
// object name and an optional subresource.
func (r *request) parseObjectSegments(segments []string) error {
	if len(segments) == 0 {
		return nil
	}
	name := segments[0]
	if len(content.IsPathSegmentName(name)) > 0 || len(utilvalidation.IsDNS1123Subdomain(name)) > 0 {
		return newInvalidSegmentError("name", name)
	}
	r.name = name
	if r.resourceType.namespaced && r.namespace == "" {
		return newPathNotFoundError()
	}
	if len(segments) == 1 {
		return nil
	}
	r.subresource = segments[1]
	isEviction := r.subresource == evictionSubresource && r.resourceType.resource == store.Pods
	if r.subresource != "status" && !isEviction {
		return newPathNotFoundError()
	}
	return nil
}

// checkEncodings rejects a request with a compressed body, and a request whose Accept header allows no media
// type that the server can produce.
func (r *request) checkEncodings() error {
	encoding := r.Head.Header.Get("Content-Encoding")
	if encoding != "" && !strings.EqualFold(encoding, "identity") {
		return newStatusError(http.StatusUnsupportedMediaType, metav1.StatusReasonUnsupportedMediaType,
			fmt.Sprintf("content-encoding %.40q: bodies are taken as they are only", encoding))
	}
	if !acceptsJSONOrProtobuf(r.Head.Header.Get("Accept")) {
		return newStatusError(http.StatusNotAcceptable, metav1.StatusReasonNotAcceptable,
			"only the following media types are accepted: application/json")
	}
	return nil
}

// acceptsJSONOrProtobuf reports whether an Accept header allows JSON or the protobuf encoding. The server
// uses the protobuf encoding only for watches. Even a client that accepts only the protobuf encoding
// receives all responses except watch streams as JSON. The Content-Type header of such a response states
// that the body is JSON.
func acceptsJSONOrProtobuf(accept string) bool {
	if accept == "" {
		return true
	}
	for mediaRange := range strings.SplitSeq(accept, ",") {
		mediaType, parameters, err := mime.ParseMediaType(mediaRange)
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

// dryRun reports whether a client requests a dry run, either in the query parameter dryRun or in the field
// dryRun of the request body. The argument bodyValues contains the value of this field.
func (r *request) dryRun(bodyValues []string) (bool, error) {
	values := slices.Concat(r.query["dryRun"], bodyValues)
	for _, value := range values {
		if value != metav1.DryRunAll {
			return false, apierrors.NewBadRequest("dryRun: want All")
		}
	}
	return len(values) > 0, nil
}
