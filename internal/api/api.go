// Package api speaks the Kubernetes API, by its public specification and with its own types, over an engine: requests in,
// responses out, watches as streams.
//
// It is a codec above the engine: it knows no socket and no clock (the time comes in with each request) and decides nothing
// about placing. What of the specification is left out stands in docs/api.md.
package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	apierrors "k8s.io/apimachinery/pkg/api/errors"
	pathvalidation "k8s.io/apimachinery/pkg/api/validation/path"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/fields"
	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/runtime/schema"
	utilvalidation "k8s.io/apimachinery/pkg/util/validation"
	"k8s.io/apimachinery/pkg/util/validation/field"
	"k8s.io/apimachinery/pkg/version"

	"heathshed/internal/engine"
	"heathshed/internal/http1"
	"heathshed/internal/store"
)

// Server answers API requests about the objects of a store. It is for the goroutine of the store.
type Server struct {
	Store *store.Store
	// Engine takes what changes objects. Without one the server is read only.
	Engine  *engine.Engine
	Version string
	// Ready says whether the scheduler takes tasks, or why not.
	Ready func() error
	// Metrics returns the text of /metrics.
	Metrics func() []byte
	// DefaultListLimit bounds the objects in one page of a list that names no limit; 0 is no bound.
	DefaultListLimit int

	now      float64
	watchers map[*watcher]struct{}
	closing  bool
}

// resourceType describes a resource as the API names it.
type resourceType struct {
	resource         store.Resource
	groupVersion     schema.GroupVersion
	kind             string
	namespaced       bool
	verbs            []string
	shortNames       []string
	newObject        func() store.Object
	selectableValues func(o store.Object) fields.Set
	selectableFields []string
}

var resourceTypes = map[store.Resource]*resourceType{
	store.Jobs: {resource: store.Jobs, groupVersion: batchv1.SchemeGroupVersion, kind: "Job", newObject: func() store.Object { return &batchv1.Job{} }, namespaced: true,
		verbs:            []string{"create", "delete", "deletecollection", "get", "list", "patch", "update", "watch"},
		selectableFields: []string{"status.successful"},
		selectableValues: func(o store.Object) fields.Set {
			return fields.Set{"status.successful": strconv.Itoa(int(o.(*batchv1.Job).Status.Succeeded))}
		}},
	store.Pods: {resource: store.Pods, groupVersion: corev1.SchemeGroupVersion, kind: "Pod", newObject: func() store.Object { return &corev1.Pod{} }, namespaced: true,
		verbs: []string{"delete", "deletecollection", "get", "list", "watch"}, shortNames: []string{"po"},
		selectableFields: []string{"spec.nodeName", "spec.restartPolicy", "spec.schedulerName", "status.phase"},
		selectableValues: func(o store.Object) fields.Set {
			p := o.(*corev1.Pod)
			return fields.Set{"spec.nodeName": p.Spec.NodeName, "spec.restartPolicy": string(p.Spec.RestartPolicy),
				"spec.schedulerName": p.Spec.SchedulerName, "status.phase": string(p.Status.Phase)}
		}},
	store.Nodes: {resource: store.Nodes, groupVersion: corev1.SchemeGroupVersion, kind: "Node", newObject: func() store.Object { return &corev1.Node{} },
		verbs: []string{"get", "list", "patch", "update", "watch"}, shortNames: []string{"no"},
		selectableFields: []string{"spec.unschedulable"},
		selectableValues: func(o store.Object) fields.Set {
			return fields.Set{"spec.unschedulable": strconv.FormatBool(o.(*corev1.Node).Spec.Unschedulable)}
		}},
	store.Namespaces: {resource: store.Namespaces, groupVersion: corev1.SchemeGroupVersion, kind: "Namespace", newObject: func() store.Object { return &corev1.Namespace{} },
		verbs: []string{"get", "list", "watch"}, shortNames: []string{"ns"}, selectableFields: []string{"status.phase"},
		selectableValues: func(o store.Object) fields.Set {
			return fields.Set{"status.phase": string(o.(*corev1.Namespace).Status.Phase)}
		}},
}

// request is a request taken apart.
type request struct {
	*http1.Request
	path         []string
	query        url.Values
	resourceType *resourceType
	namespace    string
	name         string
	subresource  string
	warnings     []string
}

// maxSelectorTerms bounds the terms of a selector.
const maxSelectorTerms = 100

const jsonType = "application/json"

// Serve answers one request at the given time.
func (s *Server) Serve(now float64, r *http1.Request) http1.Response {
	s.now = now
	req := &request{Request: r}
	resp, err := s.serve(req)
	if err != nil {
		resp = errorResponse(err)
	}
	for _, w := range req.warnings {
		resp.Header = append(resp.Header, http1.Field{Name: "Warning", Value: "299 - " + strconv.Quote(w)})
	}
	return resp
}

func (s *Server) serve(r *request) (http1.Response, error) {
	path, rawQuery, _ := strings.Cut(r.Head.Target, "?")
	if i := strings.Index(path, "://"); i >= 0 { // absolute form
		if j := strings.IndexByte(path[i+3:], '/'); j >= 0 {
			path = path[i+3+j:]
		} else {
			path = "/"
		}
	}
	var err error
	if r.query, err = url.ParseQuery(rawQuery); err != nil {
		return http1.Response{}, apierrors.NewBadRequest("query: " + err.Error())
	}
	for _, p := range strings.Split(strings.Trim(path, "/"), "/") {
		u, err := url.PathUnescape(p)
		if err != nil {
			return http1.Response{}, apierrors.NewBadRequest("path: " + err.Error())
		}
		r.path = append(r.path, u)
	}
	if resp, ok := s.serveNonResource(r); ok {
		return resp, nil
	}
	if err := s.route(r); err != nil {
		return http1.Response{}, err
	}
	if r.resourceType == nil {
		return s.serveDiscovery(r)
	}
	if e := r.Head.Header.Get("Content-Encoding"); e != "" && !strings.EqualFold(e, "identity") {
		return http1.Response{}, &apierrors.StatusError{ErrStatus: metav1.Status{Status: metav1.StatusFailure,
			Code: http.StatusUnsupportedMediaType, Reason: metav1.StatusReasonUnsupportedMediaType,
			Message: fmt.Sprintf("content-encoding %.40q: bodies are taken as they are only", e)}}
	}
	if !acceptsJSON(r.Head.Header.Get("Accept")) {
		return http1.Response{}, &apierrors.StatusError{ErrStatus: metav1.Status{Status: metav1.StatusFailure,
			Code: http.StatusNotAcceptable, Reason: metav1.StatusReasonNotAcceptable,
			Message: "only the following media types are accepted: application/json"}}
	}
	switch m := r.Head.Method; {
	case s.Engine == nil && m != "GET" && m != "HEAD":
		return http1.Response{}, s.notAllowed(r)
	case m == "GET" || m == "HEAD":
		if r.subresource != "" && r.subresource != "status" {
			return http1.Response{}, s.notAllowed(r)
		}
		if r.name != "" {
			if r.query.Get("watch") == "true" || r.query.Get("watch") == "1" {
				r.query.Set("fieldSelector", "metadata.name="+r.name)
				r.name = ""
				return s.listObjects(r)
			}
			return s.getObject(r)
		}
		return s.listObjects(r)
	case r.resourceType.resource == store.Jobs && r.subresource == "" && m == "POST" && r.name == "":
		return s.createJob(r)
	case r.resourceType.resource == store.Pods && r.subresource == "eviction" && m == "POST":
		return s.evictPod(r)
	case r.subresource == "" && r.name != "" && (m == "PUT" || m == "PATCH") && (r.resourceType.resource == store.Jobs || r.resourceType.resource == store.Nodes):
		return s.updateObject(r)
	case r.subresource == "" && m == "DELETE" && (r.resourceType.resource == store.Jobs || r.resourceType.resource == store.Pods):
		return s.deleteObjects(r)
	}
	return http1.Response{}, s.notAllowed(r)
}

func (s *Server) notAllowed(r *request) error {
	return apierrors.NewMethodNotSupported(schema.GroupResource{Group: r.resourceType.groupVersion.Group, Resource: r.resourceType.resource.String()},
		strings.ToLower(r.Head.Method))
}

// serveNonResource answers what is no API object.
func (s *Server) serveNonResource(r *request) (http1.Response, bool) {
	text := func(status int, body string) (http1.Response, bool) {
		return http1.Response{Status: status, Header: []http1.Field{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}},
			Body: []byte(body)}, true
	}
	switch r.path[0] {
	case "livez", "healthz":
		return text(200, "ok")
	case "readyz":
		if s.Ready != nil {
			if err := s.Ready(); err != nil {
				return text(503, err.Error()+"\n")
			}
		}
		return text(200, "ok")
	case "metrics":
		if s.Metrics != nil {
			return http1.Response{Status: 200, Header: []http1.Field{{Name: "Content-Type",
				Value: "text/plain; version=0.0.4; charset=utf-8"}}, Body: s.Metrics()}, true
		}
	}
	return http1.Response{}, false
}

// route finds what a path names.
func (s *Server) route(r *request) error {
	p := r.path
	switch {
	case len(p) == 1 && (p[0] == "api" || p[0] == "apis" || p[0] == "version"):
		return nil
	case len(p) == 2 && (p[0] == "api" && p[1] == "v1" || p[0] == "apis" && p[1] == "batch"):
		return nil
	case len(p) == 3 && p[0] == "apis" && p[1] == "batch" && p[2] == "v1":
		return nil
	case len(p) >= 3 && p[0] == "api" && p[1] == "v1":
		p = p[2:]
	case len(p) >= 4 && p[0] == "apis" && p[1] == "batch" && p[2] == "v1":
		p = p[3:]
	default:
		return newPathNotFound()
	}
	core := r.path[0] == "api"
	if len(p) >= 3 && p[0] == "namespaces" && (!core || p[2] != "status") {
		if len(utilvalidation.IsDNS1123Label(p[1])) > 0 {
			return newInvalidSegment("namespace", p[1])
		}
		r.namespace = p[1]
		p = p[2:]
	}
	for _, k := range resourceTypes {
		if k.resource.String() == p[0] && (k.groupVersion.Group == "") == core && (r.namespace == "" || k.namespaced) {
			r.resourceType = k
		}
	}
	if r.resourceType == nil || len(p) > 3 {
		return newPathNotFound()
	}
	if len(p) > 1 {
		if len(pathvalidation.IsValidPathSegmentName(p[1])) > 0 || len(utilvalidation.IsDNS1123Subdomain(p[1])) > 0 {
			return newInvalidSegment("name", p[1])
		}
		r.name = p[1]
		if r.resourceType.namespaced && r.namespace == "" {
			return newPathNotFound()
		}
	}
	if len(p) > 2 {
		r.subresource = p[2]
		if r.subresource != "status" && !(r.subresource == "eviction" && r.resourceType.resource == store.Pods) {
			return newPathNotFound()
		}
	}
	return nil
}

// newInvalidSegment refuses a path segment that cannot be the name it stands for: an escaped slash must not become part of one.
func newInvalidSegment(what, got string) error {
	return apierrors.NewBadRequest(fmt.Sprintf("path: %s %.80q is not valid: want lower case letters, digits, '-' and '.', beginning and ending "+
		"with a letter or digit", what, got))
}

func newPathNotFound() error {
	return &apierrors.StatusError{ErrStatus: metav1.Status{Status: metav1.StatusFailure, Code: 404,
		Reason: metav1.StatusReasonNotFound, Message: "the server could not find the requested resource"}}
}

// acceptsJSON says whether JSON is among what a client takes.
func acceptsJSON(header string) bool {
	if header == "" {
		return true
	}
	for _, part := range strings.Split(header, ",") {
		t, params, err := mime.ParseMediaType(part)
		if err != nil || params["as"] != "" {
			continue
		}
		if t == binaryType {
			return true // watches are served in it; what is not comes as JSON, as its content-type says
		}
		if t == jsonType || t == "*/*" || t == "application/*" {
			return true
		}
	}
	return false
}

func jsonResponse(status int, v any) (http1.Response, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return http1.Response{}, fmt.Errorf("encode answer: %w", err)
	}
	return encodedResponse(status, append(b, '\n')), nil
}

func encodedResponse(status int, body []byte) http1.Response {
	return http1.Response{Status: status, Header: []http1.Field{{Name: "Content-Type", Value: jsonType}}, Body: body}
}

// errorResponse turns an error into the API's Status.
func errorResponse(err error) http1.Response {
	var se apierrors.APIStatus
	st := metav1.Status{Status: metav1.StatusFailure, Code: 500, Reason: metav1.StatusReasonInternalError, Message: err.Error()}
	if errors.As(err, &se) {
		st = se.Status()
	}
	st.TypeMeta = metav1.TypeMeta{Kind: "Status", APIVersion: "v1"}
	resp, err := jsonResponse(int(st.Code), &st)
	if err != nil {
		return http1.Response{Status: 500}
	}
	if d := st.Details; d != nil && d.RetryAfterSeconds > 0 {
		resp.Header = append(resp.Header, http1.Field{Name: "Retry-After", Value: strconv.Itoa(int(d.RetryAfterSeconds))})
	}
	return resp
}

// statusError puts an engine's error into the API's words.
func (r *request) statusError(err error, name string) error {
	gr := schema.GroupResource{Group: r.resourceType.groupVersion.Group, Resource: r.resourceType.resource.String()}
	var inv *engine.InvalidError
	switch {
	case errors.Is(err, engine.ErrNotFound):
		return apierrors.NewNotFound(gr, name)
	case errors.Is(err, engine.ErrExists):
		return apierrors.NewAlreadyExists(gr, name)
	case errors.Is(err, engine.ErrConflict):
		return apierrors.NewConflict(gr, name, err)
	case errors.Is(err, engine.ErrTooMany):
		return apierrors.NewTooManyRequests(err.Error(), 5)
	case errors.Is(err, engine.ErrStopping):
		return newServiceUnavailable(err.Error())
	case errors.As(err, &inv):
		return apierrors.NewInvalid(schema.GroupKind{Group: r.resourceType.groupVersion.Group, Kind: r.resourceType.kind}, name,
			field.ErrorList{field.Invalid(field.NewPath(inv.Field), inv.Value, inv.Detail)})
	}
	return err
}

func newServiceUnavailable(words string) error {
	return &apierrors.StatusError{ErrStatus: metav1.Status{Status: metav1.StatusFailure, Code: 503,
		Reason: metav1.StatusReasonServiceUnavailable, Message: words, Details: &metav1.StatusDetails{RetryAfterSeconds: 1}}}
}

// serveDiscovery answers the paths that tell what there is.
func (s *Server) serveDiscovery(r *request) (http1.Response, error) {
	if m := r.Head.Method; m != "GET" && m != "HEAD" {
		return http1.Response{}, apierrors.NewMethodNotSupported(schema.GroupResource{Resource: r.path[0]}, m)
	}
	group := metav1.APIGroup{TypeMeta: metav1.TypeMeta{Kind: "APIGroup", APIVersion: "v1"}, Name: "batch",
		Versions:         []metav1.GroupVersionForDiscovery{{GroupVersion: "batch/v1", Version: "v1"}},
		PreferredVersion: metav1.GroupVersionForDiscovery{GroupVersion: "batch/v1", Version: "v1"}}
	switch strings.Join(r.path, "/") {
	case "version":
		return jsonResponse(200, &version.Info{Major: "1", Minor: "37", GitVersion: "v1.37.2+heathshed-" + s.Version,
			GitTreeState: "clean", Compiler: "gc", Platform: "linux/amd64"})
	case "api":
		return jsonResponse(200, &metav1.APIVersions{TypeMeta: metav1.TypeMeta{Kind: "APIVersions"}, Versions: []string{"v1"},
			ServerAddressByClientCIDRs: []metav1.ServerAddressByClientCIDR{}})
	case "apis":
		return jsonResponse(200, &metav1.APIGroupList{TypeMeta: metav1.TypeMeta{Kind: "APIGroupList", APIVersion: "v1"},
			Groups: []metav1.APIGroup{group}})
	case "apis/batch":
		return jsonResponse(200, &group)
	}
	gv := corev1.SchemeGroupVersion
	if r.path[0] == "apis" {
		gv = batchv1.SchemeGroupVersion
	}
	list := metav1.APIResourceList{TypeMeta: metav1.TypeMeta{Kind: "APIResourceList", APIVersion: "v1"}, GroupVersion: gv.String()}
	for _, res := range []store.Resource{store.Jobs, store.Namespaces, store.Nodes, store.Pods} {
		if k := resourceTypes[res]; k.groupVersion == gv {
			list.APIResources = append(list.APIResources, metav1.APIResource{Name: res.String(),
				SingularName: strings.ToLower(k.kind), Namespaced: k.namespaced, Kind: k.kind, Verbs: k.verbs, ShortNames: k.shortNames})
			if res == store.Pods {
				list.APIResources = append(list.APIResources, metav1.APIResource{Name: "pods/eviction", Namespaced: true,
					Kind: "Eviction", Group: "policy", Version: "v1", Verbs: []string{"create"}})
			}
		}
	}
	return jsonResponse(200, &list)
}

// selector is what a list or watch keeps.
type selector struct {
	namespace    string
	labels       labels.Selector
	fields       fields.Selector
	resourceType *resourceType
	matchesAll   bool
}

func (s *selector) matches(o store.Object) bool {
	if o == nil || s.namespace != "" && o.GetNamespace() != s.namespace {
		return false
	}
	if s.matchesAll {
		return true
	}
	if !s.labels.Matches(labels.Set(o.GetLabels())) {
		return false
	}
	if s.fields.Empty() {
		return true
	}
	set := s.resourceType.selectableValues(o)
	set["metadata.name"], set["metadata.namespace"] = o.GetName(), o.GetNamespace()
	return s.fields.Matches(set)
}

func (r *request) parseSelector() (selector, error) {
	s := selector{namespace: r.namespace, resourceType: r.resourceType}
	for _, name := range []string{"labelSelector", "fieldSelector"} {
		// Each comma parts a requirement or a value of one, and each object of a list is held against them all.
		if n := strings.Count(r.query.Get(name), ","); n >= maxSelectorTerms {
			return s, apierrors.NewRequestEntityTooLargeError(fmt.Sprintf("%s: %d terms: at most %d", name, n+1, maxSelectorTerms))
		}
	}
	var err error
	if s.labels, err = labels.Parse(r.query.Get("labelSelector")); err != nil {
		return s, apierrors.NewBadRequest("unable to parse requirement: " + err.Error())
	}
	if s.fields, err = fields.ParseSelector(r.query.Get("fieldSelector")); err != nil {
		return s, apierrors.NewBadRequest("fieldSelector: " + err.Error())
	}
	known := append([]string{"metadata.name", "metadata.namespace"}, r.resourceType.selectableFields...)
	for _, q := range s.fields.Requirements() {
		ok := false
		for _, k := range known {
			ok = ok || k == q.Field
		}
		if !ok {
			return s, apierrors.NewBadRequest(fmt.Sprintf("field label not supported: %s", q.Field))
		}
	}
	s.matchesAll = s.labels.Empty() && s.fields.Empty()
	return s, nil
}
