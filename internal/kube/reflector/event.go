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

const maxEventSize = 8 << 20 // bytes of one event of a watch

// Types of the events of a watch.
const (
	eventAdded    = "ADDED"
	eventModified = "MODIFIED"
	eventDeleted  = "DELETED"
	eventBookmark = "BOOKMARK"
	eventError    = "ERROR"
)

var errEventTooLarge = errors.New("event over the limit")

// Object is an object as it was received: JSON or, from a watch, the binary encoding. It is valid until the callback
// returns.
type Object struct {
	Raw      []byte
	Protobuf bool
}

// Decode decodes the object, within the limits of package decodelimit.
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

// decodeStream splits what a watch brings into events: lines of JSON, or frames.
func (r *Reflector) decodeStream(b []byte) {
	if r.protobuf {
		r.decodeFrames(b)
		return
	}
	call := r.call
	for len(b) > 0 && r.watchErr == nil {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			r.partial = append(r.partial, b...)
			if len(r.partial) > maxEventSize {
				r.abortWatch(errEventTooLarge)
			}
			return
		}
		line := b[:i]
		if len(r.partial) > 0 {
			line = append(r.partial, line...)
			r.partial = nil
		}
		b = b[i+1:]
		r.handleJSONEvent(line)
		if !r.isCurrent(call) {
			return
		}
	}
}

func (r *Reflector) handleJSONEvent(line []byte) {
	var event struct {
		Type   string          `json:"type"`
		Object json.RawMessage `json:"object"`
	}
	if err := json.Unmarshal(line, &event); err != nil {
		r.abortWatch(fmt.Errorf("event: %w", err))
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
		r.abortWatch(fmt.Errorf("event object: %w", err))
		return
	}
	r.handleEvent(event.Type, object.Metadata.ResourceVersion, Object{Raw: event.Object})
}

// handleErrorEvent handles the event that ends a watch; err says that its Status could not be decoded.
func (r *Reflector) handleErrorEvent(status *metav1.Status, err error) {
	if err == nil && (status.Code == http1.StatusGone || status.Reason == metav1.StatusReasonExpired) {
		r.resourceVersion = ""
	}
	r.abortWatch(fmt.Errorf("error event: %s", status.Message))
}

// handleEvent handles any other event.
func (r *Reflector) handleEvent(kind, resourceVersion string, object Object) {
	switch kind {
	case eventAdded, eventModified, eventDeleted:
		r.resourceVersion = resourceVersion
		r.OnEvent(kind, object)
	case eventBookmark:
		r.resourceVersion = resourceVersion
	default:
		r.abortWatch(fmt.Errorf("event type %q is not known", kind))
	}
}
