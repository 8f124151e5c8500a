package api

import (
	"encoding/binary"
	"mime"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
	"k8s.io/apimachinery/pkg/runtime"
	"k8s.io/apimachinery/pkg/watch"

	"heathshed/internal/kube/store"
)

// These constants are the media types of the Kubernetes protobuf encoding. An encoded object consists of
// protobufMagic and a runtime.Unknown message that contains the object. A watch stream is a sequence of
// frames. Each frame consists of a metav1.WatchEvent message and, before it, the length of this message as a
// four-byte big-endian number.
// See https://kubernetes.io/docs/reference/using-api/api-concepts/#protobuf-encoding.
const (
	protobufType      = "application/vnd.kubernetes.protobuf"
	protobufWatchType = protobufType + ";stream=watch"
)

// protobufMagic is the prefix of every object in the protobuf encoding.
var protobufMagic = []byte("k8s\x00")

// prefersProtobuf reports whether an Accept header lists the protobuf encoding before JSON.
func prefersProtobuf(accept string) bool {
	for mediaRange := range strings.SplitSeq(accept, ",") {
		// The error is ignored: ParseMediaType returns the media type even if the parameters of the media
		// range are invalid, and it returns an empty media type after any other error.
		mediaType, _, _ := mime.ParseMediaType(mediaRange)
		switch mediaType {
		case protobufType:
			return true
		case jsonType, "*/*", "application/*":
			return false
		}
	}
	return false
}

// encodeProtobuf returns the protobuf encoding of an object. The encoding includes the kind and API version
// of the object. If the fields of the object cannot be encoded, the result contains only the kind and API
// version.
func encodeProtobuf(o runtime.Object) []byte {
	apiVersion, kind := apiVersionAndKind(o)
	var encodedObject []byte
	if message, ok := o.(interface{ Marshal() ([]byte, error) }); ok {
		if messageBytes, err := message.Marshal(); err == nil {
			encodedObject = messageBytes
		}
	}
	// maxEnvelopeBytes is an upper bound for the total size of protobufMagic and of all protobuf tags and
	// lengths around the object.
	const maxEnvelopeBytes = 24
	b := make([]byte, 0, len(encodedObject)+len(apiVersion)+len(kind)+maxEnvelopeBytes)
	b = append(b, protobufMagic...)
	b = protowire.AppendTag(b, 1, protowire.BytesType) // Field 1 of runtime.Unknown is TypeMeta.
	// Each of the fields APIVersion and Kind has a tag of 1 byte and a length prefix of 1 byte. Together,
	// these tags and length prefixes take 4 bytes.
	b = protowire.AppendVarint(b, uint64(4+len(apiVersion)+len(kind)))
	b = protowire.AppendTag(b, 1, protowire.BytesType) // Field 1 of TypeMeta is APIVersion.
	b = protowire.AppendString(b, apiVersion)
	b = protowire.AppendTag(b, 2, protowire.BytesType) // Field 2 of TypeMeta is Kind.
	b = protowire.AppendString(b, kind)
	b = protowire.AppendTag(b, 2, protowire.BytesType) // Field 2 of runtime.Unknown is Raw.
	return protowire.AppendBytes(b, encodedObject)
}

// cachedProtobuf returns the protobuf encoding of the object in a store.Change. The first call stores the
// encoding in the store.Change, and later calls reuse this encoding.
func cachedProtobuf(change *store.Change) []byte {
	if change.Binary == nil {
		change.Binary = encodeProtobuf(change.Object)
	}
	return change.Binary
}

// appendProtobufEvent appends a frame of a watch stream to b. The frame contains one event with the given
// type and the given encoded object.
func appendProtobufEvent(b []byte, eventType watch.EventType, encodedObject []byte) []byte {
	const tagSize = 1
	rawExtensionSize := tagSize + protowire.SizeBytes(len(encodedObject))
	eventSize := tagSize + protowire.SizeBytes(len(eventType)) + tagSize + protowire.SizeBytes(rawExtensionSize)
	b = binary.BigEndian.AppendUint32(b, uint32(eventSize))
	b = protowire.AppendTag(b, 1, protowire.BytesType) // Field 1 of WatchEvent is Type.
	b = protowire.AppendString(b, string(eventType))
	b = protowire.AppendTag(b, 2, protowire.BytesType) // Field 2 of WatchEvent is Object.
	b = protowire.AppendVarint(b, uint64(rawExtensionSize))
	b = protowire.AppendTag(b, 1, protowire.BytesType) // Field 1 of RawExtension is Raw.
	return protowire.AppendBytes(b, encodedObject)
}
