package apiclient

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
)

// StatusError reports a response whose HTTP status is not 2xx.
type StatusError struct {
	Method, Path string // method and path of the request
	Code         int    // HTTP status code of the response
	Message      string // message of the Status object in the response; "" if there is none
}

func newStatusError(request *Request, response *http.Response) *StatusError {
	err := &StatusError{Method: request.Method, Path: request.Path, Code: response.StatusCode}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes)) // a truncated body is decoded, too
	var status metav1.Status
	if json.Unmarshal(body, &status) == nil {
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

// Temporary reports whether the same request may succeed later: the status is 429 (Too Many Requests) or
// 503 (Service Unavailable).
func (err *StatusError) Temporary() bool {
	return err.Code == http.StatusTooManyRequests || err.Code == http.StatusServiceUnavailable
}

// Conflict reports whether the status is 409 (Conflict): the object to be created already exists, or the
// object to be updated has changed since it was read.
func (err *StatusError) Conflict() bool { return err.Code == http.StatusConflict }

// WatchError is an error that the server reports by an ERROR event of a watch.
type WatchError struct {
	Code    int // HTTP status code of the error
	Message string
}

func (err *WatchError) Error() string { return err.Message }
