package api

import (
	"fmt"
	"testing"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/store"
)

// benchmarkStore holds Pods whose encodings are cached already, as they are while watches are open.
func benchmarkStore(pods int) *store.Store {
	objects := store.New(100, 5000)
	for i := range pods {
		pod := newPod(fmt.Sprintf("pod-%04d", i))
		pod.Labels = map[string]string{"team": "a"}
		pod.Status.Phase = corev1.PodRunning
		objects.Put(store.Pods, pod)
	}
	return objects
}

// BenchmarkGet serves GET of one Pod.
func BenchmarkGet(b *testing.B) {
	server := &Server{Store: benchmarkStore(100)}
	b.ReportAllocs()
	for b.Loop() {
		server.getAs("/api/v1/namespaces/default/pods/pod-0042", jsonType)
	}
}

// BenchmarkList serves a list of 100 Pods with a label selector.
func BenchmarkList(b *testing.B) {
	server := &Server{Store: benchmarkStore(100)}
	b.ReportAllocs()
	for b.Loop() {
		server.getAs("/api/v1/namespaces/default/pods?labelSelector=team%3Da", jsonType)
	}
}

// BenchmarkWatchPull begins a watch and pulls the initial events of 1000 Pods.
func BenchmarkWatchPull(b *testing.B) {
	for _, accept := range []string{jsonType, protobufType} {
		b.Run(accept, func(b *testing.B) {
			server := &Server{Store: benchmarkStore(1000)}
			var buffer []byte
			b.ReportAllocs()
			for b.Loop() {
				stream := server.getAs("/api/v1/pods?watch=1", accept).Stream
				buffer, _ = stream.Pull(buffer[:0], 1<<20)
				stream.Close()
			}
		})
	}
}
