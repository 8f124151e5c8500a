//go:build linux

package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	corev1 "k8s.io/api/core/v1"
	policyv1 "k8s.io/api/policy/v1"
	apierrors "k8s.io/apimachinery/pkg/api/errors"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"
	"k8s.io/apimachinery/pkg/watch"
	"k8s.io/client-go/informers"
	"k8s.io/client-go/kubernetes"
	"k8s.io/client-go/rest"
	"k8s.io/client-go/tools/cache"

	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/emulator/fault"
	"heathshed/internal/lab/scenario"
	"heathshed/internal/lab/simulation"
)

func clientset(t *testing.T, c *cluster) *kubernetes.Clientset {
	t.Helper()
	k, err := kubernetes.NewForConfig(&rest.Config{Host: c.baseURL, QPS: 1000, Burst: 1000})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// The public clientset, unchanged: discovery, create, dry run, conflict, paging, patch, delete.
func TestClientset(t *testing.T) {
	c := startCluster(t, nil)
	k, ctx := clientset(t, c), context.Background()
	if v, err := k.Discovery().ServerVersion(); err != nil || v.Major != "1" {
		t.Fatalf("version: %v, %v", v, err)
	}
	_, lists, err := k.Discovery().ServerGroupsAndResources()
	if err != nil || len(lists) != 2 {
		t.Fatalf("discovery: %v, %v", lists, err)
	}
	jobs := k.BatchV1().Jobs("default")
	j := simulation.NewJob(&scenario.Job{Name: "a", Class: "batch", Service: "s", Tasks: 7, Cores: 0.5, Memory: 0.5, Lifetime: 0.3, BackoffLimit: 2})
	if _, err := jobs.Create(ctx, j, metav1.CreateOptions{DryRun: []string{metav1.DryRunAll}}); err != nil {
		t.Fatal(err)
	}
	if _, err := jobs.Get(ctx, "a", metav1.GetOptions{}); !apierrors.IsNotFound(err) {
		t.Fatalf("after a dry run: %v", err)
	}
	made, err := jobs.Create(ctx, j, metav1.CreateOptions{FieldValidation: "Strict"})
	if err != nil || made.UID == "" {
		t.Fatal(err)
	}
	if _, err := jobs.Create(ctx, j, metav1.CreateOptions{}); !apierrors.IsAlreadyExists(err) {
		t.Fatalf("again: %v", err)
	}
	w, err := jobs.Watch(ctx, metav1.ListOptions{ResourceVersion: made.ResourceVersion, FieldSelector: "metadata.name=a"})
	if err != nil {
		t.Fatal(err)
	}
	for ev := range w.ResultChan() {
		if ev.Type == watch.Error {
			t.Fatal(ev.Object)
		}
		if hasCondition(c.job("a"), "Complete") {
			w.Stop()
		}
	}
	if r := settledReason(c.job("a")); r != wellknown.Placed {
		t.Fatalf("settled as %q", r)
	}
	// Pages come from one snapshot, though Pods are deleted between them.
	names := map[string]bool{}
	opt := metav1.ListOptions{Limit: 3, LabelSelector: "job-name=a"}
	for {
		l, err := k.CoreV1().Pods("default").List(ctx, opt)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range l.Items {
			names[p.Name] = true
		}
		if len(names) == 3 {
			if err := jobs.Delete(ctx, "a", metav1.DeleteOptions{}); err != nil {
				t.Fatal(err)
			}
		}
		if opt.Continue = l.Continue; opt.Continue == "" {
			break
		}
	}
	if len(names) != 7 {
		t.Fatalf("%d Pods over all pages, want 7", len(names))
	}
	c.eventually("the Pods are deleted with their Job", func() bool { return len(c.pods("")) == 0 })

	g := j.DeepCopy()
	g.Name, g.GenerateName = "", "gen-"
	suspend := true
	g.Spec.Suspend = &suspend
	made, err = jobs.Create(ctx, g, metav1.CreateOptions{})
	if err != nil || len(made.Name) != 9 {
		t.Fatalf("%v, %v", made, err)
	}
	for _, p := range []struct {
		kind types.PatchType
		body string
	}{{types.MergePatchType, `{"metadata":{"labels":{"x":"1"}}}`}, {types.StrategicMergePatchType, `{"metadata":{"annotations":{"y":"2"}}}`},
		{types.JSONPatchType, `[{"op":"replace","path":"/spec/suspend","value":false}]`}} {
		if made, err = jobs.Patch(ctx, made.Name, p.kind, []byte(p.body), metav1.PatchOptions{}); err != nil {
			t.Fatalf("%s: %v", p.kind, err)
		}
	}
	if made.Labels["x"] != "1" || made.Annotations["y"] != "2" || *made.Spec.Suspend {
		t.Fatalf("patched: %v", made.ObjectMeta)
	}
	stale := made.DeepCopy()
	stale.ResourceVersion = "1"
	if _, err := jobs.Update(ctx, stale, metav1.UpdateOptions{}); !apierrors.IsConflict(err) {
		t.Fatalf("stale update: %v", err)
	}
	bad := j.DeepCopy()
	bad.Spec.Template.Labels[wellknown.Class] = "none"
	if _, err := jobs.Create(ctx, bad, metav1.CreateOptions{}); !apierrors.IsInvalid(err) {
		t.Fatalf("unknown class: %v", err)
	}
	c.eventually("the resumed Job completes", func() bool { return hasCondition(c.job(made.Name), "Complete") })
	if err := jobs.DeleteCollection(ctx, metav1.DeleteOptions{}, metav1.ListOptions{}); err != nil {
		t.Fatal(err)
	}
	c.checkAudit()
}

// An informer sees every Pod settle once although its connections are closed again and again, in JSON and in the binary
// encoding.
func TestInformerAcrossDroppedConnections(t *testing.T) {
	for _, accept := range []string{"", "application/vnd.kubernetes.protobuf,application/json"} {
		t.Run(accept, func(t *testing.T) { informerAcrossDrops(t, accept) })
	}
}

func informerAcrossDrops(t *testing.T, accept string) {
	t.Helper()
	c := startCluster(t, nil)
	k, err := kubernetes.NewForConfig(&rest.Config{Host: c.baseURL, QPS: 1000, Burst: 1000, ContentConfig: rest.ContentConfig{
		AcceptContentTypes: accept, ContentType: "application/json"}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := informers.NewSharedInformerFactoryWithOptions(k, 0, informers.WithNamespace("default"))
	inf := f.Core().V1().Pods().Informer()
	outcomes := make(chan string, 1000)
	see := func(old, now any) {
		p := now.(*corev1.Pod)
		was := ""
		if old != nil {
			was = wellknown.SettledReason(old.(*corev1.Pod))
		}
		if r := wellknown.SettledReason(p); r != was {
			if was != "" {
				outcomes <- "changed"
			}
			outcomes <- r
		}
	}
	if _, err := inf.AddEventHandler(cache.ResourceEventHandlerFuncs{AddFunc: func(o any) { see(nil, o) }, UpdateFunc: see}); err != nil {
		t.Fatal(err)
	}
	f.Start(ctx.Done())
	if !cache.WaitForCacheSync(ctx.Done(), inf.HasSynced) {
		t.Fatal("informer did not sync")
	}
	const each, rounds = 20, 5
	for i := range rounds {
		c.submitJob(scenario.Job{Name: fmt.Sprint("r", i), Class: "web", Service: "s", Tasks: each, Cores: 0.1, Memory: 0.1, Lifetime: 30, BackoffLimit: 3})
		// Break every open connection, in the middle of what it carries.
		c.runOnLoop(func() { c.scheduler.httpServer.CloseConns() })
	}
	for n := range each * rounds {
		select {
		case r := <-outcomes:
			if r != wellknown.Placed {
				t.Fatalf("outcome %d is %s", n, r)
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("only %d outcomes", n)
		}
	}
	select {
	case r := <-outcomes:
		t.Fatalf("one more outcome: %s", r)
	case <-time.After(100 * time.Millisecond):
	}
	c.checkAudit()
}

// A node is drained by a patch, as kubectl drain does it: no new tasks go there and running ones are migrated, also when the
// drain comes while attempts are in flight.
func TestDrainByPatch(t *testing.T) {
	c := startCluster(t, nil)
	k, ctx := clientset(t, c), context.Background()
	c.submitJob(scenario.Job{Name: "a", Class: "web", Service: "s", Tasks: 12, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 3})
	c.eventually("all run", func() bool { return len(c.pods("?fieldSelector=status.phase=Running")) == 12 })
	c.injectFault(fault.Node{Stall: 0.4})
	c.submitJob(scenario.Job{Name: "b", Class: "batch", Service: "t", Tasks: 12, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 3})
	node := c.pods("?fieldSelector=status.phase=Running")[0].Spec.NodeName
	if _, err := k.CoreV1().Nodes().Patch(ctx, node, types.StrategicMergePatchType, []byte(`{"spec":{"unschedulable":true}}`), metav1.PatchOptions{}); err != nil {
		t.Fatal(err)
	}
	told := time.Now()
	c.eventually("b is settled", func() bool { return settledReason(c.job("b")) != "" })
	for _, p := range c.pods("?fieldSelector=spec.nodeName=" + node + ",status.phase=Running") {
		err := k.PolicyV1().Evictions("default").Evict(ctx, &policyv1.Eviction{ObjectMeta: metav1.ObjectMeta{Name: p.Name, Namespace: "default"}})
		if err != nil {
			t.Fatal(err)
		}
	}
	c.eventually("nothing runs there", func() bool {
		for _, p := range c.pods("?fieldSelector=spec.nodeName=" + node) {
			if !wellknown.Finished(&p) {
				return false
			}
		}
		return len(c.pods("?fieldSelector=status.phase=Running")) == 24
	})
	for _, ev := range c.recordedEvents() {
		if ev.Kind == "offer" && ev.Node == node && ev.At > float64(told.UnixNano())/1e9+c.settings.Timing.DrainGrace.Seconds() {
			t.Errorf("attempt sent to %s %.3f s after the order", node, ev.At-float64(told.UnixNano())/1e9)
		}
	}
	c.checkAudit()
}
