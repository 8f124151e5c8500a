//go:build linux

package faultinjection

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/watch"

	"heathshed/internal/kube/apiclient"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
)

const watchRetryInterval = 100 * time.Millisecond

// eventListed is the type of the event of a Pod that came with a list. The API has no such type.
const eventListed watch.EventType = "LISTED"

// watch follows the Pods of a scheduler until the context ends. It resumes from the last revision that it saw, and lists all Pods if that is
// not possible. Its connections are broken after WatchDropInterval.
func (r *runner) watch(ctx context.Context, scheduler string) {
	api := r.apiOf(scheduler)
	// Without a limit of attempts, and as the server's errors lead to a list, the watch ends only with the context.
	_ = api.Watch(ctx, apiclient.WatchOptions{
		Path:                apiclient.PodsPath(""),
		List:                func(ctx context.Context) (string, error) { return r.list(ctx, api, scheduler) },
		RetryStep:           watchRetryInterval,
		RetryMax:            watchRetryInterval,
		ConnectionTimeout:   r.options.WatchDropInterval,
		OnConnectionTimeout: func() { r.update(func(f *Figures) { f.WatchesDropped++ }) },
	}, func(event apiclient.Event) error {
		var pod corev1.Pod
		if err := json.Unmarshal(event.Object, &pod); err != nil {
			return fmt.Errorf("watch: pod: %w", err)
		}
		r.observePod(scheduler, &pod, event.Type)
		return nil
	})
}

// list reads all Pods of a scheduler, and returns the revision from which a watch continues.
func (r *runner) list(ctx context.Context, api *apiclient.Client, scheduler string) (string, error) {
	var pods corev1.PodList
	if err := api.Get(ctx, apiclient.PodsPath(""), &pods); err != nil {
		return "", err
	}
	if pods.ResourceVersion == "" {
		return "", errors.New("list: no revision")
	}
	r.update(func(f *Figures) { f.Relists++ })
	for i := range pods.Items {
		r.observePod(scheduler, &pods.Items[i], eventListed)
	}
	return pods.ResourceVersion, nil
}

// observePod records what a Pod shows that the client has not seen before: a task, its outcome, or that it was withdrawn.
func (r *runner) observePod(scheduler string, pod *corev1.Pod, eventType watch.EventType) {
	uid := string(pod.UID)
	outcome := wellknown.SettledReason(pod)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	record := func(event audit.Event) {
		event.At = eventTime(now)
		event.UID = uid
		event.Scheduler = scheduler
		event.Class = pod.Labels[wellknown.Class]
		r.events = append(r.events, event)
	}
	submittedAt, known := r.submittedAt[uid]
	if !known {
		if eventType == watch.Deleted {
			return
		}
		r.submittedAt[uid] = now
		// A Pod with an outcome that is new to the client was adopted after a restart, or settled before the watch began.
		if outcome == "" {
			deadline := wellknown.ParseTimestamp(pod.Annotations[wellknown.OutcomeDeadline])
			r.figures.Tasks++
			record(audit.Event{Kind: audit.Submitted, Deadline: deadline})
		}
	}
	if outcome != "" && !r.settled[uid] {
		r.settled[uid] = true
		r.figures.Settled++
		record(audit.Event{Kind: audit.Settled, Reason: outcome})
		if known && eventType != eventListed {
			r.recordLatency(now.Sub(submittedAt))
		}
	}
	if eventType == watch.Deleted && !r.settled[uid] {
		record(audit.Event{Kind: audit.Withdrawn})
	}
}

// recordLatency records a time from submission to outcome. One that is longer than the histogram holds is left out.
func (r *runner) recordLatency(latency time.Duration) {
	_ = r.latency.RecordValue(max(1, latency.Microseconds()))
}
