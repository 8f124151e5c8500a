package engine

import (
	"errors"
	"fmt"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"
)

// Errors of calls. The API server turns them into statuses, with their texts as messages.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrExists means that an object of this name exists.
	ErrExists = errors.New("already exists")
	// ErrConflict means that the UID or the resource version that the caller requires is not that of the stored object.
	ErrConflict = errors.New("the object has been modified; read it again")
	// ErrTooMany means that a Job does not fit beside the objects that are stored now. It may fit later.
	ErrTooMany = errors.New("too many tasks are stored; try again later")
	// ErrStopping means that Stop was called.
	ErrStopping = errors.New("the scheduler stops and takes no new tasks")
)

// InvalidError is an object that cannot be accepted, now or later. Field is the path of the first invalid field.
type InvalidError struct {
	Field, Detail string
	Value         any
}

func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %v: %s", e.Field, e.Value, e.Detail) }

// checkPreconditions returns ErrConflict if the UID or the resource version of an object is not the required one. Empty values are not checked.
func checkPreconditions(object metav1.Object, uid types.UID, resourceVersion string) error {
	if uid != "" && uid != object.GetUID() {
		return ErrConflict
	}
	if resourceVersion != "" && resourceVersion != object.GetResourceVersion() {
		return ErrConflict
	}
	return nil
}
