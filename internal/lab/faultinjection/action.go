//go:build linux

package faultinjection

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/internal/kube/apiclient"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator/fault"
	"heathshed/internal/lab/scenario"
	"heathshed/internal/lab/simulation"
)

const (
	faultsPath = "/heathshed/faults"

	submitAttempts = 400
	retryInterval  = 250 * time.Millisecond
	lateSubmission = 50 * time.Millisecond // delay above which the submission of a job counts as late
)

// apiOf returns a client of the API of a process.
func (r *runner) apiOf(name string) *apiclient.Client {
	return apiclient.New(r.processes.baseURL(name), r.client)
}

// retry sends a request to the API of a process, up to maxAttempts times in all, until it succeeds or fails permanently. It retries while the
// process is down or reports a temporary error.
func (r *runner) retry(ctx context.Context, name string, maxAttempts int, request func(*apiclient.Client) error) error {
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			r.observer.update(func(f *Figures) { f.Retries++ })
			if err := sleep(ctx, retryInterval); err != nil {
				return err
			}
		}
		err = request(r.apiOf(name))
		var status *apiclient.StatusError
		if err == nil || errors.As(err, &status) && !status.Temporary() {
			return err
		}
	}
	return err
}

// perform performs one action of the plan.
func (r *runner) perform(ctx context.Context, action *scenario.Action) {
	switch action.Kind {
	case scenario.SubmitJob:
		r.submitJob(ctx, action)
	case scenario.DeleteJob:
		r.deleteJob(ctx, action.Job)
	case scenario.InjectNodeFault:
		r.injectFault(ctx, action.Node, &action.NodeFault)
	case scenario.CutInventory:
		r.injectFault(ctx, inventoryName, &fault.Inventory{Unreachable: float64(action.Outage)})
	case scenario.KillScheduler:
		r.restartScheduler(ctx, simulation.SchedulerName(action.Scheduler), clock.Duration(action.Downtime))
	case scenario.DrainNode:
		r.setDraining(ctx, action.Node, true)
	case scenario.UndrainNode:
		r.setDraining(ctx, action.Node, false)
	}
}

// submitJob submits a job. It retries while the job's scheduler is down or busy.
func (r *runner) submitJob(ctx context.Context, action *scenario.Action) {
	late := time.Since(r.startedAt)-clock.Duration(action.At) > lateSubmission
	body, err := json.Marshal(simulation.NewJob(action.Job))
	if err == nil {
		err = r.retry(ctx, simulation.SchedulerName(action.Job.Scheduler), submitAttempts, func(api *apiclient.Client) error {
			return api.Create(ctx, apiclient.JobsPath(action.Job.Namespace), body, nil)
		})
	}
	// A conflict means that an earlier attempt succeeded and its response was lost.
	var status *apiclient.StatusError
	submitted := err == nil || errors.As(err, &status) && status.Conflict()
	r.observer.update(func(f *Figures) {
		if late {
			f.JobsLate++
		}
		if submitted {
			f.Jobs++
		}
	})
}

// deleteJob deletes a job. It ignores an error: in a scenario the scheduler may be down because of a fault.
func (r *runner) deleteJob(ctx context.Context, job *scenario.Job) {
	path := apiclient.ObjectPath(apiclient.JobsPath(job.Namespace), job.Name)
	_ = r.apiOf(simulation.SchedulerName(job.Scheduler)).Delete(ctx, path)
}

// injectFault sends a fault, a fault.Node or fault.Inventory, to an emulated process. It has no effect if the process is down.
func (r *runner) injectFault(ctx context.Context, name string, injected any) {
	body, err := json.Marshal(injected)
	if err != nil {
		return // faults are plain numbers
	}
	request := &apiclient.Request{Method: http.MethodPut, Path: faultsPath, ContentType: apiclient.JSON, Body: body}
	_ = r.apiOf(name).Do(ctx, request, nil)
}

// setDraining has every scheduler drain a node, or cancel the drain.
func (r *runner) setDraining(ctx context.Context, node string, draining bool) {
	for i := range r.options.Script.Schedulers {
		name := simulation.SchedulerName(i)
		if !draining {
			// Recorded before the request is sent, since attempts may go to the node as soon as it arrives.
			r.observer.record(audit.Event{Kind: audit.DrainCancelled, Scheduler: name, Node: node})
		}
		if err := r.apiOf(name).SetUnschedulable(ctx, node, draining, nil); err == nil && draining {
			r.observer.record(audit.Event{Kind: audit.DrainOrdered, Scheduler: name, Node: node})
		}
	}
}
