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

// The protobuf encoding of the Kubernetes API: an object is "k8s\x00" followed by a runtime.Unknown that contains it. A watch is a sequence of
// frames: a length of four bytes, high byte first, and a metav1.WatchEvent.
// See https://kubernetes.io/docs/reference/using-api/api-concepts/#protobuf-encoding.
const (
	binaryType  = "application/vnd.kubernetes.protobuf"
	binaryWatch = binaryType + ";stream=watch"
)

// protoMagic is what an object in the protobuf encoding begins with.
var protoMagic = []byte("k8s\x00")

// wantsBinary reports whether a client prefers the protobuf encoding to JSON: whether it names that first.
func wantsBinary(accept string) bool {
	for part := range strings.SplitSeq(accept, ",") {
		mediaType, _, _ := mime.ParseMediaType(part) // without its invalid parameters; "" if it is invalid itself
		switch mediaType {
		case binaryType:
			return true
		case jsonType, "*/*", "application/*":
			return false
		}
	}
	return false
}

// encodeBinary returns an object in the protobuf encoding, with its kind and API version. If it cannot be encoded, it has no content.
func encodeBinary(o runtime.Object) []byte {
	version, kind := typeOf(o)
	var content []byte
	if message, ok := o.(interface{ Marshal() ([]byte, error) }); ok {
		if encoded, err := message.Marshal(); err == nil {
			content = encoded
		}
	}
	const tagsAndLengths = 24 // upper bound, with protoMagic
	b := make([]byte, 0, len(content)+len(version)+len(kind)+tagsAndLengths)
	b = append(b, protoMagic...)
	b = protowire.AppendTag(b, 1, protowire.BytesType) // runtime.Unknown.TypeMeta
	b = protowire.AppendVarint(b, uint64(4+len(version)+len(kind)))
	b = protowire.AppendTag(b, 1, protowire.BytesType) // TypeMeta.APIVersion
	b = protowire.AppendString(b, version)
	b = protowire.AppendTag(b, 2, protowire.BytesType) // TypeMeta.Kind
	b = protowire.AppendString(b, kind)
	b = protowire.AppendTag(b, 2, protowire.BytesType) // runtime.Unknown.Raw
	return protowire.AppendBytes(b, content)
}

// encodedBinary returns the object of a change in the protobuf encoding. It is encoded once for all readers.
func encodedBinary(change *store.Change) []byte {
	if change.Binary == nil {
		change.Binary = encodeBinary(change.Object)
	}
	return change.Binary
}

// appendBinaryEvent appends one frame: an event with an encoded object.
func appendBinaryEvent(b []byte, event watch.EventType, object []byte) []byte {
	const tagSize = 1
	inner := tagSize + protowire.SizeBytes(len(object))
	size := tagSize + protowire.SizeBytes(len(event)) + tagSize + protowire.SizeBytes(inner)
	b = binary.BigEndian.AppendUint32(b, uint32(size))
	b = protowire.AppendTag(b, 1, protowire.BytesType) // WatchEvent.Type
	b = protowire.AppendString(b, string(event))
	b = protowire.AppendTag(b, 2, protowire.BytesType) // WatchEvent.Object
	b = protowire.AppendVarint(b, uint64(inner))
	b = protowire.AppendTag(b, 1, protowire.BytesType) // RawExtension.Raw
	return protowire.AppendBytes(b, object)
}
