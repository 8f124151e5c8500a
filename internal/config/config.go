// Package config reads the settings file of the command "heathshed serve". The file is JSON with comments.
// The package checks the value of every setting. Errors in a file are reported with the file name, line and
// column.
//
// Some settings and values have been renamed since release 0.1. A settings file may use both the former names
// of release 0.1 and the current names.
//
// The package also derives the configuration of the scheduling engine from the settings. Package labconfig
// derives the configuration of the emulated nodes. The commands of this module and the packages for
// experiments import package config.
//
// Only Load and LoadDocument do I/O: each of them reads one file.
//
// The entry points are Settings and Load in config.go. The code in decode.go decodes the text, and the code in
// renames.go replaces former names by current names. The table in former.go lists the former names. The code
// in validate.go checks the values, and derive.go contains Settings.EngineConfig.
package config

import (
	"encoding/json"
	"fmt"
	"os"
)

// Settings is the configuration of a scheduler and of the emulator. Amounts of memory are in GiB, unless the
// name of the setting contains another unit.
type Settings struct {
	Name            string     `json:"name"`      // name of the scheduler; the name must be a Kubernetes label value
	Listen          string     `json:"listen"`    // loopback address and port on which the scheduler serves its API
	Inventory       string     `json:"inventory"` // loopback address and port of the inventory, which is the server that lists the nodes
	Zone            string     `json:"zone"`      // topology zone in which the scheduler runs
	LogLevel        string     `json:"logLevel"`  // lowest level of logged messages: debug, info, warn or error
	Self            int        `json:"self"`      // index of this scheduler among its peers, from 0
	Peers           int        `json:"peers"`     // number of schedulers, including this one
	Tenants         []Tenant   `json:"tenants"`
	Classes         []Class    `json:"classes"`
	DefaultClass    string     `json:"defaultClass"` // name of the task class of tasks that do not specify a task class
	NodeTypes       []NodeType `json:"nodeTypes"`
	NodePolicy      NodePolicy `json:"nodePolicy"`
	Timing          Timing     `json:"timing"`
	Costs           Costs      `json:"costs"`
	Retry           Retry      `json:"retry"`
	Admission       Admission  `json:"admission"`
	Limits          Limits     `json:"limits"`
	Emulator        Emulator   `json:"emulator"`
	NodeSyncTimeout Duration   `json:"nodeSyncTimeout"` // maximum time that a starting scheduler waits until all nodes have listed their tasks
	ConnectTimeout  Duration   `json:"connectTimeout"`  // maximum time for opening a connection to a node
	ShutdownTimeout Duration   `json:"shutdownTimeout"` // maximum duration of a graceful shutdown
}

// Tenant is a Kubernetes namespace with a quota.
type Tenant struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"` // fraction of the cluster that the tenant may use; the shares of all tenants add up to at most 1
	Cores float64 `json:"cores"` // maximum number of cores that the tasks of the tenant may request in total
}

// Class is the configuration of a task class.
type Class struct {
	Name                string   `json:"name"`
	Idempotency         string   `json:"idempotency"`         // whether a task may run twice: idempotent, deduplicated or at_most_once
	DedupDomain         string   `json:"dedupDomain"`         // topology domain whose nodes deduplicate tasks by idempotency key: node, rack, zone or cluster
	DedupWindow         Duration `json:"dedupWindow"`         // time for which nodes remember the idempotency key of a task
	LatencyObjective    Duration `json:"latencyObjective"`    // time from the arrival of a placement request within which its task should start
	Deadline            Duration `json:"deadline"`            // time for which a client waits for the final answer to a placement request
	Priority            int      `json:"priority"`            // priority of the tasks; nodes may preempt a task in favor of a task of higher priority
	Weight              float64  `json:"weight"`              // value of one second during which a task runs at full speed
	LateWeight          float64  `json:"lateWeight"`          // value of a task start after LatencyObjective, as a fraction of the value of a start within LatencyObjective
	StartBonus          float64  `json:"startBonus"`          // number of seconds at full speed that have the same value as a task start within LatencyObjective
	NodeType            string   `json:"nodeType"`            // node type that the tasks require, or "" for any node type
	SpreadDomain        string   `json:"spreadDomain"`        // topology domain to which MaxPerDomain applies: none, node, rack or zone
	MaxPerDomain        int      `json:"maxPerDomain"`        // maximum number of tasks of one service in one topology domain of the kind SpreadDomain
	SaturationThreshold float64  `json:"saturationThreshold"` // highest utilization of the cores of a node at which the tasks on the node run at full speed
	DegradationRange    float64  `json:"degradationRange"`    // increase of the utilization above SaturationThreshold at which the speed of the tasks reaches 0
	MeanLifetime        Duration `json:"meanLifetime"`        // mean lifetime of the tasks on emulated nodes; if it is 0, Emulator.MeanLifetime applies
}

// NodeType is the name of a node type and the capacity of each node of this type.
type NodeType struct {
	Name   string  `json:"name"`
	Cores  float64 `json:"cores"`  // number of cores of a node
	Memory float64 `json:"memory"` // memory of a node, in GiB
}

// NodePolicy describes how all nodes behave and how the scheduler uses them.
type NodePolicy struct {
	OvercommitCores     float64 `json:"overcommitCores"`     // maximum number of cores that the tasks on a node may request, as a multiple of the cores of the node
	OvercommitMemory    float64 `json:"overcommitMemory"`    // maximum amount of memory that the tasks on a node may request, as a multiple of the memory of the node
	AcknowledgesOnStart bool    `json:"acknowledgesOnStart"` // if true, a node acknowledges a task when the task starts, not when the node accepts the task
	ListShowsCapacity   bool    `json:"listShowsCapacity"`   // if true, the node list of the inventory contains the free capacity of each node
	Preempts            bool    `json:"preempts"`            // if true, nodes preempt tasks of lower priority in favor of tasks of higher priority
	MaxAttempts         int     `json:"maxAttempts"`         // maximum number of attempts for one placement request
}

// Timing contains grace periods, and the limits on attempts for nodes in slow start. In the names of the
// settings, the word warmup means slow start.
type Timing struct {
	AnswerGrace      Duration `json:"answerGrace"`      // time from the deadline of an attempt until the attempt counts as unanswered
	DrainGrace       Duration `json:"drainGrace"`       // time from the start of a drain during which attempts may still arrive at the draining node
	WarmupMinPace    float64  `json:"warmupMinPace"`    // rate of task starts on a node that has just started, as a fraction of the full rate of the node
	WarmupDuration   Duration `json:"warmupDuration"`   // time from the start of a node until the node reaches its full rate of task starts
	OverloadMultiple float64  `json:"overloadMultiple"` // rate of attempts that overloads a node in slow start, as a multiple of its current rate of task starts
	OverloadWindow   Duration `json:"overloadWindow"`   // length of the time window in which the attempts on a node in slow start are counted
	WarmupAttempts   float64  `json:"warmupAttempts"`   // number of attempts per OverloadWindow, by all schedulers together, that every node in slow start can handle
}

// Costs contains the costs that the scheduler takes into account when it selects a node. Each cost is a
// fraction of the total value of all tasks.
type Costs struct {
	Node      float64 `json:"node"`      // cost of the nodes in use beyond the number that the tasks need
	CrossZone float64 `json:"crossZone"` // cost of running tasks outside the zone of the scheduler
	Migration float64 `json:"migration"` // cost of migrating every task once
}

// Retry contains the delays of retries and the timeout for unknown outcomes. A retry is a further placement
// request for the same task.
type Retry struct {
	Delay                 Duration `json:"delay"`                 // mean delay of the first retry
	ShortDelay            Duration `json:"shortDelay"`            // mean delay of a retry after a migration or after the loss of a node
	Multiplier            float64  `json:"multiplier"`            // factor by which each further retry multiplies the mean delay
	MaxDelay              Duration `json:"maxDelay"`              // maximum value to which Multiplier increases the mean delay
	UnknownOutcomeTimeout Duration `json:"unknownOutcomeTimeout"` // time after which the scheduler stops a task on its node if the outcome of the attempt is still unknown
}

// Admission is the configuration of the admission controller. The admission controller adapts a limit on the
// number of placement requests in flight. It queues further placement requests, and sheds placement requests
// if there are too many. An admitted placement request counts as late if its task is not placed, or if the
// request completes more than half of its latency objective after its admission. Each admitted retry takes one
// token from the retry budget.
type Admission struct {
	Enabled          bool     `json:"enabled"`          // if false, every placement request is admitted at once
	MinInFlight      float64  `json:"minInFlight"`      // lower bound of the limit on placement requests in flight
	MaxInFlight      float64  `json:"maxInFlight"`      // upper bound of the limit on placement requests in flight
	InitialInFlight  float64  `json:"initialInFlight"`  // initial limit on placement requests in flight
	DecreaseFactor   float64  `json:"decreaseFactor"`   // factor by which a decrease multiplies the limit on placement requests in flight
	DecreaseInterval Duration `json:"decreaseInterval"` // minimum time between two decreases of the limit on placement requests in flight
	LateFraction     float64  `json:"lateFraction"`     // fraction of late placement requests above which the limit on placement requests in flight decreases
	MaxQueued        int      `json:"maxQueued"`        // maximum number of queued placement requests of all tenants together
	RetryRatio       float64  `json:"retryRatio"`       // number of tokens that are added to the retry budget for each placed task
	RetryRate        float64  `json:"retryRate"`        // number of tokens that are added to the retry budget per second
	RetryBurst       float64  `json:"retryBurst"`       // maximum number of tokens in the retry budget
}

// Limits contains limits on the memory, the connections and the stored objects of a scheduler.
type Limits struct {
	MemoryMiB       int      `json:"memoryMiB"`       // memory of a scheduler in MiB; package memquota divides this memory among the parts of the scheduler
	Connections     int      `json:"connections"`     // maximum number of open connections of a scheduler
	MaxBodyBytes    int      `json:"maxBodyBytes"`    // maximum size of the body of an HTTP request
	MaxPods         int      `json:"maxPods"`         // maximum number of Pods, including the Pods that have yet to be created
	History         int      `json:"history"`         // number of changes that each table of the object store keeps for watches
	MaxPage         int      `json:"maxPage"`         // maximum number of objects in the response to a list request that sets no limit; 0 means no limit
	FinishedTTL     Duration `json:"finishedTTL"`     // time for which a finished Job is kept if the Job does not set ttlSecondsAfterFinished; 0 means no limit
	NodeLossTimeout Duration `json:"nodeLossTimeout"` // time after which the idempotent tasks of an unresponsive node that left the inventory count as lost
}

// Document is the result of decoding a settings file.
type Document struct {
	Settings     Settings
	FormerNames  []FormerName // former names that occur in the file, in the order of their occurrence
	MigratedText []byte       // text of the file with former names replaced by current names; comments are kept
}

// Load reads a settings file and checks the settings. A setting that is absent from the file has its default
// value. A list in the file replaces the whole default list.
func Load(file string) (Settings, error) {
	document, err := LoadDocument(file)
	return document.Settings, err
}

// LoadDocument reads and checks a settings file like Load. It also returns the former names that occur in the
// file, and the text of the file after the replacement of all former names by current names.
func LoadDocument(file string) (Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Document{}, fmt.Errorf("settings: %w", err)
	}
	return parseDocument(file, text)
}

// Parse decodes settings from the given text and checks them like Load, without reading a file. A setting that
// is absent from the text has its default value. Errors are of type *Error, and their field File is set to the
// value of the parameter "file".
func Parse(file string, text []byte) (Settings, error) {
	document, err := parseDocument(file, text)
	return document.Settings, err
}

// parseDocument decodes and checks the given text like Parse, and returns the complete Document.
func parseDocument(file string, text []byte) (Document, error) {
	s := Default()
	dec := decoder{file: file, text: text, renames: &settingRenames}
	if err := dec.decode(&s, s.validate); err != nil {
		return Document{}, err
	}
	return Document{Settings: s, FormerNames: dec.formerNames, MigratedText: dec.document.Pack()}, nil
}

// Decode decodes JSON with comments from the given text into the struct to which target points, and then calls
// the function validate. The fields of the struct must have json tags. Fields that are absent from the text
// keep their values, and an unknown field is an error. The text may use the former names that are listed in
// renames. The parameter "file" is the file name in error messages. Errors with a position are of type *Error.
// If the function validate returns a *FieldError, Decode returns an *Error with the position of the invalid
// field.
func Decode(file string, text []byte, target any, renames *Renames, validate func() error) error {
	dec := decoder{file: file, text: text, renames: renames}
	return dec.decode(target, validate)
}

// Text returns the settings as JSON. Parse can decode the result.
func (s *Settings) Text() ([]byte, error) { return json.MarshalIndent(s, "", "  ") }
