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
	currentObject := s.Store.Get(r.resourceType.resource, r.namespace, r.name)
	if currentObject == nil {
		return http1.Response{}, apierrors.NewNotFound(r.groupResource(), r.name)
	}
	updatedObject := r.resourceType.newObject()
	if err := r.decodeUpdate(currentObject, updatedObject); err != nil {
		return http1.Response{}, err
	}
	if updatedObject.GetName() != r.name || updatedObject.GetNamespace() != r.namespace {
		return http1.Response{}, apierrors.NewBadRequest("the name or namespace of the object does not match the request")
	}
	if errs := validateLabelsAndAnnotations(updatedObject, field.NewPath("metadata")); len(errs) > 0 {
		return http1.Response{}, apierrors.NewInvalid(r.groupKind(), r.name, errs)
	}
	dryRun, err := r.dryRun(nil)
	if err != nil {
		return http1.Response{}, err
	}
	storedObject, err := s.applyUpdate(r, currentObject, updatedObject, dryRun)
	if err != nil {
		return http1.Response{}, r.toStatusError(err, r.name)
	}
	return objectResponse(http.StatusOK, storedObject)
}

// decodeUpdate reads the updated object from a request and stores it in updatedObject. The body of a PUT
// request contains the updated object itself. The body of a PATCH request contains a patch, which is
// applied to currentObject.
func (r *request) decodeUpdate(currentObject, updatedObject store.Object) error {
	if r.Head.Method == http.MethodPut {
		return r.decode(updatedObject, r.resourceType.kind)
	}
	patchedJSON, err := r.applyPatch(currentObject, updatedObject)
	if err != nil {
		return err
	}
	return r.decodeJSON(patchedJSON, updatedObject, r.resourceType.kind)
}

// applyUpdate calls the scheduler's engine to update a Job or a Node. It returns the updated Job or Node.
func (s *Server) applyUpdate(r *request, currentObject, updatedObject store.Object, dryRun bool) (store.Object, error) {
	if job, ok := updatedObject.(*batchv1.Job); ok {
		setJobDefaults(job)
		return s.Engine.UpdateJob(s.now, job, dryRun)
	}
	node := updatedObject.(*corev1.Node)
	return s.Engine.UpdateNode(s.now, node, r.requestedUnschedulable(node, currentObject.(*corev1.Node)), dryRun)
}

// requestedUnschedulable returns the value to which a request sets the field spec.unschedulable of a Node.
// The result is nil if the request does not set the field. A PUT or PATCH request sets the field if it
// changes the value of the field. A PATCH request also sets the field if the patch contains the field with
// its current value.
func (r *request) requestedUnschedulable(updatedNode, currentNode *corev1.Node) *bool {
	valueChanged := updatedNode.Spec.Unschedulable != currentNode.Spec.Unschedulable
	setByPatch := r.Head.Method == http.MethodPatch && patchSetsUnschedulable(r.Body)
	if !valueChanged && !setByPatch {
		return nil
	}
	return new(updatedNode.Spec.Unschedulable)
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
func (r *request) applyPatch(currentObject, schemaSource store.Object) ([]byte, error) {
	originalJSON, err := encodeJSON(currentObject)
	if err != nil {
		return nil, fmt.Errorf("encode current object: %w", err)
	}
	if err := decodelimit.CheckJSON(r.Body, decodelimit.ObjectLimits()); err != nil {
		return nil, newDecodeLimitError("patch", err)
	}
	// The error from ParseMediaType is ignored, because the request is rejected below unless the media type
	// is one of the patch types.
	mediaType, _, _ := mime.ParseMediaType(r.Head.Header.Get("Content-Type"))
	var patchedJSON []byte
	switch types.PatchType(mediaType) {
	case types.MergePatchType:
		patchedJSON, err = jsonpatch.MergePatch(originalJSON, r.Body)
	case types.StrategicMergePatchType:
		patchedJSON, err = strategicpatch.StrategicMergePatch(originalJSON, r.Body, schemaSource)
	case types.JSONPatchType:
		patchedJSON, err = r.applyJSONPatch(originalJSON)
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
	if len(patchedJSON) > maxPatchedBytes {
		return nil, apierrors.NewRequestEntityTooLargeError(fmt.Sprintf("the patched object has %d bytes: at most %d", len(patchedJSON), maxPatchedBytes))
	}
	return patchedJSON, nil
}

// applyJSONPatch applies the JSON patch in the request body to an object that is encoded as JSON. It limits
// the number of operations and the total size of copied values, because a small patch can make an object
// very large by copying the object into itself repeatedly.
func (r *request) applyJSONPatch(originalJSON []byte) ([]byte, error) {
	patch, err := jsonpatch.DecodePatch(r.Body)
	if err != nil {
		return nil, err
	}
	if len(patch) > maxPatchOperations {
		return nil, apierrors.NewRequestEntityTooLargeError(fmt.Sprintf("a JSON patch may have %d operations", maxPatchOperations))
	}
	options := jsonpatch.NewApplyOptions()
	options.AccumulatedCopySizeLimit = maxPatchedBytes
	patchedJSON, err := patch.ApplyWithOptions(originalJSON, options)
	var copySizeError *jsonpatch.AccumulatedCopySizeError
	if errors.As(err, &copySizeError) {
		return nil, apierrors.NewRequestEntityTooLargeError("patch: " + err.Error())
	}
	if err != nil {
		excerpt := fmt.Sprintf("%.*s", maxPatchExcerptChars, r.Body)
		return nil, apierrors.NewInvalid(r.groupKind(), r.name, field.ErrorList{field.Invalid(field.NewPath("patch"), excerpt, err.Error())})
	}
	return patchedJSON, nil
}
