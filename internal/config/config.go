// Package config reads the settings of heathshed serve: JSON with comments, in which every field is checked and errors name file, line and
// column. It also derives the configuration of the engine from them; package labconfig derives that of emulated nodes. The commands call it, and
// the packages of experiments.
//
// The package is pure except for Load and LoadDocument, which read a file.
//
// Begin reading at Settings and Load (config.go). decode.go decodes the text, renames.go translates the names of release 0.1 (former.go),
// validate.go checks the values, and derive.go has Settings.EngineConfig.
package config

import (
	"encoding/json"
	"fmt"
	"os"
)

// Settings configure a scheduler and the emulator. Memory is in GiB unless said otherwise.
type Settings struct {
	Name            string     `json:"name"`      // of the scheduler
	Listen          string     `json:"listen"`    // loopback address of the API
	Inventory       string     `json:"inventory"` // loopback address of the inventory
	Zone            string     `json:"zone"`      // of the scheduler
	LogLevel        string     `json:"logLevel"`  // debug, info, warn or error
	Self            int        `json:"self"`      // index of this scheduler among its peers
	Peers           int        `json:"peers"`     // number of schedulers, this one included
	Tenants         []Tenant   `json:"tenants"`
	Classes         []Class    `json:"classes"`
	DefaultClass    string     `json:"defaultClass"`
	NodeTypes       []NodeType `json:"nodeTypes"`
	NodePolicy      NodePolicy `json:"nodePolicy"`
	Timing          Timing     `json:"timing"`
	Costs           Costs      `json:"costs"`
	Retry           Retry      `json:"retry"`
	Admission       Admission  `json:"admission"`
	Limits          Limits     `json:"limits"`
	Emulator        Emulator   `json:"emulator"`
	NodeSyncTimeout Duration   `json:"nodeSyncTimeout"` // after the start, for the listed nodes to report their tasks
	ConnectTimeout  Duration   `json:"connectTimeout"`
	ShutdownTimeout Duration   `json:"shutdownTimeout"` // for a graceful shutdown
}

// Tenant is a namespace with a quota.
type Tenant struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"` // of the cluster; all shares add up to at most 1
	Cores float64 `json:"cores"` // quota
}

// Class configures a class of tasks.
type Class struct {
	Name                string   `json:"name"`
	Idempotency         string   `json:"idempotency"`      // idempotent, deduplicated or at_most_once
	DedupDomain         string   `json:"dedupDomain"`      // node, rack, zone or cluster: where nodes deduplicate a task by its key
	DedupWindow         Duration `json:"dedupWindow"`      // for which nodes remember a key
	LatencyObjective    Duration `json:"latencyObjective"` // for the placement of a task
	Deadline            Duration `json:"deadline"`
	Priority            int      `json:"priority"`
	Weight              float64  `json:"weight"`     // of a task that is placed within the objective
	LateWeight          float64  `json:"lateWeight"` // of a task that is placed later
	StartBonus          float64  `json:"startBonus"`
	NodeType            string   `json:"nodeType"`            // that the tasks need; "" for any
	SpreadDomain        string   `json:"spreadDomain"`        // none, node, rack or zone
	MaxPerDomain        int      `json:"maxPerDomain"`        // tasks of a service in one such domain
	SaturationThreshold float64  `json:"saturationThreshold"` // utilization of a node up to which its tasks run at full speed
	DegradationRange    float64  `json:"degradationRange"`    // utilization above that over which their speed falls
	MeanLifetime        Duration `json:"meanLifetime"`        // of emulated tasks
}

// NodeType is a type of node with its resources.
type NodeType struct {
	Name   string  `json:"name"`
	Cores  float64 `json:"cores"`
	Memory float64 `json:"memory"`
}

// NodePolicy configures the behavior and the use of all nodes.
type NodePolicy struct {
	OvercommitCores     float64 `json:"overcommitCores"`     // factor on a node's cores
	OvercommitMemory    float64 `json:"overcommitMemory"`    // factor on a node's memory
	AcknowledgesOnStart bool    `json:"acknowledgesOnStart"` // a node answers once the task runs, not once it is accepted
	ListShowsCapacity   bool    `json:"listShowsCapacity"`   // the inventory shows the free capacity of nodes
	Preempts            bool    `json:"preempts"`            // a node preempts tasks of lower priority
	MaxAttempts         int     `json:"maxAttempts"`         // of one placement request
}

// Timing configures grace periods and the slow start of nodes.
type Timing struct {
	AnswerGrace      Duration `json:"answerGrace"`      // beyond a deadline, until an attempt counts as unanswered
	DrainGrace       Duration `json:"drainGrace"`       // after a drain was published, in which attempts may still arrive
	WarmupMinPace    float64  `json:"warmupMinPace"`    // pace of a node that has just started, as a fraction of its full pace
	WarmupDuration   Duration `json:"warmupDuration"`   // until a node has its full pace
	OverloadMultiple float64  `json:"overloadMultiple"` // of its pace at which a warming node is overloaded
	OverloadWindow   Duration `json:"overloadWindow"`   // over which requests to a warming node are counted
	WarmupAttempts   float64  `json:"warmupAttempts"`   // permitted for any warming node in the window
}

// Costs are the weights of nodes in use, of placements in other zones and of migrations in the choice of a node.
type Costs struct {
	Node      float64 `json:"node"`
	CrossZone float64 `json:"crossZone"`
	Migration float64 `json:"migration"`
}

// Retry configures the delays before a task is requested again.
type Retry struct {
	Delay                 Duration `json:"delay"`
	ShortDelay            Duration `json:"shortDelay"` // after a migration or the loss of a node
	Multiplier            float64  `json:"multiplier"` // backoff per further failure
	MaxDelay              Duration `json:"maxDelay"`
	UnknownOutcomeTimeout Duration `json:"unknownOutcomeTimeout"` // until a task of unknown outcome is stopped on its node
}

// Admission configures the admission controller, which bounds the placement requests in flight and sheds the excess.
type Admission struct {
	Enabled          bool     `json:"enabled"`
	MinInFlight      float64  `json:"minInFlight"`
	MaxInFlight      float64  `json:"maxInFlight"`
	InitialInFlight  float64  `json:"initialInFlight"`
	DecreaseFactor   float64  `json:"decreaseFactor"`
	DecreaseInterval Duration `json:"decreaseInterval"`
	LateFraction     float64  `json:"lateFraction"` // of late answers above which the limit decreases
	MaxQueued        int      `json:"maxQueued"`
	RetryRatio       float64  `json:"retryRatio"`
	RetryRate        float64  `json:"retryRate"` // per second
	RetryBurst       float64  `json:"retryBurst"`
}

// Limits bound the memory, the connections and the objects of the program.
type Limits struct {
	MemoryMiB       int      `json:"memoryMiB"` // divided by package memquota
	Connections     int      `json:"connections"`
	MaxBodyBytes    int      `json:"maxBodyBytes"`
	MaxPods         int      `json:"maxPods"`
	History         int      `json:"history"` // changes stored for watches
	MaxPage         int      `json:"maxPage"` // objects in an answer to a list request; 0 for no bound
	FinishedTTL     Duration `json:"finishedTTL"`
	NodeLossTimeout Duration `json:"nodeLossTimeout"`
}

// Document is a decoded settings file.
type Document struct {
	Settings     Settings
	FormerNames  []FormerName // the former names in the file, in the order of the file
	MigratedText []byte       // the file with present names in place of former ones; comments are kept
}

// Load reads a settings file over the defaults and checks the result.
func Load(file string) (Settings, error) {
	document, err := LoadDocument(file)
	return document.Settings, err
}

// LoadDocument reads a settings file over the defaults, checks the result, and lists the former names in the file.
func LoadDocument(file string) (Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Document{}, fmt.Errorf("settings: %w", err)
	}
	return parseDocument(file, text)
}

// Parse reads settings from text over the defaults and checks the result. file is only named in errors, which are of type *Error.
func Parse(file string, text []byte) (Settings, error) {
	document, err := parseDocument(file, text)
	return document.Settings, err
}

func parseDocument(file string, text []byte) (Document, error) {
	s := Default()
	dec := decoder{file: file, text: text, renames: &formerNames}
	if err := dec.decode(&s, s.validate); err != nil {
		return Document{}, err
	}
	return Document{Settings: s, FormerNames: dec.former, MigratedText: dec.document.Pack()}, nil
}

// Decode decodes JSON with comments from text into target, a pointer to a struct with json tags, and calls validate afterwards. Fields that are
// absent from the text keep their values; an unknown field is an error. The text may use the former names of renames. file is only named in
// errors. Errors with a position are of type *Error; a *FieldError of validate gets the position of its field.
func Decode(file string, text []byte, target any, renames *Renames, validate func() error) error {
	dec := decoder{file: file, text: text, renames: renames}
	return dec.decode(target, validate)
}

// Text returns the settings in the form that Parse reads.
func (s *Settings) Text() ([]byte, error) { return json.MarshalIndent(s, "", "  ") }
