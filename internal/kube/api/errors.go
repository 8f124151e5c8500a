package api

import (
	"errors"
	"fmt"
	"net/http"

	apierrors "k8s.io/apimachinery/pkg/api/errors"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/util/validation/field"

	"heathshed/internal/control/decodelimit"
	"heathshed/internal/kube/engine"
)

const (
	// tooManyRequestsRetrySeconds is the value of the Retry-After header in responses with status 429 (Too
	// Many Requests).
	tooManyRequestsRetrySeconds = 5
	// unavailableRetrySeconds is the value of the Retry-After header in responses with status 503 (Service
	// Unavailable).
	unavailableRetrySeconds = 1
)

// newStatusError returns an error with an API status. Callers use it for statuses for which package
// apierrors has no constructor.
func newStatusError(code int32, reason metav1.StatusReason, message string) *apierrors.StatusError {
	return &apierrors.StatusError{ErrStatus: metav1.Status{
		Status:  metav1.StatusFailure,
		Code:    code,
		Reason:  reason,
		Message: message,
	}}
}

// newInvalidSegmentError returns the error for a path segment that is not a valid name, for example because
// the segment contains an escaped slash. The argument segmentKind is "namespace" if the segment should be
// the name of a namespace, and "name" if it should be the name of an object.
func newInvalidSegmentError(segmentKind, value string) error {
	return apierrors.NewBadRequest(fmt.Sprintf("path: %s %.80q is not valid: want lower case letters, digits, '-' and '.', beginning and ending "+
		"with a letter or digit", segmentKind, value))
}

func newPathNotFoundError() error {
	return newStatusError(http.StatusNotFound, metav1.StatusReasonNotFound, "the server could not find the requested resource")
}

func newServiceUnavailableError(message string) error {
	err := newStatusError(http.StatusServiceUnavailable, metav1.StatusReasonServiceUnavailable, message)
	err.ErrStatus.Details = &metav1.StatusDetails{RetryAfterSeconds: unavailableRetrySeconds}
	return err
}

// newResourceVersionExpiredError returns the error for a request whose resource version is no longer in the
// store's history.
func newResourceVersionExpiredError(message string) *apierrors.StatusError {
	return apierrors.NewResourceExpired(message)
}

// newResourceVersionTooLargeError returns the error for a request whose resource version does not exist
// yet.
func newResourceVersionTooLargeError(resourceVersion, currentVersion int64) error {
	err := apierrors.NewTimeoutError(fmt.Sprintf("Too large resource version: %d, current: %d", resourceVersion, currentVersion), 1)
	err.ErrStatus.Details.Causes = []metav1.StatusCause{{
		Type:    metav1.CauseTypeResourceVersionTooLarge,
		Message: "Too large resource version",
	}}
	return err
}

// newDecodeLimitError returns the error for a request body whose decoding would take too much memory. The
// error message begins with the argument source, which is "body" or "patch".
func newDecodeLimitError(source string, err error) error {
	message := source + ": " + err.Error()
	var limitError *decodelimit.Error
	if errors.As(err, &limitError) && limitError.TooLarge() {
		return apierrors.NewRequestEntityTooLargeError(message)
	}
	return apierrors.NewBadRequest(message)
}

// toStatusError converts an error from the scheduler's engine to an error with an API status. The argument
// name is the name of the object that the engine should have changed.
func (r *request) toStatusError(err error, name string) error {
	var invalidError *engine.InvalidError
	switch {
	case errors.Is(err, engine.ErrNotFound):
		return apierrors.NewNotFound(r.groupResource(), name)
	case errors.Is(err, engine.ErrExists):
		return apierrors.NewAlreadyExists(r.groupResource(), name)
	case errors.Is(err, engine.ErrConflict):
		return apierrors.NewConflict(r.groupResource(), name, err)
	case errors.Is(err, engine.ErrTooMany):
		return apierrors.NewTooManyRequests(err.Error(), tooManyRequestsRetrySeconds)
	case errors.Is(err, engine.ErrStopping):
		return newServiceUnavailableError(err.Error())
	case errors.As(err, &invalidError):
		fieldErrors := field.ErrorList{field.Invalid(field.NewPath(invalidError.Field), invalidError.Value, invalidError.Detail)}
		return apierrors.NewInvalid(r.groupKind(), name, fieldErrors)
	}
	return err
}
