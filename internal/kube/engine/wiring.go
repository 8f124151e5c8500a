package engine

import (
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/control/admission"
	"heathshed/internal/kube/store"
	"heathshed/placer"
)

// wire creates the components of an engine and connects them. It allocates all components before it
// initializes any of them, because some components refer to each other.
func (e *Engine) wire(admissionController *admission.Controller) {
	e.publisher = new(publisher)
	e.nodes = new(nodeRegistry)
	e.observer = new(podObserver)
	e.tasks = new(taskTable)
	e.lifecycle = new(taskLifecycle)
	e.requests = new(requestTable)
	e.attempts = new(attemptTracker)
	e.outcomes = new(outcomeReconciler)
	e.adopter = new(adopter)
	e.podController = new(podController)
	e.jobs = new(jobTable)
	e.jobController = new(jobController)
	e.jobStarter = new(jobStarter)
	e.jobStatus = new(jobStatusWriter)
	e.wireStore()
	e.wireNodes()
	e.wireTasks()
	e.wireRequests(admissionController)
	e.wireJobs()
}

// wireStore initializes the publisher, which owns the store.
func (e *Engine) wireStore() {
	cfg := &e.cfg
	*e.publisher = publisher{
		environment: e.environment,
		store:       store.NewBounded(cfg.BaseRevision, cfg.HistoryEntries, cfg.MaxHistoryBytes),
	}
}

// wireNodes initializes the components that handle the reports of the inventory and of nodes.
func (e *Engine) wireNodes() {
	cfg := &e.cfg
	*e.nodes = nodeRegistry{
		environment:    e.environment,
		lifecycle:      e.lifecycle,
		outcomes:       e.outcomes,
		publisher:      e.publisher,
		byName:         map[string]*node{},
		byID:           map[placer.NodeID]*node{},
		byListedBootID: map[string]*node{},
		zones:          map[string]int{cfg.Zone: 0},
		racks:          map[string]int{},
	}
	*e.observer = podObserver{
		environment: e.environment,
		tasks:       e.tasks,
		lifecycle:   e.lifecycle,
		outcomes:    e.outcomes,
		nodes:       e.nodes,
		adopter:     e.adopter,
	}
	*e.adopter = adopter{
		environment:   e.environment,
		tasks:         e.tasks,
		lifecycle:     e.lifecycle,
		requests:      e.requests,
		podController: e.podController,
		jobs:          e.jobs,
		jobController: e.jobController,
		jobStarter:    e.jobStarter,
		jobStatus:     e.jobStatus,
		publisher:     e.publisher,
	}
}

// wireTasks initializes the components that own tasks and that delete Pods.
func (e *Engine) wireTasks() {
	*e.tasks = taskTable{
		environment: e.environment,
		byUID:       map[types.UID]*task{},
	}
	*e.lifecycle = taskLifecycle{
		environment:   e.environment,
		tasks:         e.tasks,
		requests:      e.requests,
		attempts:      e.attempts,
		outcomes:      e.outcomes,
		jobController: e.jobController,
		publisher:     e.publisher,
	}
	*e.podController = podController{
		environment:   e.environment,
		tasks:         e.tasks,
		lifecycle:     e.lifecycle,
		jobs:          e.jobs,
		jobController: e.jobController,
		publisher:     e.publisher,
	}
}

// wireRequests initializes the components that handle placement requests and attempts.
func (e *Engine) wireRequests(admissionController *admission.Controller) {
	*e.requests = requestTable{
		environment: e.environment,
		tasks:       e.tasks,
		lifecycle:   e.lifecycle,
		attempts:    e.attempts,
		byID:        map[placer.TaskID]*placementRequest{},
		admission:   admissionController,
	}
	*e.attempts = attemptTracker{
		environment: e.environment,
		tasks:       e.tasks,
		lifecycle:   e.lifecycle,
		requests:    e.requests,
		outcomes:    e.outcomes,
		nodes:       e.nodes,
		observer:    e.observer,
		publisher:   e.publisher,
	}
	*e.outcomes = outcomeReconciler{
		environment: e.environment,
		tasks:       e.tasks,
		lifecycle:   e.lifecycle,
		requests:    e.requests,
		nodes:       e.nodes,
		observer:    e.observer,
		adopter:     e.adopter,
	}
}

// wireJobs initializes the components that create, start, update and delete Jobs.
func (e *Engine) wireJobs() {
	*e.jobs = jobTable{
		byKey: map[string]*job{},
	}
	*e.jobController = jobController{
		environment:   e.environment,
		jobs:          e.jobs,
		jobStarter:    e.jobStarter,
		jobStatus:     e.jobStatus,
		tasks:         e.tasks,
		lifecycle:     e.lifecycle,
		podController: e.podController,
		publisher:     e.publisher,
	}
	*e.jobStarter = jobStarter{
		environment:   e.environment,
		jobController: e.jobController,
		jobStatus:     e.jobStatus,
		tasks:         e.tasks,
		lifecycle:     e.lifecycle,
		requests:      e.requests,
		publisher:     e.publisher,
	}
	*e.jobStatus = jobStatusWriter{
		environment:   e.environment,
		jobs:          e.jobs,
		jobController: e.jobController,
		publisher:     e.publisher,
	}
}
