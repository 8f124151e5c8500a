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
	// tooManyRetrySeconds and unavailableRetrySeconds are values of Retry-After.
	tooManyRetrySeconds     = 5
	unavailableRetrySeconds = 1
)

// newStatusError returns an error with a status for which package apierrors has no constructor that fits.
func newStatusError(code int32, reason metav1.StatusReason, message string) *apierrors.StatusError {
	return &apierrors.StatusError{ErrStatus: metav1.Status{
		Status:  metav1.StatusFailure,
		Code:    code,
		Reason:  reason,
		Message: message,
	}}
}

// newInvalidSegment rejects a path segment that is not a valid name: an escaped slash must not become part of one.
func newInvalidSegment(what, got string) error {
	return apierrors.NewBadRequest(fmt.Sprintf("path: %s %.80q is not valid: want lower case letters, digits, '-' and '.', beginning and ending "+
		"with a letter or digit", what, got))
}

func newPathNotFound() error {
	return newStatusError(http.StatusNotFound, metav1.StatusReasonNotFound, "the server could not find the requested resource")
}

func newServiceUnavailable(message string) error {
	err := newStatusError(http.StatusServiceUnavailable, metav1.StatusReasonServiceUnavailable, message)
	err.ErrStatus.Details = &metav1.StatusDetails{RetryAfterSeconds: unavailableRetrySeconds}
	return err
}

// newRevisionExpired is the answer to a resource version that is no longer in the history.
func newRevisionExpired(message string) *apierrors.StatusError {
	return apierrors.NewResourceExpired(message)
}

// newRevisionTooLarge is the answer to a resource version that does not exist yet.
func newRevisionTooLarge(revision, current int64) error {
	err := apierrors.NewTimeoutError(fmt.Sprintf("Too large resource version: %d, current: %d", revision, current), 1)
	err.ErrStatus.Details.Causes = []metav1.StatusCause{{
		Type:    metav1.CauseTypeResourceVersionTooLarge,
		Message: "Too large resource version",
	}}
	return err
}

// newDecodeLimitError is the answer to a text whose decoding would take too much memory.
func newDecodeLimitError(what string, err error) error {
	message := what + ": " + err.Error()
	var limit *decodelimit.Error
	if errors.As(err, &limit) && limit.TooLarge() {
		return apierrors.NewRequestEntityTooLargeError(message)
	}
	return apierrors.NewBadRequest(message)
}

// statusError turns an error of the engine about an object into one of the API.
func (r *request) statusError(err error, name string) error {
	var invalid *engine.InvalidError
	switch {
	case errors.Is(err, engine.ErrNotFound):
		return apierrors.NewNotFound(r.groupResource(), name)
	case errors.Is(err, engine.ErrExists):
		return apierrors.NewAlreadyExists(r.groupResource(), name)
	case errors.Is(err, engine.ErrConflict):
		return apierrors.NewConflict(r.groupResource(), name, err)
	case errors.Is(err, engine.ErrTooMany):
		return apierrors.NewTooManyRequests(err.Error(), tooManyRetrySeconds)
	case errors.Is(err, engine.ErrStopping):
		return newServiceUnavailable(err.Error())
	case errors.As(err, &invalid):
		details := field.ErrorList{field.Invalid(field.NewPath(invalid.Field), invalid.Value, invalid.Detail)}
		return apierrors.NewInvalid(r.groupKind(), name, details)
	}
	return err
}
