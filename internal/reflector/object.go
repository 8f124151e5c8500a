//go:build linux

package reflector

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/decodelimit"
)

const protobufMediaType = "application/vnd.kubernetes.protobuf"

// Object is an object as it came: JSON or, from a watch, the binary encoding. It is valid until the callback returns.
type Object struct {
	Raw      []byte
	Protobuf bool
}

// Decode reads the object, within the bounds of one.
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

var (
	errMalformedFrame = errors.New("frame of a watch cannot be read")
	errFrameTooLarge  = errors.New("frame over the limit")
)

// decodeFrames cuts the stream into frames: a length in four bytes, high byte first, and an event.
func (r *Reflector) decodeFrames(b []byte) {
	call, continued, complete := r.call, len(r.partial) > 0, 0
	if continued {
		r.partial = append(r.partial, b...)
		b = r.partial
	}
	for len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		if n > maxEventSize {
			r.abortWatch(errFrameTooLarge)
			return
		}
		if len(b) < 4+n {
			break
		}
		complete++
		r.handleFrame(b[4 : 4+n])
		if b = b[4+n:]; r.stopped || r.call != call || r.watchErr != nil {
			return
		}
	}
	if continued && complete == 0 {
		return // a large frame is not copied for each piece of it
	}
	// What is left is kept in memory of its own: b is the connection's, or the end of line.
	r.partial = append([]byte(nil), b...)
}

// lastBytesField finds the last field of a number that holds bytes in a message. A message that cannot be read has none.
func lastBytesField(b []byte, number protowire.Number) (v []byte) {
	for len(b) > 0 {
		num, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return nil
		}
		b = b[n:]
		if kind == protowire.BytesType && num == number {
			x, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return nil
			}
			v, b = x, b[n:]
			continue
		}
		if n = protowire.ConsumeFieldValue(num, kind, b); n < 0 {
			return nil
		}
		b = b[n:]
	}
	return v
}

// The numbers of the fields that are looked at without decoding an object: WatchEvent.type and .object.raw, Unknown.raw, an object's
// metadata and its resourceVersion. They are those of generated.proto of apimachinery and api.
const (
	eventType, eventObject, rawExtensionRaw = 1, 2, 1
	unknownRaw                              = 2
	objectMetadata, metadataVersion         = 1, 6
)

// handleFrame takes one event. Of its object only the revision is looked at; the rest is decoded by who wants it.
func (r *Reflector) handleFrame(b []byte) {
	kind := string(lastBytesField(b, eventType))
	o := lastBytesField(lastBytesField(b, eventObject), rawExtensionRaw)
	if len(o) < 4 || string(o[:4]) != "k8s\x00" {
		r.abortWatch(errMalformedFrame)
		return
	}
	raw := lastBytesField(o[4:], unknownRaw)
	if kind == "ERROR" {
		var status metav1.Status
		r.handleErrorEvent(&status, status.Unmarshal(raw))
		return
	}
	rev := string(lastBytesField(lastBytesField(raw, objectMetadata), metadataVersion))
	if rev == "" {
		r.abortWatch(fmt.Errorf("%w: %s without resourceVersion", errMalformedFrame, kind))
		return
	}
	r.handleEvent(kind, rev, Object{Raw: raw, Protobuf: true})
}
