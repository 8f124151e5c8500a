package api

import (
	"fmt"
	"testing"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/store"
)

// benchmarkStore returns a store with running Pods. The first request of a benchmark caches the encoding of
// each Pod that the request reads. The other requests of the benchmark use these cached encodings, as
// requests to a server with open watches do.
func benchmarkStore(podCount int) *store.Store {
	objects := store.New(100, 5000)
	for i := range podCount {
		pod := newPod(fmt.Sprintf("pod-%04d", i))
		pod.Labels = map[string]string{"team": "a"}
		pod.Status.Phase = corev1.PodRunning
		objects.Put(store.Pods, pod)
	}
	return objects
}

// BenchmarkGet measures a GET request for a single Pod.
func BenchmarkGet(b *testing.B) {
	server := &Server{Store: benchmarkStore(100)}
	b.ReportAllocs()
	for b.Loop() {
		server.getWithAccept("/api/v1/namespaces/default/pods/pod-0042", jsonType)
	}
}

// BenchmarkList measures a list request with a label selector that matches 100 Pods.
func BenchmarkList(b *testing.B) {
	server := &Server{Store: benchmarkStore(100)}
	b.ReportAllocs()
	for b.Loop() {
		server.getWithAccept("/api/v1/namespaces/default/pods?labelSelector=team%3Da", jsonType)
	}
}

// BenchmarkWatchPull measures a watch request together with one call of Pull on the stream of the watch.
// This call returns the initial events for 1000 Pods.
func BenchmarkWatchPull(b *testing.B) {
	for _, accept := range []string{jsonType, protobufType} {
		b.Run(accept, func(b *testing.B) {
			server := &Server{Store: benchmarkStore(1000)}
			var buffer []byte
			b.ReportAllocs()
			for b.Loop() {
				stream := server.getWithAccept("/api/v1/pods?watch=1", accept).Stream
				buffer, _ = stream.Pull(buffer[:0], 1<<20)
				stream.Close()
			}
		})
	}
}
