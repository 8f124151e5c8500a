//go:build linux

package reflector

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/control/decodelimit"
	"heathshed/internal/netio/http1"
)

const maxEventSize = 8 << 20 // maximum size of a watch event, in bytes

// Types of watch events.
const (
	eventAdded    = "ADDED"
	eventModified = "MODIFIED"
	eventDeleted  = "DELETED"
	eventBookmark = "BOOKMARK"
	eventError    = "ERROR"
)

var errEventTooLarge = errors.New("watch event exceeds the size limit")

// Object is an API object in its encoded form. It is valid until the callback that receives it returns.
type Object struct {
	Raw      []byte
	Protobuf bool // whether Raw is Protocol Buffers rather than JSON; only events of a watch can be
}

// Decode decodes the object into the given Kubernetes type. It returns an error if the object exceeds the
// limits of package decodelimit.
func (o Object) Decode(into interface{ Unmarshal([]byte) error }) error {
	if o.Protobuf {
		if err := decodelimit.CheckProto(o.Raw, decodelimit.ObjectLimits()); err != nil {
			return err
		}
		return into.Unmarshal(o.Raw)
	}
	if err := decodelimit.CheckJSON(o.Raw, decodelimit.ObjectLimits()); err != nil {
		return err
	}
	return json.Unmarshal(o.Raw, into)
}

// decodeStream splits received bytes of a watch into events and handles them. An event is a line of JSON or a
// Protocol Buffers frame, depending on the content type of the response.
func (r *Reflector) decodeStream(b []byte) {
	if r.protobuf {
		r.decodeFrames(b)
		return
	}
	call := r.call
	for len(b) > 0 && r.watchErr == nil {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			r.incompleteEvent = append(r.incompleteEvent, b...)
			if len(r.incompleteEvent) > maxEventSize {
				r.abortWatch(errEventTooLarge)
			}
			return
		}
		line := b[:i]
		if len(r.incompleteEvent) > 0 {
			line = append(r.incompleteEvent, line...)
			r.incompleteEvent = nil
		}
		b = b[i+1:]
		r.handleJSONEvent(line)
		if !r.isCurrentCall(call) {
			return
		}
	}
}

// handleJSONEvent decodes and handles an event that was received as a line of JSON.
func (r *Reflector) handleJSONEvent(line []byte) {
	var event struct {
		Type   string          `json:"type"`
		Object json.RawMessage `json:"object"`
	}
	if err := json.Unmarshal(line, &event); err != nil {
		r.abortWatch(fmt.Errorf("decode event: %w", err))
		return
	}
	if event.Type == eventError {
		var status metav1.Status
		err := json.Unmarshal(event.Object, &status)
		r.handleErrorEvent(&status, err)
		return
	}
	var object struct {
		Metadata struct {
			ResourceVersion string `json:"resourceVersion"`
		} `json:"metadata"`
	}
	if err := json.Unmarshal(event.Object, &object); err != nil {
		r.abortWatch(fmt.Errorf("decode event object: %w", err))
		return
	}
	r.handleEvent(event.Type, object.Metadata.ResourceVersion, Object{Raw: event.Object})
}

// handleErrorEvent aborts the watch after an ERROR event. If the Status of the event says that the resource
// version has expired, the reflector lists again. A non-nil err means that the Status could not be decoded.
func (r *Reflector) handleErrorEvent(status *metav1.Status, err error) {
	if err == nil && (status.Code == http1.StatusGone || status.Reason == metav1.StatusReasonExpired) {
		r.resourceVersion = ""
	}
	r.abortWatch(fmt.Errorf("server sent an ERROR event: %s", status.Message))
}

// handleEvent handles an event other than ERROR.
func (r *Reflector) handleEvent(eventType, resourceVersion string, object Object) {
	switch eventType {
	case eventAdded, eventModified, eventDeleted:
		r.resourceVersion = resourceVersion
		r.OnEvent(eventType, object)
	case eventBookmark:
		r.resourceVersion = resourceVersion
	default:
		r.abortWatch(fmt.Errorf("unknown event type %q", eventType))
	}
}
