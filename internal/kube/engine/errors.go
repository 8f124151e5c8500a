package engine

import (
	"errors"
	"fmt"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"
)

// Methods of Engine return these errors. The API server translates each error into a Status object whose
// message is the text of the error.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrExists means that an object with the same name exists.
	ErrExists = errors.New("already exists")
	// ErrConflict means that the stored object does not have the UID or the resource version that the caller
	// requires.
	ErrConflict = errors.New("the object has been modified; read it again")
	// ErrTooMany means that a new Job would exceed the limit on stored objects. The client may create the Job
	// later, when fewer objects are stored.
	ErrTooMany = errors.New("too many tasks are stored; try again later")
	// ErrStopping means that Engine.Stop was called and that the engine accepts no new Jobs and starts no task
	// in place of an evicted one.
	ErrStopping = errors.New("the scheduler stops and takes no new tasks")
)

// InvalidError states why an object can never be accepted. Field is the path of the first invalid field.
type InvalidError struct {
	Field, Detail string
	Value         any
}

func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %v: %s", e.Field, e.Value, e.Detail) }

// checkPreconditions returns ErrConflict if an object does not have the required UID or resource version.
// If the required UID or resource version is empty, checkPreconditions does not compare it.
func checkPreconditions(object metav1.Object, uid types.UID, resourceVersion string) error {
	if uid != "" && uid != object.GetUID() {
		return ErrConflict
	}
	if resourceVersion != "" && resourceVersion != object.GetResourceVersion() {
		return ErrConflict
	}
	return nil
}
