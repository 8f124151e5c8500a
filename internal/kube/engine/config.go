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
	// Name identifies this scheduler. Nodes store it with each Pod.
	Name string

	Placer       placer.Config
	Classes      []string // names of Placer.Classes, in their order
	DefaultClass int      // index of the class of tasks without the label wellknown.Class
	NodeTypes    []string // names of Placer.NodeTypes, in their order
	Tenants      []string // namespaces of Placer.Tenants, in their order; if empty, every namespace is accepted
	Zone         string   // topology zone of this scheduler

	Retry     retry.Policy     // zero means retry.DefaultPolicy
	Admission admission.Config // zero means that every request is admitted
	Seed      uint64           // of the random source

	BaseRevision    int64 // resource versions begin above this
	HistoryEntries  int   // changes kept per table of the store for watches
	MaxHistoryBytes int64 // bytes of changes kept for watches, as store.Cost counts; 0 means no limit
	MaxPods         int   // Pods stored or pending at a time; further Jobs are rejected
	MaxObjectBytes  int64 // bytes of stored and pending objects, as store.Cost counts; further Jobs are rejected; 0 means no limit

	// FinishedTTL is the time for which a finished Job without ttlSecondsAfterFinished is kept; 0 means until it is deleted.
	FinishedTTL placer.Seconds
	// NodeLossTimeout is the time for which a node may be absent from the inventory and unresponsive before its tasks count as lost.
	NodeLossTimeout placer.Seconds
	// MaxStartsPerCall limits the tasks that one call starts. The rest are started by the next calls.
	MaxStartsPerCall int
}

// Defaults for settings that a Config leaves at zero.
const (
	DefaultHistoryEntries   = 20000
	DefaultMaxPods          = 200000
	DefaultNodeLossTimeout  = placer.Seconds(8)
	DefaultMaxPollInterval  = placer.Seconds(10)
	DefaultMaxStartsPerCall = 256
)

// validate returns an error about the first invalid setting.
func (c *Config) validate() error {
	if len(c.Classes) != len(c.Placer.Classes) {
		return fmt.Errorf("engine: %d class names for %d classes", len(c.Classes), len(c.Placer.Classes))
	}
	if len(c.NodeTypes) != len(c.Placer.NodeTypes) {
		return fmt.Errorf("engine: %d node type names for %d node types", len(c.NodeTypes), len(c.Placer.NodeTypes))
	}
	if c.DefaultClass < 0 || c.DefaultClass >= len(c.Classes) {
		return fmt.Errorf("engine: default class %d of %d", c.DefaultClass, len(c.Classes))
	}
	return nil
}

// setDefaults sets the settings that are zero to their defaults, and derives the shares of the admission controller.
func (c *Config) setDefaults() {
	setIfUnset(&c.HistoryEntries, DefaultHistoryEntries)
	setIfUnset(&c.MaxPods, DefaultMaxPods)
	setIfUnset(&c.MaxStartsPerCall, DefaultMaxStartsPerCall)
	setIfUnset(&c.Placer.Discovery.MaxPollInterval, DefaultMaxPollInterval)
	setIfUnset(&c.NodeLossTimeout, DefaultNodeLossTimeout)
	if c.Retry == (retry.Policy{}) {
		c.Retry = retry.DefaultPolicy()
	}
	c.Placer.Zone = 0 // this scheduler's zone is the first that is interned
	if c.Admission.MaxQueued == 0 {
		c.Admission = admission.DefaultConfig()
		c.Admission.Disabled = true
	}
	c.Admission.Shares = nil
	for _, tenant := range c.Placer.Tenants {
		c.Admission.Shares = append(c.Admission.Shares, tenant.Share)
	}
}

func setIfUnset[T int | placer.Seconds](setting *T, value T) {
	if *setting <= 0 {
		*setting = value
	}
}

// classFromLabels returns the index of the class in the labels of a pod template, or the default class.
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

// tenantOf returns the index of a namespace's tenant, and whether the namespace is accepted.
func (c *Config) tenantOf(namespace string) (int, bool) {
	for i, name := range c.Tenants {
		if name == namespace {
			return i, true
		}
	}
	return 0, len(c.Tenants) == 0 || namespace == defaultNamespace
}
