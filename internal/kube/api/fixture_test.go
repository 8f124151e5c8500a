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
	// tableTypes is what a client accepts that prefers rows to print.
	tableTypes = "application/json;as=Table;v=v1;g=meta.k8s.io,application/json"
)

// newPod returns a Pod in the namespace default.
func newPod(name string) *corev1.Pod {
	pod := &corev1.Pod{}
	pod.Namespace = "default"
	pod.Name = name
	return pod
}

// newPodServer returns a read-only API over some Pods, whose names are pa, pb and so on.
func newPodServer(pods int) *Server {
	objects := store.New(100, 50)
	for i := range pods {
		pod := newPod("p" + string(rune('a'+i)))
		pod.Labels = map[string]string{"odd": string(rune('0' + i%2))}
		pod.Status.Phase = corev1.PodPending
		objects.Put(store.Pods, pod)
	}
	return &Server{Store: objects}
}

// newServer returns an API over an engine whose inventory lists some nodes.
func newServer(tb testing.TB, cfg engine.Config, now placer.Seconds, nodes ...*corev1.Node) *Server {
	tb.Helper()
	core, err := engine.New(cfg)
	if err != nil {
		tb.Fatal(err)
	}
	core.NodesListed(now, engine.FullList, nodes, nil)
	return &Server{Store: core.Store(), Engine: core}
}

// newEngineServer returns an API over an engine with the default settings that knows one node.
func newEngineServer(tb testing.TB) *Server {
	tb.Helper()
	node := &corev1.Node{}
	node.Name = "node-1"
	node.Labels = map[string]string{wellknown.Kind: "standard", wellknown.Rack: "r", wellknown.Zone: "z"}
	settings := config.Default()
	return newServer(tb, settings.Engine(1, 1000), 1000, node)
}

// newRequest returns a request; header holds names and values in turn.
func newRequest(method, target, body string, header ...string) *http1.Request {
	head := &http1.Head{Method: method, Target: target, Minor: 1}
	for i := 0; i+1 < len(header); i += 2 {
		head.Header = append(head.Header, http1.Field{Name: header[i], Value: header[i+1]})
	}
	return &http1.Request{Head: head, Body: []byte(body), Peer: "127.0.0.1:1"}
}

// getAs sends a GET with an Accept header field.
func (s *Server) getAs(target, accept string) http1.Response {
	return s.Serve(1000, newRequest("GET", target, "", "Accept", accept))
}

func (s *Server) send(method, target, contentType, body string) http1.Response {
	return s.Serve(1000, newRequest(method, target, body, "Content-Type", contentType))
}

// binaryObject returns an encoded object in the envelope of the binary encoding.
func binaryObject(apiVersion, kind string, encoded []byte) string {
	typeMeta := protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), apiVersion)
	typeMeta = protowire.AppendString(protowire.AppendTag(typeMeta, 2, protowire.BytesType), kind)
	envelope := protowire.AppendBytes(protowire.AppendTag([]byte("k8s\x00"), 1, protowire.BytesType), typeMeta)
	return string(protowire.AppendBytes(protowire.AppendTag(envelope, 2, protowire.BytesType), encoded))
}

// jobWithCPU is a Job whose container requests a quantity of cores, given as JSON.
func jobWithCPU(quantity string) string {
	return `{"metadata":{"name":"j"},"spec":{"template":{"spec":{"restartPolicy":"Never","containers":[{"name":"a","image":"b","resources":` +
		`{"requests":{"cpu":` + quantity + `}}}]}}}}`
}

// copyOperations is a JSON patch that copies an object's metadata into itself, again and again.
func copyOperations(copies int) string {
	operations := []string{`{"op":"add","path":"/metadata/annotations","value":{"a":"b"}}`}
	for i := range copies {
		operations = append(operations, fmt.Sprintf(`{"op":"copy","from":"/metadata","path":"/metadata/annotations/x%d"}`, i))
	}
	return "[" + strings.Join(operations, ",") + "]"
}

// checkAllocations fails the test if serving a body of so many bytes allocates more than a number for each
// byte, or more than the bound for any body. It counts what the process allocates meanwhile.
func checkAllocations(tb testing.TB, body int, serve func()) {
	tb.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	serve()
	runtime.ReadMemStats(&after)
	limit := min(16<<20+2048*uint64(body), 96<<20)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > limit {
		tb.Errorf("%d bytes of body allocate %d bytes, want at most %d", body, allocated, limit)
	}
}
