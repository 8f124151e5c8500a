package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"mime"
	"net/http"

	jsonpatch "github.com/evanphx/json-patch/v5"
	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	apierrors "k8s.io/apimachinery/pkg/api/errors"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"
	"k8s.io/apimachinery/pkg/util/strategicpatch"
	"k8s.io/apimachinery/pkg/util/validation/field"

	"heathshed/internal/control/decodelimit"
	"heathshed/internal/kube/store"
	"heathshed/internal/netio/http1"
)

const (
	// maxPatchOperations is the maximum number of operations in a JSON patch.
	maxPatchOperations = 1000
	// maxPatchedBytes is the maximum size of the JSON that results from a patch.
	maxPatchedBytes = 1 << 20
	// maxPatchExcerptChars is the maximum number of characters of a patch that an error message quotes.
	maxPatchExcerptChars = 1000
)

// updateObject serves PUT and PATCH requests for Jobs and Nodes.
func (s *Server) updateObject(r *request) (http1.Response, error) {
	current := s.Store.Get(r.resourceType.resource, r.namespace, r.name)
	if current == nil {
		return http1.Response{}, apierrors.NewNotFound(r.groupResource(), r.name)
	}
	updated := r.resourceType.newObject()
	if err := r.decodeUpdate(current, updated); err != nil {
		return http1.Response{}, err
	}
	if updated.GetName() != r.name || updated.GetNamespace() != r.namespace {
		return http1.Response{}, apierrors.NewBadRequest("the name or namespace of the object does not match the request")
	}
	if errs := validateLabelsAndAnnotations(updated, field.NewPath("metadata")); len(errs) > 0 {
		return http1.Response{}, apierrors.NewInvalid(r.groupKind(), r.name, errs)
	}
	dryRun, err := r.dryRun(nil)
	if err != nil {
		return http1.Response{}, err
	}
	stored, err := s.applyUpdate(r, current, updated, dryRun)
	if err != nil {
		return http1.Response{}, r.toStatusError(err, r.name)
	}
	return objectResponse(http.StatusOK, stored)
}

// decodeUpdate determines the updated object that a request describes and decodes it into the argument into.
// The body of a PUT request is the updated object. The body of a PATCH request is a patch of the current
// object.
func (r *request) decodeUpdate(current, into store.Object) error {
	if r.Head.Method == http.MethodPut {
		return r.decode(into, r.resourceType.kind)
	}
	patched, err := r.applyPatch(current, into)
	if err != nil {
		return err
	}
	return r.decodeJSON(patched, into, r.resourceType.kind)
}

// applyUpdate calls the engine to update a Job or a Node and returns the updated object.
func (s *Server) applyUpdate(r *request, current, updated store.Object, dryRun bool) (store.Object, error) {
	if job, ok := updated.(*batchv1.Job); ok {
		setJobDefaults(job)
		return s.Engine.UpdateJob(s.now, job, dryRun)
	}
	node := updated.(*corev1.Node)
	return s.Engine.UpdateNode(s.now, node, r.requestedUnschedulable(node, current.(*corev1.Node)), dryRun)
}

// requestedUnschedulable returns the value that a request sets for the field spec.unschedulable of a Node.
// The result is nil if the request does not set the field. A request sets the field if it changes the value.
// A patch also sets the field if it contains the field with the current value.
func (r *request) requestedUnschedulable(updated, current *corev1.Node) *bool {
	valueChanged := updated.Spec.Unschedulable != current.Spec.Unschedulable
	setByPatch := r.Head.Method == http.MethodPatch && patchSetsUnschedulable(r.Body)
	if !valueChanged && !setByPatch {
		return nil
	}
	return new(updated.Spec.Unschedulable)
}

// patchSetsUnschedulable reports whether a merge patch or a JSON patch contains the field spec.unschedulable.
func patchSetsUnschedulable(patch []byte) bool {
	var mergePatch struct {
		Spec map[string]json.RawMessage `json:"spec"`
	}
	if json.Unmarshal(patch, &mergePatch) == nil {
		_, isSet := mergePatch.Spec["unschedulable"]
		return isSet
	}
	var operations []struct {
		Path string `json:"path"`
	}
	if json.Unmarshal(patch, &operations) != nil {
		return false
	}
	for _, operation := range operations {
		if operation.Path == "/spec/unschedulable" {
			return true
		}
	}
	return false
}

// applyPatch applies the patch in the request body to the current object and returns the result as JSON. For
// a strategic merge patch, the Go type of schemaSource determines how each field is merged.
func (r *request) applyPatch(current, schemaSource store.Object) ([]byte, error) {
	original, err := encodeJSON(current)
	if err != nil {
		return nil, fmt.Errorf("encode current object: %w", err)
	}
	if err := decodelimit.CheckJSON(r.Body, decodelimit.ObjectLimits()); err != nil {
		return nil, newDecodeLimitError("patch", err)
	}
	// The error is ignored, because the request is rejected below unless the media type is one of the patch
	// types.
	mediaType, _, _ := mime.ParseMediaType(r.Head.Header.Get("Content-Type"))
	var patched []byte
	switch types.PatchType(mediaType) {
	case types.MergePatchType:
		patched, err = jsonpatch.MergePatch(original, r.Body)
	case types.StrategicMergePatchType:
		patched, err = strategicpatch.StrategicMergePatch(original, r.Body, schemaSource)
	case types.JSONPatchType:
		patched, err = r.applyJSONPatch(original)
	default:
		return nil, newStatusError(http.StatusUnsupportedMediaType, metav1.StatusReasonUnsupportedMediaType,
			fmt.Sprintf("content-type %q: want %s, %s or %s", mediaType, types.JSONPatchType, types.MergePatchType, types.StrategicMergePatchType))
	}
	var statusError *apierrors.StatusError
	if errors.As(err, &statusError) {
		return nil, statusError
	}
	if err != nil {
		return nil, apierrors.NewBadRequest("patch: " + err.Error())
	}
	if len(patched) > maxPatchedBytes {
		return nil, apierrors.NewRequestEntityTooLargeError(fmt.Sprintf("the patched object has %d bytes: at most %d", len(patched), maxPatchedBytes))
	}
	return patched, nil
}

// applyJSONPatch applies a JSON patch. It limits the number of operations and the total size of copied
// values, because a small patch can make an object very large by copying the object into itself repeatedly.
func (r *request) applyJSONPatch(original []byte) ([]byte, error) {
	patch, err := jsonpatch.DecodePatch(r.Body)
	if err != nil {
		return nil, err
	}
	if len(patch) > maxPatchOperations {
		return nil, apierrors.NewRequestEntityTooLargeError(fmt.Sprintf("a JSON patch may have %d operations", maxPatchOperations))
	}
	options := jsonpatch.NewApplyOptions()
	options.AccumulatedCopySizeLimit = maxPatchedBytes
	patched, err := patch.ApplyWithOptions(original, options)
	var copySizeError *jsonpatch.AccumulatedCopySizeError
	if errors.As(err, &copySizeError) {
		return nil, apierrors.NewRequestEntityTooLargeError("patch: " + err.Error())
	}
	if err != nil {
		excerpt := fmt.Sprintf("%.*s", maxPatchExcerptChars, r.Body)
		return nil, apierrors.NewInvalid(r.groupKind(), r.name, field.ErrorList{field.Invalid(field.NewPath("patch"), excerpt, err.Error())})
	}
	return patched, nil
}
