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

const binaryType = "application/vnd.kubernetes.protobuf"

// Object is an object as it came: JSON or, from a watch, the binary encoding. It is valid until the callback returns.
type Object struct {
	Raw    []byte
	Binary bool
}

// Decode reads the object, within the bounds of one.
func (o Object) Decode(into interface{ Unmarshal([]byte) error }) error {
	if o.Binary {
		if err := decodelimit.Proto(o.Raw, decodelimit.Object()); err != nil {
			return err
		}
		return into.Unmarshal(o.Raw)
	}
	if err := decodelimit.JSON(o.Raw, decodelimit.Object()); err != nil {
		return err
	}
	return json.Unmarshal(o.Raw, into)
}

var (
	errFrame  = errors.New("frame of a watch cannot be read")
	errFrames = errors.New("frame over the limit")
)

// frames cuts the stream into frames: a length in four bytes, high byte first, and an event.
func (r *Reflector) frames(b []byte) {
	call, kept, whole := r.call, len(r.line) > 0, 0
	if kept {
		r.line = append(r.line, b...)
		b = r.line
	}
	for len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		if n > maxLine {
			r.fail(errFrames)
			return
		}
		if len(b) < 4+n {
			break
		}
		whole++
		r.frame(b[4 : 4+n])
		if b = b[4+n:]; r.stopped || r.call != call || r.failed != nil {
			return
		}
	}
	if kept && whole == 0 {
		return // a large frame is not copied for each piece of it
	}
	// What is left is kept in memory of its own: b is the connection's, or the end of line.
	r.line = append([]byte(nil), b...)
}

// field finds the last field of a number that holds bytes in a message. A message that cannot be read has none.
func field(b []byte, number protowire.Number) (v []byte) {
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

// frame takes one event. Of its object only the revision is looked at; the rest is decoded by who wants it.
func (r *Reflector) frame(b []byte) {
	kind := string(field(b, eventType))
	o := field(field(b, eventObject), rawExtensionRaw)
	if len(o) < 4 || string(o[:4]) != "k8s\x00" {
		r.fail(errFrame)
		return
	}
	raw := field(o[4:], unknownRaw)
	if kind == "ERROR" {
		var st metav1.Status
		r.ended(&st, st.Unmarshal(raw))
		return
	}
	rev := string(field(field(raw, objectMetadata), metadataVersion))
	if rev == "" {
		r.fail(fmt.Errorf("%w: %s without resourceVersion", errFrame, kind))
		return
	}
	r.take(kind, rev, Object{Raw: raw, Binary: true})
}
