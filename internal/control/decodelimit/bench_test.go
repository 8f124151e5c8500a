package decodelimit

import (
	"encoding/json"
	"testing"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/resource"
)

// benchmarkJob returns a Job with four containers, which the benchmarks encode and check.
func benchmarkJob() *batchv1.Job {
	job := &batchv1.Job{}
	job.Name = "job-144e1135"
	job.Namespace = "default"
	job.Labels = map[string]string{"heathshed.io/class": "web", "team": "a"}
	requests := corev1.ResourceList{corev1.ResourceCPU: resource.MustParse("500m"), corev1.ResourceMemory: resource.MustParse("1Gi")}
	for range 4 {
		container := corev1.Container{Name: "main", Image: "registry/image:1.2.3", Args: []string{"--replicas", "3"}}
		container.Resources.Requests = requests
		job.Spec.Template.Spec.Containers = append(job.Spec.Template.Spec.Containers, container)
	}
	return job
}

func benchmarkCheck(b *testing.B, text []byte, check func(text []byte, limits Limits) error) {
	b.Helper()
	limits := ObjectLimits()
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if err := check(text, limits); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCheckJSON measures how long CheckJSON takes to check a Job that is encoded in JSON.
func BenchmarkCheckJSON(b *testing.B) {
	text, err := json.Marshal(benchmarkJob())
	if err != nil {
		b.Fatal(err)
	}
	benchmarkCheck(b, text, CheckJSON)
}

// BenchmarkCheckProto measures how long CheckProto takes to check a Job that is encoded in protobuf.
func BenchmarkCheckProto(b *testing.B) {
	message, err := benchmarkJob().Marshal()
	if err != nil {
		b.Fatal(err)
	}
	benchmarkCheck(b, message, CheckProto)
}
