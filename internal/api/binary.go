package api

import (
	"encoding/binary"
	"mime"
	"strings"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/runtime"

	"google.golang.org/protobuf/encoding/protowire"

	"heathshed/internal/store"
)

// The binary encoding of the Kubernetes API: an object is "k8s\x00" and a runtime.Unknown that holds it; a watch is frames of a length
// in four bytes, high byte first, and a metav1.WatchEvent.
// See https://kubernetes.io/docs/reference/using-api/api-concepts/#protobuf-encoding.
const (
	binaryType  = "application/vnd.kubernetes.protobuf"
	binaryWatch = binaryType + ";stream=watch"
)

// wantsBinary says whether a client likes the binary encoding better than JSON: what it names first counts.
func wantsBinary(accept string) bool {
	for _, part := range strings.Split(accept, ",") {
		switch t, _, _ := mime.ParseMediaType(part); t {
		case binaryType:
			return true
		case jsonType, "*/*", "application/*":
			return false
		}
	}
	return false
}

// encodeBinary writes an object with its kind; what cannot be written comes without content.
func encodeBinary(o runtime.Object) []byte {
	version, kind := "v1", "Status"
	switch o.(type) {
	case *batchv1.Job:
		version, kind = "batch/v1", "Job"
	case *corev1.Pod:
		kind = "Pod"
	case *corev1.Node:
		kind = "Node"
	case *corev1.Namespace:
		kind = "Namespace"
	}
	var raw []byte
	if m, ok := o.(interface{ Marshal() ([]byte, error) }); ok {
		raw, _ = m.Marshal()
	}
	b := make([]byte, 0, len(raw)+len(version)+len(kind)+24)
	b = append(b, protoMagic...)
	b = protowire.AppendTag(b, 1, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(4+len(version)+len(kind)))
	b = protowire.AppendTag(b, 1, protowire.BytesType)
	b = protowire.AppendString(b, version)
	b = protowire.AppendTag(b, 2, protowire.BytesType)
	b = protowire.AppendString(b, kind)
	b = protowire.AppendTag(b, 2, protowire.BytesType)
	return protowire.AppendBytes(b, raw)
}

// encodedBinary is a change's object in the binary encoding, made once for all who read it.
func encodedBinary(c *store.Change) []byte {
	if c.Binary == nil {
		c.Binary = encodeBinary(c.Object)
	}
	return c.Binary
}

// appendBinaryEvent appends one frame.
func appendBinaryEvent(b []byte, kind string, object []byte) []byte {
	inner := 1 + protowire.SizeBytes(len(object))
	size := 1 + protowire.SizeBytes(len(kind)) + 1 + protowire.SizeBytes(inner)
	b = binary.BigEndian.AppendUint32(b, uint32(size))
	b = protowire.AppendTag(b, 1, protowire.BytesType)
	b = protowire.AppendString(b, kind)
	b = protowire.AppendTag(b, 2, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(inner))
	b = protowire.AppendTag(b, 1, protowire.BytesType)
	return protowire.AppendBytes(b, object)
}
