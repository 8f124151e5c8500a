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
	frameLengthSize = 4         // bytes, big endian
	protobufMagic   = "k8s\x00" // stands before every object in the binary encoding
)

// Numbers of the fields that are read without decoding an object. They are those of generated.proto of apimachinery and
// api.
const (
	watchEventType     protowire.Number = 1 // WatchEvent.type
	watchEventObject   protowire.Number = 2 // WatchEvent.object
	rawExtensionRaw    protowire.Number = 1 // RawExtension.raw
	unknownRaw         protowire.Number = 2 // Unknown.raw
	objectMetadata     protowire.Number = 1 // metadata of any object
	metadataResVersion protowire.Number = 6 // ObjectMeta.resourceVersion
)

var (
	errMalformedFrame = errors.New("frame of a watch cannot be read")
	errFrameTooLarge  = errors.New("frame over the limit")
)

// decodeFrames splits the stream into frames: a length and an event.
func (r *Reflector) decodeFrames(b []byte) {
	call := r.call
	continued := len(r.partial) > 0
	if continued {
		r.partial = append(r.partial, b...)
		b = r.partial
	}
	complete := 0
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
		complete++
		r.handleFrame(b[frameLengthSize:end])
		b = b[end:]
		if !r.isCurrent(call) || r.watchErr != nil {
			return
		}
	}
	if continued && complete == 0 {
		return // a large frame is not copied for each piece of it
	}
	// What is left is kept in memory of its own: b is the connection's, or the end of a larger buffer.
	r.partial = append([]byte(nil), b...)
}

// handleFrame handles one event. Of its object only the resource version is read; the rest is decoded by the callback.
func (r *Reflector) handleFrame(b []byte) {
	kind := string(lastBytesField(b, watchEventType))
	object := lastBytesField(lastBytesField(b, watchEventObject), rawExtensionRaw)
	if len(object) < len(protobufMagic) || string(object[:len(protobufMagic)]) != protobufMagic {
		r.abortWatch(errMalformedFrame)
		return
	}
	raw := lastBytesField(object[len(protobufMagic):], unknownRaw)
	if kind == eventError {
		var status metav1.Status
		err := status.Unmarshal(raw)
		r.handleErrorEvent(&status, err)
		return
	}
	resourceVersion := string(lastBytesField(lastBytesField(raw, objectMetadata), metadataResVersion))
	if resourceVersion == "" {
		r.abortWatch(fmt.Errorf("%w: %s without resourceVersion", errMalformedFrame, kind))
		return
	}
	r.handleEvent(kind, resourceVersion, Object{Raw: raw, Protobuf: true})
}

// lastBytesField returns the last field of a number that holds bytes in a message. A malformed message has none.
func lastBytesField(message []byte, number protowire.Number) (value []byte) {
	for len(message) > 0 {
		fieldNumber, kind, n := protowire.ConsumeTag(message)
		if n < 0 {
			return nil
		}
		message = message[n:]
		if kind == protowire.BytesType && fieldNumber == number {
			value, n = protowire.ConsumeBytes(message)
		} else {
			n = protowire.ConsumeFieldValue(fieldNumber, kind, message)
		}
		if n < 0 {
			return nil
		}
		message = message[n:]
	}
	return value
}
