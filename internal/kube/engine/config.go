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
	Classes      []string // names of Placer.Classes, in the same order
	DefaultClass int      // index of the task class for tasks without the label wellknown.Class
	NodeTypes    []string // names of Placer.NodeTypes, in the same order
	Tenants      []string // namespaces of Placer.Tenants, in the same order; if empty, all namespaces are accepted
	Zone         string   // topology zone of this scheduler

	Retry     retry.Policy     // the zero value means retry.DefaultPolicy
	Admission admission.Config // the zero value admits every placement request
	Seed      uint64           // seed of the random number generator

	BaseRevision    int64 // the resource versions of stored objects are greater than this value
	HistoryEntries  int   // number of changes that each table of the store keeps for watches
	MaxHistoryBytes int64 // maximum cost of the changes kept for watches, as estimated by store.Cost; 0 means no limit
	MaxPods         int   // maximum number of stored and pending Pods; a Job that would exceed it is rejected
	MaxObjectBytes  int64 // maximum cost of stored and pending objects, as estimated by store.Cost; 0 means no limit

	// FinishedTTL is the time for which a finished Job without ttlSecondsAfterFinished is kept. 0 keeps the
	// Job until it is deleted.
	FinishedTTL placer.Seconds
	// NodeLossTimeout is the time for which a node must be both absent from the inventory and unresponsive
	// before its idempotent tasks count as lost.
	NodeLossTimeout placer.Seconds
	// MaxStartsPerCall limits the number of tasks that are started in one call. Later calls start the
	// remaining tasks.
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
		return fmt.Errorf("engine: invalid configuration: %d class names for %d task classes", len(c.Classes), len(c.Placer.Classes))
	}
	if len(c.NodeTypes) != len(c.Placer.NodeTypes) {
		return fmt.Errorf("engine: invalid configuration: %d node type names for %d node types", len(c.NodeTypes), len(c.Placer.NodeTypes))
	}
	if c.DefaultClass < 0 || c.DefaultClass >= len(c.Classes) {
		return fmt.Errorf("engine: invalid configuration: the default class has index %d, but there are %d task classes", c.DefaultClass, len(c.Classes))
	}
	return nil
}

// setDefaults replaces zero settings by their defaults, and copies the shares of the tenants to the settings
// of the admission controller.
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

// setIfUnset sets a setting that is not positive to the given value.
func setIfUnset[T int | placer.Seconds](setting *T, value T) {
	if *setting <= 0 {
		*setting = value
	}
}

// classFromLabels returns the index of the task class that the labels of a Pod template name. Without a class
// label it returns the index of the default class.
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

// tenantOf returns the index of the tenant that owns a namespace, and whether the namespace is accepted.
func (c *Config) tenantOf(namespace string) (int, bool) {
	for i, name := range c.Tenants {
		if name == namespace {
			return i, true
		}
	}
	return 0, len(c.Tenants) == 0 || namespace == defaultNamespace
}
