//go:build linux

package faultinjection

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/watch"

	"heathshed/internal/control/clock"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
	"heathshed/placer"
)

// maxLatency is the longest time that the histogram of latencies holds.
const maxLatency = 10 * time.Minute

// observer records what the client observed and did. It is safe for concurrent use; only its methods access its fields.
type observer struct {
	mu          sync.Mutex
	events      []audit.Event
	figures     Figures
	latency     *hdrhistogram.Histogram // from submission to outcome, in microseconds
	submittedAt map[string]time.Time    // by UID of a task: when the client first saw it
	settled     map[string]bool         // by UID of a task
}

func newObserver() *observer {
	return &observer{
		latency:     hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		submittedAt: map[string]time.Time{},
		settled:     map[string]bool{},
	}
}

// eventTime converts a time to that of an audit event.
func eventTime(at time.Time) placer.Seconds { return clock.FromTime(at).UnixSeconds() }

// record records an event that the client caused or observed now.
func (o *observer) record(event audit.Event) {
	event.At = eventTime(time.Now())
	o.mu.Lock()
	o.events = append(o.events, event)
	o.mu.Unlock()
}

// recordedEvents returns the events up to now.
func (o *observer) recordedEvents() []audit.Event {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.events)
}

// update changes the figures under the lock.
func (o *observer) update(change func(*Figures)) {
	o.mu.Lock()
	change(&o.figures)
	o.mu.Unlock()
}

// snapshot returns the figures up to now.
func (o *observer) snapshot() Figures {
	o.mu.Lock()
	defer o.mu.Unlock()
	figures := o.figures
	figures.P50 = float64(o.latency.ValueAtQuantile(50)) / 1e6
	figures.P99 = float64(o.latency.ValueAtQuantile(99)) / 1e6
	figures.Max = float64(o.latency.Max()) / 1e6
	return figures
}

// observePod records what is new to the client in the state of a Pod: its task, the task's outcome, or that the task was withdrawn.
func (o *observer) observePod(scheduler string, pod *corev1.Pod, eventType watch.EventType) {
	uid := string(pod.UID)
	outcome := wellknown.SettledReason(pod)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	record := func(event audit.Event) {
		event.At = eventTime(now)
		event.UID = uid
		event.Scheduler = scheduler
		event.Class = pod.Labels[wellknown.Class]
		o.events = append(o.events, event)
	}
	submittedAt, known := o.submittedAt[uid]
	if !known {
		if eventType == watch.Deleted {
			return
		}
		o.submittedAt[uid] = now
		// An unknown Pod that has an outcome was adopted after a restart, or settled before the watch began.
		if outcome == "" {
			deadline := wellknown.ParseTimestamp(pod.Annotations[wellknown.OutcomeDeadline])
			o.figures.Tasks++
			record(audit.Event{Kind: audit.Submitted, Deadline: deadline})
		}
	}
	if outcome != "" && !o.settled[uid] {
		o.settled[uid] = true
		o.figures.Settled++
		record(audit.Event{Kind: audit.Settled, Reason: outcome})
		if known && eventType != eventListed {
			o.recordLatency(now.Sub(submittedAt))
		}
	}
	if eventType == watch.Deleted && !o.settled[uid] {
		record(audit.Event{Kind: audit.Withdrawn})
	}
}

// recordLatency records a time from submission to outcome. A time above maxLatency is dropped.
func (o *observer) recordLatency(latency time.Duration) {
	_ = o.latency.RecordValue(max(1, latency.Microseconds()))
}
