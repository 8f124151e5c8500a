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

// encode returns an object as JSON, with its kind and API version.
func encode(o runtime.Object) ([]byte, error) {
	switch typed := o.(type) {
	case *batchv1.Job:
		return encodeWithType(typed)
	case *corev1.Pod:
		return encodeWithType(typed)
	case *corev1.Node:
		return encodeWithType(typed)
	case *corev1.Namespace:
		return encodeWithType(typed)
	}
	return json.Marshal(o)
}

// encodeWithType encodes a shallow copy of an object with its kind and API version: other goroutines may be reading the object itself.
func encodeWithType[T any, P interface {
	*T
	runtime.Object
}](object P) ([]byte, error) {
	typed := *object
	version, kind := typeOf(object)
	P(&typed).GetObjectKind().SetGroupVersionKind(schema.FromAPIVersionAndKind(version, kind))
	return json.Marshal(&typed)
}

// typeOf returns the API version and the kind of a served object, which is one of the resources or a Status.
func typeOf(o runtime.Object) (version, kind string) {
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

// encodeOrNull is encode for a stream, which can no longer report an error.
func encodeOrNull(o runtime.Object) []byte {
	text, err := encode(o)
	if err != nil {
		return []byte("null")
	}
	return text
}

// encoded returns the object of a change as JSON. It is encoded once for all readers.
func encoded(change *store.Change) []byte {
	if change.JSON == nil {
		change.JSON = encodeOrNull(change.Object)
	}
	return change.JSON
}

func contentType(mediaType string) []http1.Field {
	return []http1.Field{{Name: "Content-Type", Value: mediaType}}
}

// textResponse returns a response with a body that is not an API object.
func textResponse(status int, mediaType string, body []byte) http1.Response {
	return http1.Response{Status: status, Header: contentType(mediaType), Body: body}
}

// encodedResponse returns a response with an encoded JSON body.
func encodedResponse(status int, body []byte) http1.Response {
	return http1.Response{Status: status, Header: contentType(jsonType), Body: body}
}

// jsonResponse returns a response with a value as JSON.
func jsonResponse(status int, value any) (http1.Response, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return http1.Response{}, fmt.Errorf("encode answer: %w", err)
	}
	return encodedResponse(status, append(body, '\n')), nil
}

// objectResponse returns a response with an API object.
func objectResponse(status int, o store.Object) (http1.Response, error) {
	body, err := encode(o)
	if err != nil {
		return http1.Response{}, fmt.Errorf("encode answer: %w", err)
	}
	return encodedResponse(status, body), nil
}

// errorResponse returns an error as the API's Status object. An error without a status is an internal error.
func errorResponse(err error) http1.Response {
	status := metav1.Status{
		Status:  metav1.StatusFailure,
		Code:    http.StatusInternalServerError,
		Reason:  metav1.StatusReasonInternalError,
		Message: err.Error(),
	}
	var withStatus apierrors.APIStatus
	if errors.As(err, &withStatus) {
		status = withStatus.Status()
	}
	status.TypeMeta = metav1.TypeMeta{Kind: "Status", APIVersion: "v1"}
	response, err := jsonResponse(int(status.Code), &status)
	if err != nil {
		return http1.Response{Status: http.StatusInternalServerError}
	}
	if details := status.Details; details != nil && details.RetryAfterSeconds > 0 {
		retryAfter := strconv.Itoa(int(details.RetryAfterSeconds))
		response.Header = append(response.Header, http1.Field{Name: "Retry-After", Value: retryAfter})
	}
	return response
}
