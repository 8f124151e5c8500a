//go:build linux

package reflector

import (
	"encoding/binary"
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
)

const (
	frameLengthSize = 4         // size in bytes of the big-endian frame length that precedes each event
	protobufMagic   = "k8s\x00" // prefix of every Protocol Buffers object of the Kubernetes API
)

// Numbers of the message fields that are read without decoding the whole object. The generated.proto files of
// k8s.io/apimachinery and k8s.io/api define them.
const (
	watchEventType            protowire.Number = 1 // WatchEvent.type
	watchEventObject          protowire.Number = 2 // WatchEvent.object
	rawExtensionRaw           protowire.Number = 1 // RawExtension.raw
	unknownRaw                protowire.Number = 2 // Unknown.raw
	objectMetadata            protowire.Number = 1 // metadata of any object type
	objectMetaResourceVersion protowire.Number = 6 // ObjectMeta.resourceVersion
)

var (
	errMalformedFrame = errors.New("malformed watch frame")
	errFrameTooLarge  = errors.New("watch frame exceeds the size limit")
)

// decodeFrames splits received bytes of a watch into frames and handles each event. A frame is a length
// followed by an event. Bytes of an incomplete frame are kept until the rest is received.
func (r *Reflector) decodeFrames(b []byte) {
	call := r.call
	continued := len(r.incompleteEvent) > 0
	if continued {
		r.incompleteEvent = append(r.incompleteEvent, b...)
		b = r.incompleteEvent
	}
	completeFrames := 0
	for len(b) >= frameLengthSize {
		size := int(binary.BigEndian.Uint32(b))
		if size > maxEventSize {
			r.abortWatch(errFrameTooLarge)
			return
		}
		end := frameLengthSize + size
		if len(b) < end {
			break
		}
		completeFrames++
		r.handleFrame(b[frameLengthSize:end])
		b = b[end:]
		if !r.isCurrentCall(call) || r.watchErr != nil {
			return
		}
	}
	if continued && completeFrames == 0 {
		return // incompleteEvent already has these bytes; copying a large frame after each read would be slow
	}
	// The remaining bytes are copied, because b belongs to the connection or to a larger buffer.
	r.incompleteEvent = append([]byte(nil), b...)
}

// handleFrame handles the event in a frame. It reads only the resource version of the object. The callback
// decodes the object.
func (r *Reflector) handleFrame(b []byte) {
	eventType := string(lastBytesField(b, watchEventType))
	object := lastBytesField(lastBytesField(b, watchEventObject), rawExtensionRaw)
	if len(object) < len(protobufMagic) || string(object[:len(protobufMagic)]) != protobufMagic {
		r.abortWatch(errMalformedFrame)
		return
	}
	raw := lastBytesField(object[len(protobufMagic):], unknownRaw)
	if eventType == eventError {
		var status metav1.Status
		err := status.Unmarshal(raw)
		r.handleErrorEvent(&status, err)
		return
	}
	resourceVersion := string(lastBytesField(lastBytesField(raw, objectMetadata), objectMetaResourceVersion))
	if resourceVersion == "" {
		r.abortWatch(fmt.Errorf("%w: %s event has no resourceVersion", errMalformedFrame, eventType))
		return
	}
	r.handleEvent(eventType, resourceVersion, Object{Raw: raw, Protobuf: true})
}

// lastBytesField returns the value of the last length-delimited field with the given number in a Protocol
// Buffers message. It returns nil if the message is malformed or has no such field.
func lastBytesField(message []byte, number protowire.Number) (value []byte) {
	for len(message) > 0 {
		fieldNumber, wireType, n := protowire.ConsumeTag(message)
		if n < 0 {
			return nil
		}
		message = message[n:]
		if wireType == protowire.BytesType && fieldNumber == number {
			value, n = protowire.ConsumeBytes(message)
		} else {
			n = protowire.ConsumeFieldValue(fieldNumber, wireType, message)
		}
		if n < 0 {
			return nil
		}
		message = message[n:]
	}
	return value
}
