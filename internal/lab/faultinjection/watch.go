//go:build linux

package faultinjection

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
)

const (
	watchRetryInterval = 100 * time.Millisecond
	watchBufferBytes   = 64 << 10
)

// The types of watch events that the client tells apart; those of other types have a Pod that was added or modified.
const (
	eventDeleted  = "DELETED"
	eventBookmark = "BOOKMARK"
	eventError    = "ERROR"
	eventListed   = "LISTED" // no type of the API: the Pod came with a list
)

// errExpired says that a watch cannot be resumed from its revision.
var errExpired = errors.New("watch: the revision expired")

// watch follows the Pods of a scheduler until the context ends. It resumes from the last revision that it saw, and lists all Pods if that is
// not possible.
func (r *runner) watch(ctx context.Context, scheduler string) {
	revision := ""
	for ctx.Err() == nil {
		if revision == "" {
			var err error
			if revision, err = r.list(ctx, scheduler); err != nil {
				_ = sleep(ctx, watchRetryInterval) // the loop looks at the context
				continue
			}
		}
		watchCtx, cancel := r.watchContext(ctx)
		var err error
		revision, err = r.follow(watchCtx, scheduler, revision)
		dropped := errors.Is(watchCtx.Err(), context.DeadlineExceeded)
		cancel()
		if dropped {
			r.update(func(f *Figures) { f.WatchesDropped++ })
		} else if err != nil {
			_ = sleep(ctx, watchRetryInterval)
		}
	}
}

// watchContext returns the context of one watch, which is broken after WatchDropInterval.
func (r *runner) watchContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.options.WatchDropInterval > 0 {
		return context.WithTimeout(ctx, seconds(r.options.WatchDropInterval))
	}
	return context.WithCancel(ctx)
}

// follow reads a watch from a revision on until it breaks. It returns the revision to resume from, "" with errExpired.
func (r *runner) follow(ctx context.Context, scheduler, revision string) (string, error) {
	response, err := r.get(ctx, scheduler, "/api/v1/pods?watch=true&allowWatchBookmarks=true&resourceVersion="+revision)
	if err != nil {
		return revision, err
	}
	defer closeQuietly(response.Body)
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone, http.StatusGatewayTimeout:
		return "", errExpired
	default:
		return revision, fmt.Errorf("watch: status %d", response.StatusCode)
	}
	reader := bufio.NewReaderSize(response.Body, watchBufferBytes)
	for {
		// A line that is cut short when the connection breaks is no event: it comes again after the watch is resumed.
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return revision, err
		}
		var event struct {
			Type   string          `json:"type"`
			Object json.RawMessage `json:"object"`
		}
		if err := json.Unmarshal(line, &event); err != nil {
			return revision, fmt.Errorf("watch: event: %w", err)
		}
		if event.Type == eventError {
			return "", errExpired
		}
		var pod corev1.Pod
		if err := json.Unmarshal(event.Object, &pod); err != nil {
			return revision, fmt.Errorf("watch: pod: %w", err)
		}
		revision = pod.ResourceVersion
		if event.Type != eventBookmark {
			r.observePod(scheduler, &pod, event.Type)
		}
	}
}

// list reads all Pods of a scheduler, and returns the revision from which a watch continues.
func (r *runner) list(ctx context.Context, scheduler string) (string, error) {
	response, err := r.get(ctx, scheduler, "/api/v1/pods")
	if err != nil {
		return "", err
	}
	defer closeQuietly(response.Body)
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("list: status %d", response.StatusCode)
	}
	var pods corev1.PodList
	if err := json.NewDecoder(response.Body).Decode(&pods); err != nil {
		return "", fmt.Errorf("list: %w", err)
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
func (r *runner) observePod(scheduler string, pod *corev1.Pod, eventType string) {
	uid := string(pod.UID)
	outcome := wellknown.SettledReason(pod)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := unixNow()
	record := func(event audit.Event) {
		event.At = now
		event.UID = uid
		event.Scheduler = scheduler
		event.Class = pod.Labels[wellknown.Class]
		r.events = append(r.events, event)
	}
	submittedAt, known := r.submittedAt[uid]
	if !known {
		if eventType == eventDeleted {
			return
		}
		r.submittedAt[uid] = now
		// A Pod with an outcome that is new to the client was adopted after a restart, or settled before the watch began.
		if outcome == "" {
			r.figures.Tasks++
			record(audit.Event{Kind: audit.Submitted, Deadline: wellknown.ParseTimestamp(pod.Annotations[wellknown.OutcomeDeadline])})
		}
	}
	if outcome != "" && !r.settled[uid] {
		r.settled[uid] = true
		r.figures.Settled++
		record(audit.Event{Kind: audit.Settled, Reason: outcome})
		if known && eventType != eventListed {
			r.recordLatency(now - submittedAt)
		}
	}
	if eventType == eventDeleted && !r.settled[uid] {
		record(audit.Event{Kind: audit.Withdrawn})
	}
}

// recordLatency records a time from submission to outcome, in seconds. One that is longer than the histogram holds is left out.
func (r *runner) recordLatency(latency float64) {
	_ = r.latency.RecordValue(max(1, int64(latency*1e6)))
}
