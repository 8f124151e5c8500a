package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	policyv1 "k8s.io/api/policy/v1"
	apierrors "k8s.io/apimachinery/pkg/api/errors"
	apivalidation "k8s.io/apimachinery/pkg/api/validation"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/apis/meta/v1/validation"
	"k8s.io/apimachinery/pkg/runtime"
	"k8s.io/apimachinery/pkg/runtime/schema"
	"k8s.io/apimachinery/pkg/types"
	"k8s.io/apimachinery/pkg/util/strategicpatch"
	utilvalidation "k8s.io/apimachinery/pkg/util/validation"
	"k8s.io/apimachinery/pkg/util/validation/field"
	kjson "sigs.k8s.io/json"

	"heathshed/internal/decodelimit"
	"heathshed/internal/http1"
	"heathshed/internal/store"
)

// Unmarshaler is what the API's types offer for the binary encoding.
type protoMessage interface{ Unmarshal([]byte) error }

var protoMagic = []byte("k8s\x00")

// decode reads a body into an object: JSON, or the binary encoding that client-go prefers.
func (r *request) decode(body []byte, into any, wantKind string) error {
	ct := r.Head.Header.Get("Content-Type")
	t := jsonType
	if ct != "" {
		var err error
		if t, _, err = mime.ParseMediaType(ct); err != nil {
			return apierrors.NewBadRequest("content-type: " + err.Error())
		}
	}
	switch t {
	case jsonType, "text/json":
		return r.decodeJSON(body, into, wantKind)
	case "application/vnd.kubernetes.protobuf":
		if err := decodelimit.CheckProto(bytes.TrimPrefix(body, protoMagic), decodelimit.ObjectLimits()); err != nil {
			return newDecodeLimitError("body", err)
		}
		m, ok := into.(protoMessage)
		if !ok || !bytes.HasPrefix(body, protoMagic) {
			return apierrors.NewBadRequest("body is not in the encoding that content-type names")
		}
		var u runtime.Unknown
		if err := u.Unmarshal(body[len(protoMagic):]); err != nil {
			return apierrors.NewBadRequest("body: " + err.Error())
		}
		if err := checkKind(u.Kind, wantKind); err != nil {
			return err
		}
		if err := m.Unmarshal(u.Raw); err != nil {
			return apierrors.NewBadRequest("body: " + err.Error())
		}
		return nil
	}
	return &apierrors.StatusError{ErrStatus: metav1.Status{Status: metav1.StatusFailure, Code: http.StatusUnsupportedMediaType,
		Reason: metav1.StatusReasonUnsupportedMediaType, Message: fmt.Sprintf("the body of the request was in an unknown format - "+
			"accepted media types include: application/json, application/vnd.kubernetes.protobuf; not %s", t)}}
}

const (
	maxWarnings = 20
	maxPatchOps = 1000
	// maxPatchedBytes bounds an object that a patch makes, in bytes of JSON.
	maxPatchedBytes = 1 << 20
)

// newDecodeLimitError is the answer to a text that would cost too much to decode.
func newDecodeLimitError(what string, err error) error {
	var e *decodelimit.Error
	if errors.As(err, &e) && e.TooLarge() {
		return apierrors.NewRequestEntityTooLargeError(what + ": " + err.Error())
	}
	return apierrors.NewBadRequest(what + ": " + err.Error())
}

func checkKind(got, want string) error {
	if got != "" && got != want {
		return apierrors.NewBadRequest(fmt.Sprintf("the object in the body is a %s, want a %s", got, want))
	}
	return nil
}

// decodeJSON reads strictly: fields that are unknown or given twice are refused or warned of, as fieldValidation says.
func (r *request) decodeJSON(body []byte, into any, wantKind string) error {
	if err := decodelimit.CheckJSON(body, decodelimit.ObjectLimits()); err != nil {
		return newDecodeLimitError("body", err)
	}
	strict, err := kjson.UnmarshalStrict(body, into)
	if err != nil {
		return apierrors.NewBadRequest("body: " + err.Error())
	}
	var tm metav1.TypeMeta
	if err := json.Unmarshal(body, &tm); err == nil {
		if err := checkKind(tm.Kind, wantKind); err != nil {
			return err
		}
	}
	if len(strict) == 0 {
		return nil
	}
	var words []string
	for i, e := range strict {
		if i == maxWarnings {
			words = append(words, fmt.Sprintf("and %d more", len(strict)-i))
			break
		}
		words = append(words, fmt.Sprintf("%.200s", e.Error()))
	}
	switch v := r.query.Get("fieldValidation"); v {
	case "Strict":
		return apierrors.NewBadRequest("strict decoding error: " + strings.Join(words, ", "))
	case "Ignore":
	case "", "Warn":
		r.warnings = append(r.warnings, words...)
	default:
		return apierrors.NewBadRequest("fieldValidation: want Ignore, Warn or Strict")
	}
	return nil
}

// dryRun reads the parameter of that name.
func (r *request) dryRun(also []string) (bool, error) {
	vals := append(r.query["dryRun"], also...)
	for _, v := range vals {
		if v != metav1.DryRunAll {
			return false, apierrors.NewBadRequest("dryRun: want All")
		}
	}
	return len(vals) > 0, nil
}

func (s *Server) createJob(r *request) (http1.Response, error) {
	if s.Ready != nil {
		if err := s.Ready(); err != nil {
			return http1.Response{}, newServiceUnavailable(err.Error())
		}
	}
	if r.namespace == "" {
		return http1.Response{}, s.notAllowed(r)
	}
	var j batchv1.Job
	if err := r.decode(r.Body, &j, "Job"); err != nil {
		return http1.Response{}, err
	}
	if j.Namespace == "" {
		j.Namespace = r.namespace
	}
	if j.Namespace != r.namespace {
		return http1.Response{}, apierrors.NewBadRequest("the namespace of the provided object does not match the namespace sent on the request")
	}
	if j.ResourceVersion != "" {
		return http1.Response{}, apierrors.NewBadRequest("resourceVersion should not be set on objects to be created")
	}
	if s.Store.Get(store.Namespaces, "", r.namespace) == nil {
		return http1.Response{}, apierrors.NewNotFound(schema.GroupResource{Resource: "namespaces"}, r.namespace)
	}
	setJobDefaults(&j)
	if errs := validateJob(&j); len(errs) > 0 {
		return http1.Response{}, apierrors.NewInvalid(schema.GroupKind{Group: "batch", Kind: "Job"}, j.Name, errs)
	}
	dry, err := r.dryRun(nil)
	if err != nil {
		return http1.Response{}, err
	}
	out, err := s.Engine.CreateJob(s.now, &j, dry)
	if err != nil {
		return http1.Response{}, r.statusError(err, j.Name)
	}
	return s.objectResponse(201, out)
}

func (s *Server) objectResponse(status int, o store.Object) (http1.Response, error) {
	b, err := encode(o)
	if err != nil {
		return http1.Response{}, fmt.Errorf("encode answer: %w", err)
	}
	return encodedResponse(status, b), nil
}

func pointerTo[T any](v T) *T { return &v }

// setJobDefaults fills in what the specification says stands where nothing is given.
func setJobDefaults(j *batchv1.Job) {
	s := &j.Spec
	if s.Parallelism == nil {
		s.Parallelism = pointerTo(int32(1))
		if s.Completions == nil {
			s.Completions = pointerTo(int32(1))
		}
	}
	if s.BackoffLimit == nil {
		s.BackoffLimit = pointerTo(int32(6))
	}
	if s.CompletionMode == nil {
		s.CompletionMode = pointerTo(batchv1.NonIndexedCompletion)
	}
	if s.Suspend == nil {
		s.Suspend = pointerTo(false)
	}
	if s.PodReplacementPolicy == nil {
		s.PodReplacementPolicy = pointerTo(batchv1.TerminatingOrFailed)
	}
	t := &s.Template.Spec
	if t.DNSPolicy == "" {
		t.DNSPolicy = corev1.DNSClusterFirst
	}
	if t.TerminationGracePeriodSeconds == nil {
		t.TerminationGracePeriodSeconds = pointerTo(int64(30))
	}
	if t.SchedulerName == "" {
		t.SchedulerName = "heathshed"
	}
	if t.SecurityContext == nil {
		t.SecurityContext = &corev1.PodSecurityContext{}
	}
	for i := range t.Containers {
		c := &t.Containers[i]
		if c.TerminationMessagePath == "" {
			c.TerminationMessagePath = corev1.TerminationMessagePathDefault
		}
		if c.TerminationMessagePolicy == "" {
			c.TerminationMessagePolicy = corev1.TerminationMessageReadFile
		}
		if c.ImagePullPolicy == "" {
			c.ImagePullPolicy = corev1.PullIfNotPresent
		}
	}
}

// validateLabelsAndAnnotations checks labels and annotations, the latter together at most 256 KiB as the Kubernetes API has it.
func validateLabelsAndAnnotations(o metav1.Object, at *field.Path) field.ErrorList {
	errs := validation.ValidateLabels(o.GetLabels(), at.Child("labels"))
	return append(errs, apivalidation.ValidateAnnotations(o.GetAnnotations(), at.Child("annotations"))...)
}

func validateJob(j *batchv1.Job) field.ErrorList {
	var errs field.ErrorList
	meta := field.NewPath("metadata")
	switch {
	case j.Name == "" && j.GenerateName == "":
		errs = append(errs, field.Required(meta.Child("name"), "name or generateName is required"))
	case j.Name != "":
		for _, m := range utilvalidation.IsDNS1123Subdomain(j.Name) {
			errs = append(errs, field.Invalid(meta.Child("name"), j.Name, m))
		}
	default:
		for _, m := range utilvalidation.IsDNS1123Subdomain(j.GenerateName + "x") {
			errs = append(errs, field.Invalid(meta.Child("generateName"), j.GenerateName, m))
		}
	}
	errs = append(errs, validateLabelsAndAnnotations(j, meta)...)
	spec := field.NewPath("spec")
	nonNegative := func(p *field.Path, v *int32) {
		if v != nil && *v < 0 {
			errs = append(errs, field.Invalid(p, *v, "must be greater than or equal to 0"))
		}
	}
	nonNegative(spec.Child("parallelism"), j.Spec.Parallelism)
	nonNegative(spec.Child("completions"), j.Spec.Completions)
	nonNegative(spec.Child("backoffLimit"), j.Spec.BackoffLimit)
	nonNegative(spec.Child("ttlSecondsAfterFinished"), j.Spec.TTLSecondsAfterFinished)
	if v := j.Spec.ActiveDeadlineSeconds; v != nil && *v < 0 {
		errs = append(errs, field.Invalid(spec.Child("activeDeadlineSeconds"), *v, "must be greater than or equal to 0"))
	}
	if m := *j.Spec.CompletionMode; m != batchv1.NonIndexedCompletion && m != batchv1.IndexedCompletion {
		errs = append(errs, field.NotSupported(spec.Child("completionMode"), m,
			[]batchv1.CompletionMode{batchv1.NonIndexedCompletion, batchv1.IndexedCompletion}))
	}
	if j.Spec.ManualSelector != nil && *j.Spec.ManualSelector || j.Spec.Selector != nil {
		errs = append(errs, field.Forbidden(spec.Child("selector"), "selectors are generated"))
	}
	tpl := spec.Child("template")
	errs = append(errs, validateLabelsAndAnnotations(&j.Spec.Template, tpl.Child("metadata"))...)
	p := tpl.Child("spec")
	t := &j.Spec.Template.Spec
	switch t.RestartPolicy {
	case corev1.RestartPolicyNever, corev1.RestartPolicyOnFailure:
	case "":
		errs = append(errs, field.Required(p.Child("restartPolicy"), `valid values: "OnFailure", "Never"`))
	default:
		errs = append(errs, field.NotSupported(p.Child("restartPolicy"), t.RestartPolicy,
			[]corev1.RestartPolicy{corev1.RestartPolicyOnFailure, corev1.RestartPolicyNever}))
	}
	if len(t.Containers) == 0 {
		errs = append(errs, field.Required(p.Child("containers"), ""))
	}
	seen := map[string]bool{}
	check := func(list []corev1.Container, name string) {
		for i := range list {
			c, at := &list[i], p.Child(name).Index(i)
			if c.Name == "" {
				errs = append(errs, field.Required(at.Child("name"), ""))
			} else if seen[c.Name] {
				errs = append(errs, field.Duplicate(at.Child("name"), c.Name))
			} else {
				for _, m := range utilvalidation.IsDNS1123Label(c.Name) {
					errs = append(errs, field.Invalid(at.Child("name"), c.Name, m))
				}
			}
			seen[c.Name] = true
			if c.Image == "" {
				errs = append(errs, field.Required(at.Child("image"), ""))
			}
			for _, set := range []struct {
				name string
				list corev1.ResourceList
			}{{"requests", c.Resources.Requests}, {"limits", c.Resources.Limits}} {
				for k, q := range set.list {
					if q.Sign() < 0 {
						errs = append(errs, field.Invalid(at.Child("resources", set.name).Key(string(k)), q.String(), "must be greater than or equal to 0"))
					}
				}
			}
			for k, q := range c.Resources.Requests {
				if l, ok := c.Resources.Limits[k]; ok && q.Cmp(l) > 0 {
					errs = append(errs, field.Invalid(at.Child("resources", "requests"), q.String(),
						fmt.Sprintf("must be less than or equal to %s limit of %s", k, l.String())))
				}
			}
		}
	}
	check(t.Containers, "containers")
	check(t.InitContainers, "initContainers")
	return errs
}

// updateObject serves PUT and PATCH of Jobs and Nodes.
func (s *Server) updateObject(r *request) (http1.Response, error) {
	cur := s.Store.Get(r.resourceType.resource, r.namespace, r.name)
	if cur == nil {
		return http1.Response{}, apierrors.NewNotFound(r.groupResource(), r.name)
	}
	var next store.Object = &batchv1.Job{}
	if r.resourceType.resource == store.Nodes {
		next = &corev1.Node{}
	}
	if r.Head.Method == "PUT" {
		if err := r.decode(r.Body, next, r.resourceType.kind); err != nil {
			return http1.Response{}, err
		}
	} else {
		body, err := s.applyPatch(r, cur, next)
		if err != nil {
			return http1.Response{}, err
		}
		if err := r.decodeJSON(body, next, r.resourceType.kind); err != nil {
			return http1.Response{}, err
		}
	}
	if next.GetName() != r.name || next.GetNamespace() != r.namespace {
		return http1.Response{}, apierrors.NewBadRequest("the name or namespace of the object does not match the request")
	}
	if errs := validateLabelsAndAnnotations(next, field.NewPath("metadata")); len(errs) > 0 {
		return http1.Response{}, apierrors.NewInvalid(schema.GroupKind{Group: r.resourceType.groupVersion.Group, Kind: r.resourceType.kind}, r.name, errs)
	}
	dry, err := r.dryRun(nil)
	if err != nil {
		return http1.Response{}, err
	}
	var out store.Object
	if j, ok := next.(*batchv1.Job); ok {
		setJobDefaults(j)
		out, err = s.Engine.UpdateJob(s.now, j, dry)
	} else {
		n := next.(*corev1.Node)
		out, err = s.Engine.UpdateNode(s.now, n, r.requestedUnschedulable(n, cur.(*corev1.Node)), dry)
	}
	if err != nil {
		return http1.Response{}, r.statusError(err, r.name)
	}
	return s.objectResponse(200, out)
}

// requestedUnschedulable says what a request orders about draining, nil if it does not speak of it. A patch speaks of it by naming the field,
// a whole object by another value than the present one.
func (r *request) requestedUnschedulable(next, cur *corev1.Node) *bool {
	said := next.Spec.Unschedulable != cur.Spec.Unschedulable
	var merge struct {
		Spec map[string]json.RawMessage `json:"spec"`
	}
	var ops []struct {
		Path string `json:"path"`
	}
	if r.Head.Method == "PATCH" {
		if json.Unmarshal(r.Body, &merge) == nil {
			_, named := merge.Spec["unschedulable"]
			said = said || named
		} else if json.Unmarshal(r.Body, &ops) == nil {
			for _, op := range ops {
				said = said || op.Path == "/spec/unschedulable"
			}
		}
	}
	if !said {
		return nil
	}
	return pointerTo(next.Spec.Unschedulable)
}

// applyPatch applies the body to the present object.
func (s *Server) applyPatch(r *request, cur, of store.Object) ([]byte, error) {
	was, err := encode(cur)
	if err != nil {
		return nil, fmt.Errorf("encode present object: %w", err)
	}
	t, _, _ := mime.ParseMediaType(r.Head.Header.Get("Content-Type"))
	if err := decodelimit.CheckJSON(r.Body, decodelimit.ObjectLimits()); err != nil {
		return nil, newDecodeLimitError("patch", err)
	}
	var out []byte
	switch types.PatchType(t) {
	case types.MergePatchType:
		out, err = jsonpatch.MergePatch(was, r.Body)
	case types.StrategicMergePatchType:
		out, err = strategicpatch.StrategicMergePatch(was, r.Body, of)
	case types.JSONPatchType:
		var p jsonpatch.Patch
		if p, err = jsonpatch.DecodePatch(r.Body); err == nil {
			if len(p) > maxPatchOps {
				return nil, apierrors.NewRequestEntityTooLargeError(fmt.Sprintf("a JSON patch may have %d operations", maxPatchOps))
			}
			o := jsonpatch.NewApplyOptions()
			o.AccumulatedCopySizeLimit = maxPatchedBytes
			var large *jsonpatch.AccumulatedCopySizeError
			if out, err = p.ApplyWithOptions(was, o); errors.As(err, &large) {
				return nil, apierrors.NewRequestEntityTooLargeError("patch: " + err.Error())
			} else if err != nil {
				return nil, apierrors.NewInvalid(schema.GroupKind{Group: r.resourceType.groupVersion.Group, Kind: r.resourceType.kind}, r.name,
					field.ErrorList{field.Invalid(field.NewPath("patch"), fmt.Sprintf("%.1000s", r.Body), err.Error())})
			}
		}
	default:
		return nil, &apierrors.StatusError{ErrStatus: metav1.Status{Status: metav1.StatusFailure, Code: 415,
			Reason: metav1.StatusReasonUnsupportedMediaType, Message: fmt.Sprintf("content-type %q: want %s, %s or %s", t,
				types.JSONPatchType, types.MergePatchType, types.StrategicMergePatchType)}}
	}
	if err != nil {
		return nil, apierrors.NewBadRequest("patch: " + err.Error())
	}
	if len(out) > maxPatchedBytes {
		return nil, apierrors.NewRequestEntityTooLargeError(fmt.Sprintf("the patched object has %d bytes: at most %d", len(out), maxPatchedBytes))
	}
	return out, nil
}

// deleteOptions reads the options from the body and the query.
func (r *request) deleteOptions() (metav1.DeleteOptions, error) {
	var o metav1.DeleteOptions
	if len(bytes.TrimSpace(r.Body)) > 0 {
		if err := r.decode(r.Body, &o, "DeleteOptions"); err != nil {
			return o, err
		}
	}
	if v := r.query.Get("propagationPolicy"); v != "" {
		o.PropagationPolicy = pointerTo(metav1.DeletionPropagation(v))
	}
	if p := o.PropagationPolicy; p != nil {
		switch *p {
		case metav1.DeletePropagationOrphan, metav1.DeletePropagationBackground, metav1.DeletePropagationForeground:
		default:
			return o, apierrors.NewBadRequest(fmt.Sprintf("propagationPolicy: %q is not known", *p))
		}
	}
	return o, nil
}

// deleteObjects serves DELETE of one object or of all that a list would show.
func (s *Server) deleteObjects(r *request) (http1.Response, error) {
	o, err := r.deleteOptions()
	if err != nil {
		return http1.Response{}, err
	}
	dry, err := r.dryRun(o.DryRun)
	if err != nil {
		return http1.Response{}, err
	}
	if r.name != "" {
		cur := s.Store.Get(r.resourceType.resource, r.namespace, r.name)
		if cur == nil {
			return http1.Response{}, apierrors.NewNotFound(r.groupResource(), r.name)
		}
		if dry {
			return s.objectResponse(200, cur)
		}
		out, err := s.deleteObject(r, cur, &o)
		if err != nil {
			return http1.Response{}, r.statusError(err, r.name)
		}
		if j, ok := out.(*batchv1.Job); ok && s.Store.Get(store.Jobs, j.Namespace, j.Name) == nil {
			return jsonResponse(200, &metav1.Status{TypeMeta: metav1.TypeMeta{Kind: "Status", APIVersion: "v1"},
				Status: metav1.StatusSuccess, Details: &metav1.StatusDetails{Name: j.Name, Group: "batch", Kind: "jobs", UID: j.UID}})
		}
		return s.objectResponse(200, out)
	}
	sel, err := r.parseSelector()
	if err != nil {
		return http1.Response{}, err
	}
	resp, err := s.listPage(r, sel, s.Store.Snapshot(r.resourceType.resource), "", 0)
	if err != nil || dry {
		return resp, err
	}
	var hits []store.Object
	s.Store.Snapshot(r.resourceType.resource).Scan(sel.namespace, "", func(_ string, c *store.Change) bool {
		if sel.matches(c.Object) {
			hits = append(hits, c.Object)
		}
		return true
	})
	o.Preconditions = nil
	for _, h := range hits {
		// One that went with another, such as a Pod with its Job, is gone already.
		if _, err := s.deleteObject(r, h, &o); err != nil && s.Store.Get(r.resourceType.resource, h.GetNamespace(), h.GetName()) != nil {
			return http1.Response{}, r.statusError(err, h.GetName())
		}
	}
	return resp, nil
}

func (s *Server) deleteObject(r *request, o store.Object, opt *metav1.DeleteOptions) (store.Object, error) {
	var uid types.UID
	rev := ""
	if p := opt.Preconditions; p != nil {
		if p.UID != nil {
			uid = *p.UID
		}
		if p.ResourceVersion != nil {
			rev = *p.ResourceVersion
		}
	}
	if r.resourceType.resource == store.Jobs {
		how := metav1.DeletePropagationBackground
		if opt.PropagationPolicy != nil {
			how = *opt.PropagationPolicy
		}
		return s.Engine.DeleteJob(s.now, o.GetNamespace(), o.GetName(), uid, rev, how)
	}
	return s.Engine.DeletePod(s.now, o.GetNamespace(), o.GetName(), uid, rev)
}

func (s *Server) evictPod(r *request) (http1.Response, error) {
	var ev policyv1.Eviction
	if err := r.decode(r.Body, &ev, "Eviction"); err != nil {
		return http1.Response{}, err
	}
	if ev.Name != "" && ev.Name != r.name {
		return http1.Response{}, apierrors.NewBadRequest("name in URL does not match name in Eviction object")
	}
	var uid types.UID
	if d := ev.DeleteOptions; d != nil && d.Preconditions != nil && d.Preconditions.UID != nil {
		uid = *d.Preconditions.UID
	}
	if err := s.Engine.EvictPod(s.now, r.namespace, r.name, uid); err != nil {
		return http1.Response{}, r.statusError(err, r.name)
	}
	return jsonResponse(201, &metav1.Status{TypeMeta: metav1.TypeMeta{Kind: "Status", APIVersion: "v1"}, Status: metav1.StatusSuccess, Code: 201})
}
