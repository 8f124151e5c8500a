package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	apierrors "k8s.io/apimachinery/pkg/api/errors"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/runtime"
	"k8s.io/apimachinery/pkg/runtime/schema"

	"heathshed/internal/kube/store"
	"heathshed/internal/netio/http1"
)

const jsonType = "application/json"

// encodeJSON returns the JSON encoding of an object. The encoding includes the kind and API version of the
// object.
func encodeJSON(o runtime.Object) ([]byte, error) {
	switch object := o.(type) {
	case *batchv1.Job:
		return encodeJSONWithType(object)
	case *corev1.Pod:
		return encodeJSONWithType(object)
	case *corev1.Node:
		return encodeJSONWithType(object)
	case *corev1.Namespace:
		return encodeJSONWithType(object)
	}
	return json.Marshal(o)
}

// encodeJSONWithType sets the kind and API version in a shallow copy of an object and returns the copy as
// JSON. It does not modify the object itself, because other goroutines may be reading the object.
func encodeJSONWithType[T any, P interface {
	*T
	runtime.Object
}](object P) ([]byte, error) {
	objectCopy := *object
	apiVersion, kind := apiVersionAndKind(object)
	P(&objectCopy).GetObjectKind().SetGroupVersionKind(schema.FromAPIVersionAndKind(apiVersion, kind))
	return json.Marshal(&objectCopy)
}

// apiVersionAndKind returns the API version and the kind of an object. The object must be a Status or belong
// to a resource type that the server serves.
func apiVersionAndKind(o runtime.Object) (apiVersion, kind string) {
	switch o.(type) {
	case *batchv1.Job:
		return "batch/v1", "Job"
	case *corev1.Pod:
		return "v1", "Pod"
	case *corev1.Node:
		return "v1", "Node"
	case *corev1.Namespace:
		return "v1", "Namespace"
	}
	return "v1", "Status"
}

// encodeJSONOrNull returns an object as JSON, or the JSON value null if the encoding fails. Streams use
// this function, because they cannot report an error after the header of the response has been sent.
func encodeJSONOrNull(o runtime.Object) []byte {
	text, err := encodeJSON(o)
	if err != nil {
		return []byte("null")
	}
	return text
}

// cachedJSON returns the JSON encoding of the object in a store.Change. The first call stores the encoding
// in the store.Change, and later calls reuse this encoding.
func cachedJSON(change *store.Change) []byte {
	if change.JSON == nil {
		change.JSON = encodeJSONOrNull(change.Object)
	}
	return change.JSON
}

func contentType(mediaType string) []http1.Field {
	return []http1.Field{{Name: "Content-Type", Value: mediaType}}
}

// textResponse returns a response whose body is plain text instead of an API object.
func textResponse(status int, mediaType string, body []byte) http1.Response {
	return http1.Response{Status: status, Header: contentType(mediaType), Body: body}
}

// encodedJSONResponse returns a response whose body is already encoded as JSON.
func encodedJSONResponse(status int, body []byte) http1.Response {
	return http1.Response{Status: status, Header: contentType(jsonType), Body: body}
}

// jsonResponse returns a response whose body is the JSON encoding of the given value.
func jsonResponse(status int, value any) (http1.Response, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return http1.Response{}, fmt.Errorf("encode response: %w", err)
	}
	return encodedJSONResponse(status, append(body, '\n')), nil
}

// objectResponse returns a response whose body is the JSON encoding of the given API object.
func objectResponse(status int, o store.Object) (http1.Response, error) {
	body, err := encodeJSON(o)
	if err != nil {
		return http1.Response{}, fmt.Errorf("encode response: %w", err)
	}
	return encodedJSONResponse(status, body), nil
}

// errorResponse converts an error to a response with a Status object. An error without an API status is
// reported as an internal error.
func errorResponse(err error) http1.Response {
	status := metav1.Status{
		Status:  metav1.StatusFailure,
		Code:    http.StatusInternalServerError,
		Reason:  metav1.StatusReasonInternalError,
		Message: err.Error(),
	}
	var apiStatus apierrors.APIStatus
	if errors.As(err, &apiStatus) {
		status = apiStatus.Status()
	}
	status.TypeMeta = metav1.TypeMeta{Kind: "Status", APIVersion: "v1"}
	response, err := jsonResponse(int(status.Code), &status)
	if err != nil {
		return http1.Response{Status: http.StatusInternalServerError}
	}
	if details := status.Details; details != nil && details.RetryAfterSeconds > 0 {
		retryAfterSeconds := strconv.Itoa(int(details.RetryAfterSeconds))
		response.Header = append(response.Header, http1.Field{Name: "Retry-After", Value: retryAfterSeconds})
	}
	return response
}
