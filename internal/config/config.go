// Package config reads the settings file of the command heathshed serve. The file is JSON with comments.
// Package config checks the value of every setting, and its errors contain the file name, line and column.
// It also derives the configuration of the scheduling engine from the settings; package labconfig derives
// the configuration of the emulated nodes. The commands and the packages for experiments use package config.
//
// The package does no I/O, except that Load and LoadDocument read a file.
//
// The entry points are Settings and Load in config.go. The file decode.go decodes the text, renames.go
// replaces former names by current names, former.go lists the names of release 0.1, validate.go checks the
// values, and derive.go contains Settings.EngineConfig.
package config

import (
	"encoding/json"
	"fmt"
	"os"
)

// Settings is the configuration of a scheduler and of the emulator. Amounts of memory are in GiB, unless the
// name of the setting contains another unit.
type Settings struct {
	Name            string     `json:"name"`      // name of the scheduler, which must be a Kubernetes label value
	Listen          string     `json:"listen"`    // loopback address and port on which the scheduler serves its API
	Inventory       string     `json:"inventory"` // loopback address and port of the inventory
	Zone            string     `json:"zone"`      // topology zone in which the scheduler runs
	LogLevel        string     `json:"logLevel"`  // lowest level of logged messages: debug, info, warn or error
	Self            int        `json:"self"`      // index of this scheduler among its peers, from 0
	Peers           int        `json:"peers"`     // number of schedulers, including this one
	Tenants         []Tenant   `json:"tenants"`
	Classes         []Class    `json:"classes"`
	DefaultClass    string     `json:"defaultClass"` // name of the task class for tasks that name no class
	NodeTypes       []NodeType `json:"nodeTypes"`
	NodePolicy      NodePolicy `json:"nodePolicy"`
	Timing          Timing     `json:"timing"`
	Costs           Costs      `json:"costs"`
	Retry           Retry      `json:"retry"`
	Admission       Admission  `json:"admission"`
	Limits          Limits     `json:"limits"`
	Emulator        Emulator   `json:"emulator"`
	NodeSyncTimeout Duration   `json:"nodeSyncTimeout"` // time after the start to wait until the nodes have listed their tasks
	ConnectTimeout  Duration   `json:"connectTimeout"`  // time after which opening a connection to a node fails
	ShutdownTimeout Duration   `json:"shutdownTimeout"` // maximum duration of a graceful shutdown
}

// Tenant is a Kubernetes namespace with a quota.
type Tenant struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"` // fraction of the cluster that the tenant may use; all shares add up to at most 1
	Cores float64 `json:"cores"` // number of cores that the tenant may request in total
}

// Class is the configuration of a task class.
type Class struct {
	Name                string   `json:"name"`
	Idempotency         string   `json:"idempotency"`         // whether a task may run twice: idempotent, deduplicated or at_most_once
	DedupDomain         string   `json:"dedupDomain"`         // domain whose nodes deduplicate tasks by idempotency key: node, rack, zone or cluster
	DedupWindow         Duration `json:"dedupWindow"`         // time for which nodes remember an idempotency key
	LatencyObjective    Duration `json:"latencyObjective"`    // time after its arrival within which a task should start
	Deadline            Duration `json:"deadline"`            // time for which a client waits for the final answer to a placement request
	Priority            int      `json:"priority"`            // nodes may preempt a task in favor of a task of higher priority
	Weight              float64  `json:"weight"`              // value of one second in which a task runs at full speed
	LateWeight          float64  `json:"lateWeight"`          // value of a start after LatencyObjective relative to an earlier start
	StartBonus          float64  `json:"startBonus"`          // time in seconds at full speed that is worth as much as a start within LatencyObjective
	NodeType            string   `json:"nodeType"`            // node type that the tasks require, or "" for any node type
	SpreadDomain        string   `json:"spreadDomain"`        // domain to which MaxPerDomain applies: none, node, rack or zone
	MaxPerDomain        int      `json:"maxPerDomain"`        // maximum number of tasks of one service in one SpreadDomain
	SaturationThreshold float64  `json:"saturationThreshold"` // utilization of a node up to which its tasks run at full speed
	DegradationRange    float64  `json:"degradationRange"`    // excess over SaturationThreshold at which the speed of tasks drops to 0
	MeanLifetime        Duration `json:"meanLifetime"`        // mean lifetime of the tasks on emulated nodes; 0 means Emulator.MeanLifetime
}

// NodeType is the capacity of the nodes of one type.
type NodeType struct {
	Name   string  `json:"name"`
	Cores  float64 `json:"cores"`
	Memory float64 `json:"memory"`
}

// NodePolicy describes how all nodes behave and how the scheduler uses them.
type NodePolicy struct {
	OvercommitCores     float64 `json:"overcommitCores"`     // number of cores that tasks may request on a node, as a multiple of the cores of the node
	OvercommitMemory    float64 `json:"overcommitMemory"`    // amount of memory that tasks may request on a node, as a multiple of the memory of the node
	AcknowledgesOnStart bool    `json:"acknowledgesOnStart"` // a node acknowledges a task when the task starts, not when the node accepts it
	ListShowsCapacity   bool    `json:"listShowsCapacity"`   // the inventory contains the free capacity of each node
	Preempts            bool    `json:"preempts"`            // nodes preempt tasks of lower priority in favor of tasks of higher priority
	MaxAttempts         int     `json:"maxAttempts"`         // maximum number of attempts for one placement request
}

// Timing contains the grace periods and the limits for nodes in slow start. The keys that begin with "warmup"
// configure slow start.
type Timing struct {
	AnswerGrace      Duration `json:"answerGrace"`      // time after its deadline after which an attempt counts as unanswered
	DrainGrace       Duration `json:"drainGrace"`       // time after a node starts to drain during which attempts may still arrive
	WarmupMinPace    float64  `json:"warmupMinPace"`    // initial rate of task starts on a node, as a fraction of the full rate of the node
	WarmupDuration   Duration `json:"warmupDuration"`   // time after its start at which a node reaches its full rate of task starts
	OverloadMultiple float64  `json:"overloadMultiple"` // rate of attempts that overloads a node in slow start, as a multiple of its current rate of task starts
	OverloadWindow   Duration `json:"overloadWindow"`   // time over which the attempts on a node in slow start are counted
	WarmupAttempts   float64  `json:"warmupAttempts"`   // number of attempts by all schedulers that any node in slow start can handle in OverloadWindow
}

// Costs contains the costs that the scheduler takes into account when it selects a node. They are fractions
// of the total value of all tasks.
type Costs struct {
	Node      float64 `json:"node"`      // cost of the nodes in use that exceed the number needed
	CrossZone float64 `json:"crossZone"` // cost of running tasks outside the zone of the scheduler
	Migration float64 `json:"migration"` // cost of migrating every task once
}

// Retry contains the delays before placement of a task is requested again.
type Retry struct {
	Delay                 Duration `json:"delay"`                 // mean delay of the first retry
	ShortDelay            Duration `json:"shortDelay"`            // mean delay of a retry after a migration or after the loss of a node
	Multiplier            float64  `json:"multiplier"`            // factor by which the mean delay grows with each further retry
	MaxDelay              Duration `json:"maxDelay"`              // largest value to which Multiplier increases the mean delay
	UnknownOutcomeTimeout Duration `json:"unknownOutcomeTimeout"` // time after which a task of unknown outcome is stopped on its node
}

// Admission is the configuration of the admission controller. The controller adapts a limit on the number
// of placement requests in flight, queues further requests, and sheds the excess requests.
type Admission struct {
	Enabled          bool     `json:"enabled"`          // if false, every placement request is admitted at once
	MinInFlight      float64  `json:"minInFlight"`      // lower bound of the limit on placement requests in flight
	MaxInFlight      float64  `json:"maxInFlight"`      // upper bound of the limit on placement requests in flight
	InitialInFlight  float64  `json:"initialInFlight"`  // initial limit on placement requests in flight
	DecreaseFactor   float64  `json:"decreaseFactor"`   // factor by which a decrease multiplies the limit on placement requests in flight
	DecreaseInterval Duration `json:"decreaseInterval"` // minimum time between two decreases of the limit
	LateFraction     float64  `json:"lateFraction"`     // fraction of late placement requests above which the limit decreases
	MaxQueued        int      `json:"maxQueued"`        // maximum number of queued placement requests of all tenants
	RetryRatio       float64  `json:"retryRatio"`       // number of tokens that a placed task adds to the retry budget
	RetryRate        float64  `json:"retryRate"`        // number of tokens that are added to the retry budget per second
	RetryBurst       float64  `json:"retryBurst"`       // maximum number of tokens in the retry budget
}

// Limits contains limits on the memory, the connections and the stored objects of a scheduler.
type Limits struct {
	MemoryMiB       int      `json:"memoryMiB"`       // memory of a scheduler; package memquota divides the memory among the parts of the scheduler
	Connections     int      `json:"connections"`     // maximum number of open connections
	MaxBodyBytes    int      `json:"maxBodyBytes"`    // maximum size of the body of an HTTP request
	MaxPods         int      `json:"maxPods"`         // maximum number of Pods that are stored or have yet to be created
	History         int      `json:"history"`         // number of changes that each table of the store keeps for watches
	MaxPage         int      `json:"maxPage"`         // maximum number of objects in the response to a list request that sets no limit; 0 means no limit
	FinishedTTL     Duration `json:"finishedTTL"`     // time for which a finished Job is kept if the Job does not set ttlSecondsAfterFinished; 0 means no limit
	NodeLossTimeout Duration `json:"nodeLossTimeout"` // time after which the idempotent tasks of a missing node count as lost
}

// Document is the result of decoding a settings file.
type Document struct {
	Settings     Settings
	FormerNames  []FormerName // former names that the file uses, in the order of the file
	MigratedText []byte       // text of the file with former names replaced by current names; comments are kept
}

// Load reads a settings file and checks the settings. A setting that is absent from the file has its default.
// A list in the file replaces the whole default list.
func Load(file string) (Settings, error) {
	document, err := LoadDocument(file)
	return document.Settings, err
}

// LoadDocument reads a settings file like Load. It also returns the former names that the file uses, and the
// text of the file with current names.
func LoadDocument(file string) (Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Document{}, fmt.Errorf("settings: %w", err)
	}
	return parseDocument(file, text)
}

// Parse decodes settings from text and checks them, like Load. A setting that is absent from the text has its
// default. Errors are of type *Error and contain the argument file as the name of the file.
func Parse(file string, text []byte) (Settings, error) {
	document, err := parseDocument(file, text)
	return document.Settings, err
}

// parseDocument decodes text like Parse and returns the complete Document.
func parseDocument(file string, text []byte) (Document, error) {
	s := Default()
	dec := decoder{file: file, text: text, renames: &settingRenames}
	if err := dec.decode(&s, s.validate); err != nil {
		return Document{}, err
	}
	return Document{Settings: s, FormerNames: dec.formerNames, MigratedText: dec.document.Pack()}, nil
}

// Decode decodes JSON with comments from text into target, and then calls validate. The argument target is a
// pointer to a struct with json tags. Fields that are absent from the text keep their values, and an unknown
// field is an error. The text may use the former names that renames contains. The argument file is the name
// of the file in errors. Errors with a position are of type *Error. If validate returns a *FieldError, Decode
// returns an *Error with the position of the invalid field.
func Decode(file string, text []byte, target any, renames *Renames, validate func() error) error {
	dec := decoder{file: file, text: text, renames: renames}
	return dec.decode(target, validate)
}

// Text returns the settings as JSON text that Parse can decode.
func (s *Settings) Text() ([]byte, error) { return json.MarshalIndent(s, "", "  ") }
