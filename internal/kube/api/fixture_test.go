package api

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/config"
	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/netio/http1"
	"heathshed/placer"
)

const (
	jobsPath = "/apis/batch/v1/namespaces/default/jobs"
	podsPath = "/api/v1/namespaces/default/pods"
	nodePath = "/api/v1/nodes/node-1"

	jsonPatchType      = string(types.JSONPatchType)
	mergePatchType     = string(types.MergePatchType)
	strategicPatchType = string(types.StrategicMergePatchType)
	// acceptTable is the Accept header of a client that prefers a Table to plain JSON.
	acceptTable = "application/json;as=Table;v=v1;g=meta.k8s.io,application/json"
)

// newPod returns a Pod with the given name in the namespace "default".
func newPod(name string) *corev1.Pod {
	pod := &corev1.Pod{}
	pod.Namespace = "default"
	pod.Name = name
	return pod
}

// newPodServer returns a read-only server with the given number of Pods, which are named pa, pb and so on.
// The label "odd" alternates between the values "0" and "1" from Pod to Pod. The store's history keeps 50
// changes.
func newPodServer(podCount int) *Server {
	objects := store.New(100, 50)
	for i := range podCount {
		pod := newPod("p" + string(rune('a'+i)))
		pod.Labels = map[string]string{"odd": string(rune('0' + i%2))}
		pod.Status.Phase = corev1.PodPending
		objects.Put(store.Pods, pod)
	}
	return &Server{Store: objects}
}

// newServer returns a server with a new engine. The engine has received a list that contains the given
// nodes.
func newServer(tb testing.TB, engineConfig engine.Config, now placer.Seconds, nodes ...*corev1.Node) *Server {
	tb.Helper()
	jobEngine, err := engine.New(engineConfig)
	if err != nil {
		tb.Fatal(err)
	}
	jobEngine.NodesListed(now, engine.FullList, nodes, nil)
	return &Server{Store: jobEngine.Store(), Engine: jobEngine}
}

// newEngineServer returns a server whose engine has the default settings and one node.
func newEngineServer(tb testing.TB) *Server {
	tb.Helper()
	node := &corev1.Node{}
	node.Name = "node-1"
	node.Labels = map[string]string{wellknown.NodeType: "standard", wellknown.Rack: "r", wellknown.Zone: "z"}
	settings := config.Default()
	return newServer(tb, settings.EngineConfig(1, 1000), 1000, node)
}

// newRequest returns an HTTP request. The header arguments are the names and values of header fields: each
// name is followed by its value.
func newRequest(method, target, body string, header ...string) *http1.Request {
	head := &http1.Head{Method: method, Target: target, MinorVersion: 1}
	for i := 0; i+1 < len(header); i += 2 {
		head.Header = append(head.Header, http1.Field{Name: header[i], Value: header[i+1]})
	}
	return &http1.Request{Head: head, Body: []byte(body), Peer: "127.0.0.1:1"}
}

// getWithAccept returns the response of the server to a GET request with the given Accept header.
func (s *Server) getWithAccept(target, accept string) http1.Response {
	return s.Serve(1000, newRequest("GET", target, "", "Accept", accept))
}

// send returns the response of the server to a request with the given content type and body.
func (s *Server) send(method, target, contentType, body string) http1.Response {
	return s.Serve(1000, newRequest(method, target, body, "Content-Type", contentType))
}

// protobufObject wraps an encoded object in the envelope of the Kubernetes protobuf encoding.
func protobufObject(apiVersion, kind string, encodedObject []byte) string {
	typeMeta := protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), apiVersion)
	typeMeta = protowire.AppendString(protowire.AppendTag(typeMeta, 2, protowire.BytesType), kind)
	envelope := protowire.AppendBytes(protowire.AppendTag([]byte("k8s\x00"), 1, protowire.BytesType), typeMeta)
	return string(protowire.AppendBytes(protowire.AppendTag(envelope, 2, protowire.BytesType), encodedObject))
}

// jobWithCPU returns a Job as JSON. The container of the Job requests the given CPU quantity. The argument
// quantity must be a JSON string (with its quotation marks) or a JSON number.
func jobWithCPU(quantity string) string {
	return `{"metadata":{"name":"j"},"spec":{"template":{"spec":{"restartPolicy":"Never","containers":[{"name":"a","image":"b","resources":` +
		`{"requests":{"cpu":` + quantity + `}}}]}}}}`
}

// copyPatch returns a JSON patch that copies the metadata of an object into the object's own annotations
// repeatedly. Each copy contains all previous copies, so the size of the object doubles with every operation.
func copyPatch(copies int) string {
	operations := []string{`{"op":"add","path":"/metadata/annotations","value":{"a":"b"}}`}
	for i := range copies {
		operations = append(operations, fmt.Sprintf(`{"op":"copy","from":"/metadata","path":"/metadata/annotations/x%d"}`, i))
	}
	return "[" + strings.Join(operations, ",") + "]"
}

// checkAllocations fails the test if the function serve allocates more memory than allowed for an input of
// inputBytes bytes. The input is a request body or a pair of selectors. The limit grows with the size of
// the input up to a fixed maximum. The measurement includes all allocations that the process makes while
// serve runs.
func checkAllocations(tb testing.TB, inputBytes int, serve func()) {
	tb.Helper()
	var statsBefore, statsAfter runtime.MemStats
	runtime.ReadMemStats(&statsBefore)
	serve()
	runtime.ReadMemStats(&statsAfter)
	limit := min(16<<20+2048*uint64(inputBytes), 96<<20)
	if allocatedBytes := statsAfter.TotalAlloc - statsBefore.TotalAlloc; allocatedBytes > limit {
		tb.Errorf("serving an input of %d bytes allocated %d bytes, want at most %d bytes", inputBytes, allocatedBytes, limit)
	}
}
