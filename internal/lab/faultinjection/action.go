//go:build linux

package faultinjection

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator/fault"
	"heathshed/internal/lab/scenario"
	"heathshed/internal/lab/simulation"
)

const (
	jsonType       = "application/json"
	mergePatchType = "application/merge-patch+json"
	faultsPath     = "/heathshed/faults"

	submitAttempts = 400
	retryInterval  = 250 * time.Millisecond
	lateSubmission = 0.05 // seconds after its time at which a job counts as late
)

// apiRequest is a request of the client.
type apiRequest struct {
	method, path, contentType string
	body                      []byte
}

// statusError is an answer that is not a success.
type statusError struct {
	request *apiRequest
	code    int
	body    []byte
}

func (err *statusError) Error() string {
	return fmt.Sprintf("%s %s: status %d: %.200s", err.request.method, err.request.path, err.code, err.body)
}

// temporary reports whether the server asks to try again.
func (err *statusError) temporary() bool {
	return err.code == http.StatusTooManyRequests || err.code == http.StatusServiceUnavailable
}

// send sends a request to a process. It tries again, up to maxAttempts times in all, while the process is down or rejects it for now.
func (r *runner) send(ctx context.Context, name string, request *apiRequest, maxAttempts int) error {
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			r.update(func(f *Figures) { f.Retries++ })
			if err := sleep(ctx, retryInterval); err != nil {
				return err
			}
		}
		err = r.sendOnce(ctx, name, request)
		var status *statusError
		if err == nil || errors.As(err, &status) && !status.temporary() {
			return err
		}
	}
	return err
}

func (r *runner) sendOnce(ctx context.Context, name string, request *apiRequest) error {
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, r.baseURL(name)+request.path, bytes.NewReader(request.body))
	if err != nil {
		return err
	}
	httpRequest.Header.Set("Content-Type", request.contentType)
	response, err := r.client.Do(httpRequest)
	if err != nil {
		return err
	}
	defer closeQuietly(response.Body)
	// The status decides. The body is for an error text only, also if it is cut short.
	body, _ := io.ReadAll(response.Body)
	if response.StatusCode/100 != 2 {
		return &statusError{request: request, code: response.StatusCode, body: body}
	}
	return nil
}

// trySend sends a request once. It may fail: to act on a process that a fault keeps from answering is part of a scenario.
func (r *runner) trySend(ctx context.Context, name string, request *apiRequest) {
	_ = r.send(ctx, name, request, 1)
}

// get sends a GET request to a process.
func (r *runner) get(ctx context.Context, name, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.baseURL(name)+path, nil)
	if err != nil {
		return nil, err
	}
	return r.client.Do(request)
}

// maxDiscard bounds what is read of an answer that does not matter, in bytes.
const maxDiscard = 1 << 20

// discard reads an answer that does not matter, so that its connection can be used again; if that fails it is not.
func discard(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscard))
	closeQuietly(response.Body)
}

// perform performs one action of the plan.
func (r *runner) perform(ctx context.Context, action *scenario.Action) {
	switch action.Kind {
	case scenario.SubmitJob:
		r.submitJob(ctx, action)
	case scenario.DeleteJob:
		r.trySend(ctx, simulation.SchedulerName(action.Job.Scheduler),
			&apiRequest{method: http.MethodDelete, path: jobsPath(action.Job) + "/" + action.Job.Name, contentType: jsonType})
	case scenario.InjectNodeFault:
		r.injectFault(ctx, action.Node, &action.NodeFault)
	case scenario.CutInventory:
		r.injectFault(ctx, inventoryName, &fault.Inventory{Unreachable: action.OutageSeconds})
	case scenario.KillScheduler:
		r.restartScheduler(ctx, simulation.SchedulerName(action.Scheduler), action.DowntimeSeconds)
	case scenario.DrainNode:
		r.setDraining(ctx, action.Node, true)
	case scenario.UndrainNode:
		r.setDraining(ctx, action.Node, false)
	}
}

func jobsPath(job *scenario.Job) string {
	return "/apis/batch/v1/namespaces/" + job.Namespace + "/jobs"
}

// submitJob submits a job until a scheduler has it.
func (r *runner) submitJob(ctx context.Context, action *scenario.Action) {
	late := time.Since(r.startedAt).Seconds()-action.At > lateSubmission
	body, err := json.Marshal(simulation.NewJob(action.Job))
	if err == nil {
		err = r.send(ctx, simulation.SchedulerName(action.Job.Scheduler),
			&apiRequest{method: http.MethodPost, path: jobsPath(action.Job), contentType: jsonType, body: body}, submitAttempts)
	}
	// A conflict says that an earlier attempt succeeded whose answer was lost.
	var status *statusError
	submitted := err == nil || errors.As(err, &status) && status.code == http.StatusConflict
	r.update(func(f *Figures) {
		if late {
			f.JobsLate++
		}
		if submitted {
			f.Jobs++
		}
	})
}

// injectFault orders a fault of an emulator. A process that is down gets none.
func (r *runner) injectFault(ctx context.Context, name string, order any) {
	body, err := json.Marshal(order)
	if err != nil {
		return // orders are plain numbers
	}
	r.trySend(ctx, name, &apiRequest{method: http.MethodPut, path: faultsPath, contentType: jsonType, body: body})
}

// setDraining orders a drain of a node, or its end, at every scheduler.
func (r *runner) setDraining(ctx context.Context, node string, draining bool) {
	request := &apiRequest{method: http.MethodPatch, path: "/api/v1/nodes/" + node, contentType: mergePatchType,
		body: fmt.Appendf(nil, `{"spec":{"unschedulable":%v}}`, draining)}
	for i := range r.options.Script.Schedulers {
		name := simulation.SchedulerName(i)
		if !draining {
			// Recorded before the order: attempts may go to the node as soon as it is sent.
			r.record(audit.Event{Kind: audit.DrainCancelled, Scheduler: name, Node: node})
		}
		if err := r.send(ctx, name, request, 1); err == nil && draining {
			r.record(audit.Event{Kind: audit.DrainOrdered, Scheduler: name, Node: node})
		}
	}
}
