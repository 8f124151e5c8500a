package apiclient

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
)

// StatusError is an answer that is not a success.
type StatusError struct {
	Method, Path string
	Code         int    // HTTP status
	Message      string // of the Status object in the answer; "" if it has none
}

func newStatusError(request *Request, response *http.Response) *StatusError {
	err := &StatusError{Method: request.Method, Path: request.Path, Code: response.StatusCode}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes)) // a partial text is tried, too
	var status metav1.Status
	if json.Unmarshal(text, &status) == nil {
		err.Message = status.Message
	}
	return err
}

func (err *StatusError) Error() string {
	if err.Message != "" {
		return fmt.Sprintf("%s (%d)", err.Message, err.Code)
	}
	return fmt.Sprintf("%s %s: status %d", err.Method, err.Path, err.Code)
}

// Temporary reports whether the request may succeed if it is retried later.
func (err *StatusError) Temporary() bool {
	return err.Code == http.StatusTooManyRequests || err.Code == http.StatusServiceUnavailable
}

// Conflict reports whether the object to be created exists already, or the object to be changed has changed since it was read.
func (err *StatusError) Conflict() bool { return err.Code == http.StatusConflict }

// WatchError is an error that the server reports inside a watch.
type WatchError struct {
	Code    int // as an HTTP status
	Message string
}

func (err *WatchError) Error() string { return err.Message }
