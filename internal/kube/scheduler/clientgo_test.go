//go:build linux

package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	policyv1 "k8s.io/api/policy/v1"
	apierrors "k8s.io/apimachinery/pkg/api/errors"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"
	"k8s.io/apimachinery/pkg/watch"
	"k8s.io/client-go/informers"
	"k8s.io/client-go/kubernetes"
	typedbatchv1 "k8s.io/client-go/kubernetes/typed/batch/v1"
	"k8s.io/client-go/rest"
	"k8s.io/client-go/tools/cache"

	"heathshed/internal/control/clock"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator/fault"
	"heathshed/internal/lab/scenario"
	"heathshed/internal/lab/simulation"
	"heathshed/placer"
)

// newClientset returns a client-go clientset for a cluster. accept lists the media types that the clientset
// accepts; "" selects its default.
func newClientset(t *testing.T, cluster *testCluster, accept string) *kubernetes.Clientset {
	t.Helper()
	restConfig := &rest.Config{Host: cluster.baseURL, QPS: 1000, Burst: 1000}
	if accept != "" {
		restConfig.ContentConfig = rest.ContentConfig{AcceptContentTypes: accept, ContentType: jsonType}
	}
	client, err := kubernetes.NewForConfig(restConfig)
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// TestClientset checks that an unmodified client-go clientset can use the API: discovery, create, dry run,
// conflict, paging, patch and delete.
func TestClientset(t *testing.T) {
	cluster := startCluster(t, nil)
	client := newClientset(t, cluster, "")
	jobs := client.BatchV1().Jobs("default")
	job := simulation.NewJob(&scenario.Job{Name: "a", Class: "batch", Service: "s", Tasks: 7, Cores: 0.5, Memory: 0.5, Lifetime: 0.3, BackoffLimit: 2})

	checkDiscovery(t, client)
	created := createWithDryRunAndConflict(t, jobs, job)
	watchUntilComplete(t, cluster, jobs, created)
	checkPagesOfDeletedJob(t, client, jobs)
	cluster.eventually("the Pods are deleted with their Job", func() bool { return len(cluster.pods("")) == 0 })

	patched := createSuspendedAndPatch(t, jobs, job)
	checkRejectedChanges(t, jobs, job, patched)
	cluster.eventually("the resumed Job completes", func() bool { return hasCondition(cluster.job(patched.Name), "Complete") })
	if err := jobs.DeleteCollection(t.Context(), metav1.DeleteOptions{}, metav1.ListOptions{}); err != nil {
		t.Fatal(err)
	}
	cluster.checkAudit()
}

// checkDiscovery checks that the server reports its version and two API groups with their resources.
func checkDiscovery(t *testing.T, client *kubernetes.Clientset) {
	t.Helper()
	if version, err := client.Discovery().ServerVersion(); err != nil || version.Major != "1" {
		t.Fatalf("server version %v, error %v, want major version 1", version, err)
	}
	_, lists, err := client.Discovery().ServerGroupsAndResources()
	if err != nil || len(lists) != 2 {
		t.Fatalf("discovery returned the resource lists %v, error %v, want 2 lists", lists, err)
	}
}

// createWithDryRunAndConflict checks that a dry run does not create a Job. It then creates the Job, and
// checks that a second creation fails.
func createWithDryRunAndConflict(t *testing.T, jobs typedbatchv1.JobInterface, job *batchv1.Job) *batchv1.Job {
	t.Helper()
	if _, err := jobs.Create(t.Context(), job, metav1.CreateOptions{DryRun: []string{metav1.DryRunAll}}); err != nil {
		t.Fatal(err)
	}
	if _, err := jobs.Get(t.Context(), job.Name, metav1.GetOptions{}); !apierrors.IsNotFound(err) {
		t.Fatalf("Get after a dry run returned the error %v, want NotFound", err)
	}
	created, err := jobs.Create(t.Context(), job, metav1.CreateOptions{FieldValidation: "Strict"})
	if err != nil || created.UID == "" {
		t.Fatal(err)
	}
	if _, err := jobs.Create(t.Context(), job, metav1.CreateOptions{}); !apierrors.IsAlreadyExists(err) {
		t.Fatalf("creating the Job again returned the error %v, want AlreadyExists", err)
	}
	return created
}

// watchUntilComplete watches a Job until it is complete, and checks that its Settled condition has the
// reason Placed.
func watchUntilComplete(t *testing.T, cluster *testCluster, jobs typedbatchv1.JobInterface, job *batchv1.Job) {
	t.Helper()
	options := metav1.ListOptions{ResourceVersion: job.ResourceVersion, FieldSelector: "metadata.name=" + job.Name}
	watcher, err := jobs.Watch(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	stopped := false
	for event := range watcher.ResultChan() {
		// After Stop, client-go reports either nothing or that it has closed the response body itself.
		closedByStop := stopped && strings.Contains(fmt.Sprint(event.Object), "read on closed response body")
		if event.Type == watch.Error && !closedByStop {
			t.Fatal(event.Object)
		}
		if hasCondition(cluster.job(job.Name), "Complete") {
			watcher.Stop()
			stopped = true
		}
	}
	if reason := settledReason(cluster.job(job.Name)); reason != wellknown.Placed {
		t.Fatalf("the Settled condition of the Job has the reason %q, want Placed", reason)
	}
}

// checkPagesOfDeletedJob checks that all pages of a list come from the same snapshot, even if the Pods are
// deleted after the first page.
func checkPagesOfDeletedJob(t *testing.T, client *kubernetes.Clientset, jobs typedbatchv1.JobInterface) {
	t.Helper()
	podNames := map[string]bool{}
	options := metav1.ListOptions{Limit: 3, LabelSelector: "job-name=a"}
	for {
		page, err := client.CoreV1().Pods("default").List(t.Context(), options)
		if err != nil {
			t.Fatal(err)
		}
		for _, pod := range page.Items {
			podNames[pod.Name] = true
		}
		if len(podNames) == 3 {
			if err := jobs.Delete(t.Context(), "a", metav1.DeleteOptions{}); err != nil {
				t.Fatal(err)
			}
		}
		if options.Continue = page.Continue; options.Continue == "" {
			break
		}
	}
	if len(podNames) != 7 {
		t.Fatalf("%d Pods over all pages, want 7", len(podNames))
	}
}

// createSuspendedAndPatch creates a suspended Job with a generated name, applies a patch of each type, and
// returns the Job. The last patch resumes the Job.
func createSuspendedAndPatch(t *testing.T, jobs typedbatchv1.JobInterface, job *batchv1.Job) *batchv1.Job {
	t.Helper()
	suspendedJob := job.DeepCopy()
	suspendedJob.Name, suspendedJob.GenerateName = "", "gen-"
	suspend := true
	suspendedJob.Spec.Suspend = &suspend
	patched, err := jobs.Create(t.Context(), suspendedJob, metav1.CreateOptions{})
	if err != nil || len(patched.Name) != 9 {
		t.Fatalf("creating a Job with a generated name: Job %v, error %v", patched, err)
	}
	for _, patch := range []struct {
		kind types.PatchType
		body string
	}{
		{types.MergePatchType, `{"metadata":{"labels":{"x":"1"}}}`},
		{types.StrategicMergePatchType, `{"metadata":{"annotations":{"y":"2"}}}`},
		{types.JSONPatchType, `[{"op":"replace","path":"/spec/suspend","value":false}]`},
	} {
		if patched, err = jobs.Patch(t.Context(), patched.Name, patch.kind, []byte(patch.body), metav1.PatchOptions{}); err != nil {
			t.Fatalf("patch of type %s: %v", patch.kind, err)
		}
	}
	if patched.Labels["x"] != "1" || patched.Annotations["y"] != "2" || *patched.Spec.Suspend {
		t.Fatalf("the Job lacks a change of a patch: %v", patched.ObjectMeta)
	}
	return patched
}

// checkRejectedChanges checks that the API rejects an update with an outdated resource version, and a Job
// with an unknown class.
func checkRejectedChanges(t *testing.T, jobs typedbatchv1.JobInterface, job, patched *batchv1.Job) {
	t.Helper()
	outdatedJob := patched.DeepCopy()
	outdatedJob.ResourceVersion = "1"
	if _, err := jobs.Update(t.Context(), outdatedJob, metav1.UpdateOptions{}); !apierrors.IsConflict(err) {
		t.Fatalf("update with an outdated resource version returned the error %v, want Conflict", err)
	}
	invalidJob := job.DeepCopy()
	invalidJob.Spec.Template.Labels[wellknown.Class] = "none"
	if _, err := jobs.Create(t.Context(), invalidJob, metav1.CreateOptions{}); !apierrors.IsInvalid(err) {
		t.Fatalf("creating a Job with an unknown class returned the error %v, want Invalid", err)
	}
}

// TestInformerAcrossDroppedConnections checks that a client-go informer sees each Pod settle exactly once
// although its connections are closed repeatedly. The informer receives JSON in one case and Protocol
// Buffers in the other.
func TestInformerAcrossDroppedConnections(t *testing.T) {
	for _, accept := range []string{"", "application/vnd.kubernetes.protobuf,application/json"} {
		t.Run(accept, func(t *testing.T) { testInformerAcrossDroppedConnections(t, accept) })
	}
}

func testInformerAcrossDroppedConnections(t *testing.T, accept string) {
	t.Helper()
	cluster := startCluster(t, nil)
	outcomes := followOutcomes(t, newClientset(t, cluster, accept))
	const tasksPerJob, jobCount = 20, 5
	for i := range jobCount {
		job := scenario.Job{Name: fmt.Sprint("r", i), Class: "web", Service: "s", Tasks: tasksPerJob, Cores: 0.1, Memory: 0.1, Lifetime: 30, BackoffLimit: 3}
		cluster.submitJob(job)
		// Close all connections, even in the middle of a response.
		cluster.runOnLoop(func() { cluster.scheduler.httpServer.CloseConns() })
	}
	for count := range tasksPerJob * jobCount {
		select {
		case outcome := <-outcomes:
			if outcome != wellknown.Placed {
				t.Fatalf("outcome %d is %s, want Placed", count, outcome)
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("the informer reported only %d outcomes", count)
		}
	}
	select {
	case outcome := <-outcomes:
		t.Fatalf("the informer reported another outcome after the last one: %s", outcome)
	case <-time.After(100 * time.Millisecond):
	}
	cluster.checkAudit()
}

// followOutcomes starts an informer for all Pods. It returns a channel that receives the settled reason of
// each Pod. If a settled reason changes later, the channel receives "changed" and the new reason.
func followOutcomes(t *testing.T, client *kubernetes.Clientset) <-chan string {
	t.Helper()
	factory := informers.NewSharedInformerFactoryWithOptions(client, 0, informers.WithNamespace("default"))
	informer := factory.Core().V1().Pods().Informer()
	outcomes := make(chan string, 1000)
	reportOutcome := func(old, now any) {
		previous := ""
		if old != nil {
			previous = wellknown.SettledReason(old.(*corev1.Pod))
		}
		reason := wellknown.SettledReason(now.(*corev1.Pod))
		if reason == previous {
			return
		}
		if previous != "" {
			outcomes <- "changed"
		}
		outcomes <- reason
	}
	handler := cache.ResourceEventHandlerFuncs{AddFunc: func(added any) { reportOutcome(nil, added) }, UpdateFunc: reportOutcome}
	if _, err := informer.AddEventHandler(handler); err != nil {
		t.Fatal(err)
	}
	factory.Start(t.Context().Done())
	if !cache.WaitForCacheSync(t.Context().Done(), informer.HasSynced) {
		t.Fatal("the informer did not synchronize its cache")
	}
	return outcomes
}

// TestDrainByPatch checks a drain as kubectl drain does it: a patch of the Node and an eviction of each
// Pod. The node must get no new tasks, and its running tasks must be migrated, even if attempts are in
// flight when the drain begins.
func TestDrainByPatch(t *testing.T) {
	cluster := startCluster(t, nil)
	client := newClientset(t, cluster, "")
	cluster.submitJob(longJob("a", "web", 12, 3))
	cluster.waitUntilRunning(12)
	cluster.injectFault(fault.Node{Stall: 0.4})
	jobInFlight := longJob("b", "batch", 12, 3)
	jobInFlight.Service = "t"
	cluster.submitJob(jobInFlight)
	node := cluster.running()[0].Spec.NodeName
	cordonPatch := []byte(`{"spec":{"unschedulable":true}}`)
	if _, err := client.CoreV1().Nodes().Patch(t.Context(), node, types.StrategicMergePatchType, cordonPatch, metav1.PatchOptions{}); err != nil {
		t.Fatal(err)
	}
	cordonedAt := clock.FromTime(time.Now()).UnixSeconds()
	cluster.waitUntilSettled("b")
	for _, pod := range cluster.pods("?fieldSelector=spec.nodeName=" + node + ",status.phase=Running") {
		eviction := &policyv1.Eviction{ObjectMeta: metav1.ObjectMeta{Name: pod.Name, Namespace: "default"}}
		if err := client.PolicyV1().Evictions("default").Evict(t.Context(), eviction); err != nil {
			t.Fatal(err)
		}
	}
	cluster.eventually("the drained node has no running Pods and all 24 tasks run elsewhere", func() bool {
		for _, pod := range cluster.pods("?fieldSelector=spec.nodeName=" + node) {
			if !wellknown.PodFinished(&pod) {
				return false
			}
		}
		return len(cluster.running()) == 24
	})
	for _, event := range cluster.recordedEvents() {
		late := event.At > cordonedAt+placer.Seconds(cluster.settings.Timing.DrainGrace)
		if event.Kind == audit.AttemptReceived && event.Node == node && late {
			t.Errorf("node %s received an attempt %.3f s after it was cordoned", node, event.At-cordonedAt)
		}
	}
	cluster.checkAudit()
}
