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
)

const watchRetryInterval = 100 * time.Millisecond

// eventListed is the event type of a Pod that was read by a list. The API has no such type.
const eventListed watch.EventType = "LISTED"

// watch watches the Pods of a scheduler until the context is done. It resumes from the last revision that it received, and lists all Pods if
// that is not possible. Each connection is closed after WatchDropInterval.
func (r *runner) watch(ctx context.Context, scheduler string) {
	api := r.apiOf(scheduler)
	// There is no limit of attempts, and errors of the server lead to a list, so the watch ends only with the context.
	_ = api.Watch(ctx, apiclient.WatchOptions{
		Path:                apiclient.PodsPath(""),
		List:                func(ctx context.Context) (string, error) { return r.list(ctx, api, scheduler) },
		RetryDelayStep:      watchRetryInterval,
		MaxRetryDelay:       watchRetryInterval,
		ConnectionTimeout:   r.options.WatchDropInterval,
		OnConnectionTimeout: func() { r.observer.update(func(f *Figures) { f.WatchesDropped++ }) },
	}, func(event apiclient.Event) error {
		var pod corev1.Pod
		if err := json.Unmarshal(event.Object, &pod); err != nil {
			return fmt.Errorf("watch: pod: %w", err)
		}
		r.observer.observePod(scheduler, &pod, event.Type)
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
	r.observer.update(func(f *Figures) { f.Relists++ })
	for i := range pods.Items {
		r.observer.observePod(scheduler, &pods.Items[i], eventListed)
	}
	return pods.ResourceVersion, nil
}
