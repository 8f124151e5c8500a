package engine

import (
	"fmt"
	"slices"

	"heathshed/internal/control/admission"
	"heathshed/internal/control/retry"
	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// Config configures an Engine.
type Config struct {
	// Name identifies this scheduler. Nodes store the name with each Pod.
	Name string

	Placer       placer.Config
	Classes      []string // names of the task classes in Placer.Classes, in the same order
	DefaultClass int      // index of the task class for tasks without the label wellknown.Class
	NodeTypes    []string // names of the node types in Placer.NodeTypes, in the same order
	Tenants      []string // namespaces of Placer.Tenants, in the same order; if empty, Jobs may be in any namespace
	Zone         string   // topology zone of this scheduler

	Retry     retry.Policy     // settings for retries; the zero value means retry.DefaultPolicy
	Admission admission.Config // settings of the admission controller; the zero value admits every placement request
	Seed      uint64           // seed of the random number generator

	BaseRevision    int64 // the resource versions of stored objects are greater than this value
	HistoryEntries  int   // number of changes that each table of the store keeps for watches
	MaxHistoryBytes int64 // maximum cost of the changes kept for watches, as estimated by store.Cost; 0 means no limit
	// MaxPods is the maximum number of Pods that are stored or have yet to be created. A Job that would exceed
	// this number is rejected.
	MaxPods int
	// MaxObjectBytes is the maximum cost of the objects that are stored or have yet to be created, as
	// estimated by store.Cost. 0 means no limit.
	MaxObjectBytes int64

	// FinishedTTL is the time for which a finished Job is kept if the Job does not set
	// ttlSecondsAfterFinished. If FinishedTTL is 0, such a Job is kept until it is deleted.
	FinishedTTL placer.Seconds
	// NodeLossTimeout is the time after which the idempotent tasks of a missing node count as lost. During
	// all of this time, the node must be absent from the inventory and must not respond.
	NodeLossTimeout placer.Seconds
	// MaxStartsPerCall limits the number of tasks that one call of the engine starts. Later calls start
	// the remaining tasks.
	MaxStartsPerCall int
}

// These defaults apply to settings that are zero in a Config.
const (
	DefaultHistoryEntries   = 20000
	DefaultMaxPods          = 200000
	DefaultNodeLossTimeout  = placer.Seconds(8)
	DefaultMaxPollInterval  = placer.Seconds(10)
	DefaultMaxStartsPerCall = 256
)

// validate returns an error for the first invalid setting.
func (c *Config) validate() error {
	if len(c.Classes) != len(c.Placer.Classes) {
		return fmt.Errorf("engine: invalid configuration: there are %d names for %d task classes", len(c.Classes), len(c.Placer.Classes))
	}
	if len(c.NodeTypes) != len(c.Placer.NodeTypes) {
		return fmt.Errorf("engine: invalid configuration: there are %d names for %d node types", len(c.NodeTypes), len(c.Placer.NodeTypes))
	}
	if c.DefaultClass < 0 || c.DefaultClass >= len(c.Classes) {
		return fmt.Errorf("engine: invalid configuration: the default task class has index %d, but there are %d task classes", c.DefaultClass, len(c.Classes))
	}
	return nil
}

// setDefaults replaces zero settings by their defaults. It also copies the share of the cluster that each
// tenant is entitled to use from Placer.Tenants to Admission.Shares.
func (c *Config) setDefaults() {
	setIfUnset(&c.HistoryEntries, DefaultHistoryEntries)
	setIfUnset(&c.MaxPods, DefaultMaxPods)
	setIfUnset(&c.MaxStartsPerCall, DefaultMaxStartsPerCall)
	setIfUnset(&c.Placer.Discovery.MaxPollInterval, DefaultMaxPollInterval)
	setIfUnset(&c.NodeLossTimeout, DefaultNodeLossTimeout)
	if c.Retry == (retry.Policy{}) {
		c.Retry = retry.DefaultPolicy()
	}
	c.Placer.Zone = 0 // nodeRegistry gives this scheduler's zone the index 0
	if c.Admission.MaxQueued == 0 {
		c.Admission = admission.DefaultConfig()
		c.Admission.Disabled = true
	}
	c.Admission.Shares = nil
	for _, tenant := range c.Placer.Tenants {
		c.Admission.Shares = append(c.Admission.Shares, tenant.Share)
	}
}

// setIfUnset gives a setting the default value unless the setting is positive.
func setIfUnset[T int | placer.Seconds](setting *T, value T) {
	if *setting <= 0 {
		*setting = value
	}
}

// classFromLabels returns the index of a task class, given the labels of a Pod or of a Pod template. The
// label wellknown.Class contains the name of the class. Without this label, the result is the index of the
// default class.
func (c *Config) classFromLabels(labels map[string]string) (int, *InvalidError) {
	name, ok := labels[wellknown.Class]
	if !ok {
		return c.DefaultClass, nil
	}
	if i := slices.Index(c.Classes, name); i >= 0 {
		return i, nil
	}
	return 0, &InvalidError{
		Field:  "spec.template.metadata.labels[" + wellknown.Class + "]",
		Detail: fmt.Sprintf("no such class; there are %v", c.Classes),
		Value:  name,
	}
}

// tenantOf returns the index of the tenant that owns a namespace, and whether Jobs may be in this
// namespace. If no tenant owns the namespace, the index is 0.
func (c *Config) tenantOf(namespace string) (int, bool) {
	for i, name := range c.Tenants {
		if name == namespace {
			return i, true
		}
	}
	return 0, len(c.Tenants) == 0 || namespace == defaultNamespace
}
