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
	lateSubmission = 50 * time.Millisecond // after its time, at which a job counts as late
)

// apiOf returns a client of the API of a process.
func (r *runner) apiOf(name string) *apiclient.Client {
	return apiclient.New(r.processes.baseURL(name), r.client)
}

// retry makes a request of the API of a process. It tries again, up to maxAttempts times in all, while the process is down or rejects the
// request for now.
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

// submitJob submits a job until a scheduler has it.
func (r *runner) submitJob(ctx context.Context, action *scenario.Action) {
	late := time.Since(r.startedAt)-clock.Duration(action.At) > lateSubmission
	body, err := json.Marshal(simulation.NewJob(action.Job))
	if err == nil {
		err = r.retry(ctx, simulation.SchedulerName(action.Job.Scheduler), submitAttempts, func(api *apiclient.Client) error {
			return api.Create(ctx, apiclient.JobsPath(action.Job.Namespace), body, nil)
		})
	}
	// A conflict says that an earlier attempt succeeded whose answer was lost.
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

// deleteJob deletes a job. It may fail: to act on a process that a fault keeps from answering is part of a scenario.
func (r *runner) deleteJob(ctx context.Context, job *scenario.Job) {
	path := apiclient.ObjectPath(apiclient.JobsPath(job.Namespace), job.Name)
	_ = r.apiOf(simulation.SchedulerName(job.Scheduler)).Delete(ctx, path)
}

// injectFault orders a fault of an emulator. A process that is down gets none.
func (r *runner) injectFault(ctx context.Context, name string, order any) {
	body, err := json.Marshal(order)
	if err != nil {
		return // orders are plain numbers
	}
	request := &apiclient.Request{Method: http.MethodPut, Path: faultsPath, ContentType: apiclient.JSON, Body: body}
	_ = r.apiOf(name).Do(ctx, request, nil)
}

// setDraining orders a drain of a node, or its end, at every scheduler.
func (r *runner) setDraining(ctx context.Context, node string, draining bool) {
	for i := range r.options.Script.Schedulers {
		name := simulation.SchedulerName(i)
		if !draining {
			// Recorded before the order: attempts may go to the node as soon as it is sent.
			r.observer.record(audit.Event{Kind: audit.DrainCancelled, Scheduler: name, Node: node})
		}
		if err := r.apiOf(name).SetUnschedulable(ctx, node, draining, nil); err == nil && draining {
			r.observer.record(audit.Event{Kind: audit.DrainOrdered, Scheduler: name, Node: node})
		}
	}
}
