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
	// MaxList bounds the objects in one page of a list that names no limit; 0 is no bound.
	MaxList int

	now      float64
	watchers map[*watcher]struct{}
	closing  bool
}

// kind describes a resource as the API names it.
type kind struct {
	res        store.Resource
	gv         schema.GroupVersion
	kind       string
	namespaced bool
	verbs      []string
	short      []string
	empty      func() store.Object
	fields     func(o store.Object) fields.Set
	fieldNames []string
}

var kinds = map[store.Resource]*kind{
	store.Jobs: {res: store.Jobs, gv: batchv1.SchemeGroupVersion, kind: "Job", empty: func() store.Object { return &batchv1.Job{} }, namespaced: true,
		verbs:      []string{"create", "delete", "deletecollection", "get", "list", "patch", "update", "watch"},
		fieldNames: []string{"status.successful"},
		fields: func(o store.Object) fields.Set {
			return fields.Set{"status.successful": strconv.Itoa(int(o.(*batchv1.Job).Status.Succeeded))}
		}},
	store.Pods: {res: store.Pods, gv: corev1.SchemeGroupVersion, kind: "Pod", empty: func() store.Object { return &corev1.Pod{} }, namespaced: true,
		verbs: []string{"delete", "deletecollection", "get", "list", "watch"}, short: []string{"po"},
		fieldNames: []string{"spec.nodeName", "spec.restartPolicy", "spec.schedulerName", "status.phase"},
		fields: func(o store.Object) fields.Set {
			p := o.(*corev1.Pod)
			return fields.Set{"spec.nodeName": p.Spec.NodeName, "spec.restartPolicy": string(p.Spec.RestartPolicy),
				"spec.schedulerName": p.Spec.SchedulerName, "status.phase": string(p.Status.Phase)}
		}},
	store.Nodes: {res: store.Nodes, gv: corev1.SchemeGroupVersion, kind: "Node", empty: func() store.Object { return &corev1.Node{} },
		verbs: []string{"get", "list", "patch", "update", "watch"}, short: []string{"no"},
		fieldNames: []string{"spec.unschedulable"},
		fields: func(o store.Object) fields.Set {
			return fields.Set{"spec.unschedulable": strconv.FormatBool(o.(*corev1.Node).Spec.Unschedulable)}
		}},
	store.Namespaces: {res: store.Namespaces, gv: corev1.SchemeGroupVersion, kind: "Namespace", empty: func() store.Object { return &corev1.Namespace{} },
		verbs: []string{"get", "list", "watch"}, short: []string{"ns"}, fieldNames: []string{"status.phase"},
		fields: func(o store.Object) fields.Set {
			return fields.Set{"status.phase": string(o.(*corev1.Namespace).Status.Phase)}
		}},
}

// request is a request taken apart.
type request struct {
	*http1.Request
	path      []string
	query     url.Values
	kind      *kind
	namespace string
	name      string
	sub       string
	warnings  []string
}

// maxSelector bounds the terms of a selector.
const maxSelector = 100

const jsonType = "application/json"

// Serve answers one request at the given time.
func (s *Server) Serve(now float64, r *http1.Request) http1.Response {
	s.now = now
	req := &request{Request: r}
	resp, err := s.serve(req)
	if err != nil {
		resp = statusOf(err)
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
	if resp, ok := s.plain(r); ok {
		return resp, nil
	}
	if err := s.route(r); err != nil {
		return http1.Response{}, err
	}
	if r.kind == nil {
		return s.discover(r)
	}
	if e := r.Head.Header.Get("Content-Encoding"); e != "" && !strings.EqualFold(e, "identity") {
		return http1.Response{}, &apierrors.StatusError{ErrStatus: metav1.Status{Status: metav1.StatusFailure,
			Code: http.StatusUnsupportedMediaType, Reason: metav1.StatusReasonUnsupportedMediaType,
			Message: fmt.Sprintf("content-encoding %.40q: bodies are taken as they are only", e)}}
	}
	if !accepts(r.Head.Header.Get("Accept")) {
		return http1.Response{}, &apierrors.StatusError{ErrStatus: metav1.Status{Status: metav1.StatusFailure,
			Code: http.StatusNotAcceptable, Reason: metav1.StatusReasonNotAcceptable,
			Message: "only the following media types are accepted: application/json"}}
	}
	switch m := r.Head.Method; {
	case s.Engine == nil && m != "GET" && m != "HEAD":
		return http1.Response{}, s.notAllowed(r)
	case m == "GET" || m == "HEAD":
		if r.sub != "" && r.sub != "status" {
			return http1.Response{}, s.notAllowed(r)
		}
		if r.name != "" {
			if r.query.Get("watch") == "true" || r.query.Get("watch") == "1" {
				r.query.Set("fieldSelector", "metadata.name="+r.name)
				r.name = ""
				return s.list(r)
			}
			return s.get(r)
		}
		return s.list(r)
	case r.kind.res == store.Jobs && r.sub == "" && m == "POST" && r.name == "":
		return s.createJob(r)
	case r.kind.res == store.Pods && r.sub == "eviction" && m == "POST":
		return s.evict(r)
	case r.sub == "" && r.name != "" && (m == "PUT" || m == "PATCH") && (r.kind.res == store.Jobs || r.kind.res == store.Nodes):
		return s.update(r)
	case r.sub == "" && m == "DELETE" && (r.kind.res == store.Jobs || r.kind.res == store.Pods):
		return s.remove(r)
	}
	return http1.Response{}, s.notAllowed(r)
}

func (s *Server) notAllowed(r *request) error {
	return apierrors.NewMethodNotSupported(schema.GroupResource{Group: r.kind.gv.Group, Resource: r.kind.res.String()},
		strings.ToLower(r.Head.Method))
}

// plain answers what is no API object.
func (s *Server) plain(r *request) (http1.Response, bool) {
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
		return notFoundPath()
	}
	core := r.path[0] == "api"
	if len(p) >= 3 && p[0] == "namespaces" && (!core || p[2] != "status") {
		if len(utilvalidation.IsDNS1123Label(p[1])) > 0 {
			return badSegment("namespace", p[1])
		}
		r.namespace = p[1]
		p = p[2:]
	}
	for _, k := range kinds {
		if k.res.String() == p[0] && (k.gv.Group == "") == core && (r.namespace == "" || k.namespaced) {
			r.kind = k
		}
	}
	if r.kind == nil || len(p) > 3 {
		return notFoundPath()
	}
	if len(p) > 1 {
		if len(pathvalidation.IsValidPathSegmentName(p[1])) > 0 || len(utilvalidation.IsDNS1123Subdomain(p[1])) > 0 {
			return badSegment("name", p[1])
		}
		r.name = p[1]
		if r.kind.namespaced && r.namespace == "" {
			return notFoundPath()
		}
	}
	if len(p) > 2 {
		r.sub = p[2]
		if r.sub != "status" && !(r.sub == "eviction" && r.kind.res == store.Pods) {
			return notFoundPath()
		}
	}
	return nil
}

// badSegment refuses a path segment that cannot be the name it stands for: an escaped slash must not become part of one.
func badSegment(what, got string) error {
	return apierrors.NewBadRequest(fmt.Sprintf("path: %s %.80q is not valid: want lower case letters, digits, '-' and '.', beginning and ending "+
		"with a letter or digit", what, got))
}

func notFoundPath() error {
	return &apierrors.StatusError{ErrStatus: metav1.Status{Status: metav1.StatusFailure, Code: 404,
		Reason: metav1.StatusReasonNotFound, Message: "the server could not find the requested resource"}}
}

// accepts says whether JSON is among what a client takes.
func accepts(header string) bool {
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

func respond(status int, v any) (http1.Response, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return http1.Response{}, fmt.Errorf("encode answer: %w", err)
	}
	return raw(status, append(b, '\n')), nil
}

func raw(status int, body []byte) http1.Response {
	return http1.Response{Status: status, Header: []http1.Field{{Name: "Content-Type", Value: jsonType}}, Body: body}
}

// statusOf turns an error into the API's Status.
func statusOf(err error) http1.Response {
	var se apierrors.APIStatus
	st := metav1.Status{Status: metav1.StatusFailure, Code: 500, Reason: metav1.StatusReasonInternalError, Message: err.Error()}
	if errors.As(err, &se) {
		st = se.Status()
	}
	st.TypeMeta = metav1.TypeMeta{Kind: "Status", APIVersion: "v1"}
	resp, err := respond(int(st.Code), &st)
	if err != nil {
		return http1.Response{Status: 500}
	}
	if d := st.Details; d != nil && d.RetryAfterSeconds > 0 {
		resp.Header = append(resp.Header, http1.Field{Name: "Retry-After", Value: strconv.Itoa(int(d.RetryAfterSeconds))})
	}
	return resp
}

// fail puts an engine's error into the API's words.
func (r *request) fail(err error, name string) error {
	gr := schema.GroupResource{Group: r.kind.gv.Group, Resource: r.kind.res.String()}
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
		return unavailable(err.Error())
	case errors.As(err, &inv):
		return apierrors.NewInvalid(schema.GroupKind{Group: r.kind.gv.Group, Kind: r.kind.kind}, name,
			field.ErrorList{field.Invalid(field.NewPath(inv.Field), inv.Value, inv.Detail)})
	}
	return err
}

func unavailable(words string) error {
	return &apierrors.StatusError{ErrStatus: metav1.Status{Status: metav1.StatusFailure, Code: 503,
		Reason: metav1.StatusReasonServiceUnavailable, Message: words, Details: &metav1.StatusDetails{RetryAfterSeconds: 1}}}
}

// discover answers the paths that tell what there is.
func (s *Server) discover(r *request) (http1.Response, error) {
	if m := r.Head.Method; m != "GET" && m != "HEAD" {
		return http1.Response{}, apierrors.NewMethodNotSupported(schema.GroupResource{Resource: r.path[0]}, m)
	}
	group := metav1.APIGroup{TypeMeta: metav1.TypeMeta{Kind: "APIGroup", APIVersion: "v1"}, Name: "batch",
		Versions:         []metav1.GroupVersionForDiscovery{{GroupVersion: "batch/v1", Version: "v1"}},
		PreferredVersion: metav1.GroupVersionForDiscovery{GroupVersion: "batch/v1", Version: "v1"}}
	switch strings.Join(r.path, "/") {
	case "version":
		return respond(200, &version.Info{Major: "1", Minor: "37", GitVersion: "v1.37.2+heathshed-" + s.Version,
			GitTreeState: "clean", Compiler: "gc", Platform: "linux/amd64"})
	case "api":
		return respond(200, &metav1.APIVersions{TypeMeta: metav1.TypeMeta{Kind: "APIVersions"}, Versions: []string{"v1"},
			ServerAddressByClientCIDRs: []metav1.ServerAddressByClientCIDR{}})
	case "apis":
		return respond(200, &metav1.APIGroupList{TypeMeta: metav1.TypeMeta{Kind: "APIGroupList", APIVersion: "v1"},
			Groups: []metav1.APIGroup{group}})
	case "apis/batch":
		return respond(200, &group)
	}
	gv := corev1.SchemeGroupVersion
	if r.path[0] == "apis" {
		gv = batchv1.SchemeGroupVersion
	}
	list := metav1.APIResourceList{TypeMeta: metav1.TypeMeta{Kind: "APIResourceList", APIVersion: "v1"}, GroupVersion: gv.String()}
	for _, res := range []store.Resource{store.Jobs, store.Namespaces, store.Nodes, store.Pods} {
		if k := kinds[res]; k.gv == gv {
			list.APIResources = append(list.APIResources, metav1.APIResource{Name: res.String(),
				SingularName: strings.ToLower(k.kind), Namespaced: k.namespaced, Kind: k.kind, Verbs: k.verbs, ShortNames: k.short})
			if res == store.Pods {
				list.APIResources = append(list.APIResources, metav1.APIResource{Name: "pods/eviction", Namespaced: true,
					Kind: "Eviction", Group: "policy", Version: "v1", Verbs: []string{"create"}})
			}
		}
	}
	return respond(200, &list)
}

// selector is what a list or watch keeps.
type selector struct {
	namespace string
	labels    labels.Selector
	fields    fields.Selector
	kind      *kind
	all       bool
}

func (s *selector) matches(o store.Object) bool {
	if o == nil || s.namespace != "" && o.GetNamespace() != s.namespace {
		return false
	}
	if s.all {
		return true
	}
	if !s.labels.Matches(labels.Set(o.GetLabels())) {
		return false
	}
	if s.fields.Empty() {
		return true
	}
	set := s.kind.fields(o)
	set["metadata.name"], set["metadata.namespace"] = o.GetName(), o.GetNamespace()
	return s.fields.Matches(set)
}

func (r *request) selector() (selector, error) {
	s := selector{namespace: r.namespace, kind: r.kind}
	for _, name := range []string{"labelSelector", "fieldSelector"} {
		// Each comma parts a requirement or a value of one, and each object of a list is held against them all.
		if n := strings.Count(r.query.Get(name), ","); n >= maxSelector {
			return s, apierrors.NewRequestEntityTooLargeError(fmt.Sprintf("%s: %d terms: at most %d", name, n+1, maxSelector))
		}
	}
	var err error
	if s.labels, err = labels.Parse(r.query.Get("labelSelector")); err != nil {
		return s, apierrors.NewBadRequest("unable to parse requirement: " + err.Error())
	}
	if s.fields, err = fields.ParseSelector(r.query.Get("fieldSelector")); err != nil {
		return s, apierrors.NewBadRequest("fieldSelector: " + err.Error())
	}
	known := append([]string{"metadata.name", "metadata.namespace"}, r.kind.fieldNames...)
	for _, q := range s.fields.Requirements() {
		ok := false
		for _, k := range known {
			ok = ok || k == q.Field
		}
		if !ok {
			return s, apierrors.NewBadRequest(fmt.Sprintf("field label not supported: %s", q.Field))
		}
	}
	s.all = s.labels.Empty() && s.fields.Empty()
	return s, nil
}
