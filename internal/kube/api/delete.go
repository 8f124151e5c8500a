package api

import (
	"bytes"
	"fmt"
	"net/http"

	batchv1 "k8s.io/api/batch/v1"
	policyv1 "k8s.io/api/policy/v1"
	apierrors "k8s.io/apimachinery/pkg/api/errors"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/store"
	"heathshed/internal/netio/http1"
)

// deleteObjects serves DELETE requests, which delete a single object or a collection of objects.
func (s *Server) deleteObjects(r *request) (http1.Response, error) {
	options, err := r.deleteOptions()
	if err != nil {
		return http1.Response{}, err
	}
	dryRun, err := r.dryRun(options.DryRun)
	if err != nil {
		return http1.Response{}, err
	}
	if r.name != "" {
		return s.deleteNamedObject(r, options, dryRun)
	}
	return s.deleteCollection(r, options, dryRun)
}

// deleteOptions returns the delete options from the request body. If the request has the query parameter
// propagationPolicy, the value of this parameter replaces the propagation policy from the body.
func (r *request) deleteOptions() (*metav1.DeleteOptions, error) {
	options := &metav1.DeleteOptions{}
	if len(bytes.TrimSpace(r.Body)) > 0 {
		if err := r.decode(options, "DeleteOptions"); err != nil {
			return nil, err
		}
	}
	if policy := r.query.Get("propagationPolicy"); policy != "" {
		options.PropagationPolicy = new(metav1.DeletionPropagation(policy))
	}
	if options.PropagationPolicy == nil {
		return options, nil
	}
	switch policy := *options.PropagationPolicy; policy {
	case metav1.DeletePropagationOrphan, metav1.DeletePropagationBackground, metav1.DeletePropagationForeground:
		return options, nil
	default:
		return nil, apierrors.NewBadRequest(fmt.Sprintf("propagationPolicy: %q is not known", policy))
	}
}

// deleteNamedObject deletes a single object. The response contains the deleted object. If this object is a
// Job that the engine removed from the store immediately, the response contains a Status object instead.
func (s *Server) deleteNamedObject(r *request, options *metav1.DeleteOptions, dryRun bool) (http1.Response, error) {
	currentObject := s.Store.Get(r.resourceType.resource, r.namespace, r.name)
	if currentObject == nil {
		return http1.Response{}, apierrors.NewNotFound(r.groupResource(), r.name)
	}
	if dryRun {
		return objectResponse(http.StatusOK, currentObject)
	}
	deletedObject, err := s.deleteObject(r, currentObject, options)
	if err != nil {
		return http1.Response{}, r.toStatusError(err, r.name)
	}
	job, isJob := deletedObject.(*batchv1.Job)
	if isJob && s.Store.Get(store.Jobs, job.Namespace, job.Name) == nil {
		return jsonResponse(http.StatusOK, &metav1.Status{
			TypeMeta: metav1.TypeMeta{Kind: "Status", APIVersion: "v1"},
			Status:   metav1.StatusSuccess,
			Details:  &metav1.StatusDetails{Name: job.Name, Group: "batch", Kind: "jobs", UID: job.UID},
		})
	}
	return objectResponse(http.StatusOK, deletedObject)
}

// deleteCollection deletes all objects that match the selectors of the request. The response lists these
// objects.
func (s *Server) deleteCollection(r *request, options *metav1.DeleteOptions, dryRun bool) (http1.Response, error) {
	selector, err := r.parseSelector()
	if err != nil {
		return http1.Response{}, err
	}
	response, err := s.listPage(r, selector, s.Store.Snapshot(r.resourceType.resource), "", 0)
	if err != nil || dryRun {
		return response, err
	}
	// Preconditions apply only to the deletion of a single object.
	options.Preconditions = nil
	for _, selectedObject := range s.selectedObjects(&selector) {
		_, err := s.deleteObject(r, selectedObject, options)
		if err == nil {
			continue
		}
		// An error is ignored if the object no longer exists, because the deletion of one object may delete
		// other objects. For example, the deletion of a Job also deletes its Pods.
		if s.Store.Get(r.resourceType.resource, selectedObject.GetNamespace(), selectedObject.GetName()) != nil {
			return http1.Response{}, r.toStatusError(err, selectedObject.GetName())
		}
	}
	return response, nil
}

// selectedObjects returns all stored objects that match a selector.
func (s *Server) selectedObjects(selector *objectSelector) []store.Object {
	var objects []store.Object
	snapshot := s.Store.Snapshot(selector.resourceType.resource)
	snapshot.Scan(selector.namespace, "", func(_ string, change *store.Change) bool {
		if selector.matches(change.Object) {
			objects = append(objects, change.Object)
		}
		return true
	})
	return objects
}

// deleteObject calls the scheduler's engine to delete a Job or a Pod.
func (s *Server) deleteObject(r *request, o store.Object, options *metav1.DeleteOptions) (store.Object, error) {
	var uid types.UID
	resourceVersion := ""
	if preconditions := options.Preconditions; preconditions != nil {
		if preconditions.UID != nil {
			uid = *preconditions.UID
		}
		if preconditions.ResourceVersion != nil {
			resourceVersion = *preconditions.ResourceVersion
		}
	}
	if r.resourceType.resource == store.Pods {
		return s.Engine.DeletePod(s.now, o.GetNamespace(), o.GetName(), uid, resourceVersion)
	}
	propagationPolicy := metav1.DeletePropagationBackground
	if options.PropagationPolicy != nil {
		propagationPolicy = *options.PropagationPolicy
	}
	return s.Engine.DeleteJob(s.now, o.GetNamespace(), o.GetName(), uid, resourceVersion, propagationPolicy)
}

// evictPod serves POST requests that create an Eviction object. Such a request evicts a Pod, unless it is a dry
// run.
func (s *Server) evictPod(r *request) (http1.Response, error) {
	var eviction policyv1.Eviction
	if err := r.decode(&eviction, "Eviction"); err != nil {
		return http1.Response{}, err
	}
	if eviction.Name != "" && eviction.Name != r.name {
		return http1.Response{}, apierrors.NewBadRequest("name in URL does not match name in Eviction object")
	}
	var bodyDryRun []string
	if eviction.DeleteOptions != nil {
		bodyDryRun = eviction.DeleteOptions.DryRun
	}
	dryRun, err := r.dryRun(bodyDryRun)
	if err != nil {
		return http1.Response{}, err
	}
	if err := s.Engine.EvictPod(s.now, r.namespace, r.name, evictionUID(&eviction), dryRun); err != nil {
		return http1.Response{}, r.toStatusError(err, r.name)
	}
	return jsonResponse(http.StatusCreated, &metav1.Status{
		TypeMeta: metav1.TypeMeta{Kind: "Status", APIVersion: "v1"},
		Status:   metav1.StatusSuccess,
		Code:     http.StatusCreated,
	})
}

// evictionUID returns the UID that an Eviction requires the Pod to have. The result is empty if the Eviction
// states no such precondition.
func evictionUID(eviction *policyv1.Eviction) types.UID {
	options := eviction.DeleteOptions
	if options == nil || options.Preconditions == nil || options.Preconditions.UID == nil {
		return ""
	}
	return *options.Preconditions.UID
}
