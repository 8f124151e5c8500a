// Package config reads the program's settings: JSON with comments, in which every field is checked and errors name file, line and column.
// It also derives from them the configuration of the engine. What the emulators and the simulation need is derived by package labconfig.
//
// The package is pure but for Load, which reads a file.
package config

import (
	"encoding/json"
	"fmt"
	"os"
)

// Settings configure a scheduler and the emulator. Times are in seconds, memory is in GiB unless said otherwise.
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
	NodeTypes       []NodeType `json:"kinds"`
	NodePolicy      NodePolicy `json:"machines"`
	Rules           Rules      `json:"rules"`
	Costs           Costs      `json:"prices"`
	Retry           Retry      `json:"owner"`
	Admission       Admission  `json:"gate"`
	Limits          Limits     `json:"limits"`
	Emulator        Emulator   `json:"standin"`
	NodeSyncTimeout float64    `json:"heardWithin"` // how long the nodes found at the start have to list their tasks
	ConnectTimeout  float64    `json:"connectWithin"`
	ShutdownTimeout float64    `json:"stopWithin"` // for a graceful shutdown
}

// Tenant is a namespace with a quota.
type Tenant struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"` // of the cluster; all shares add up to at most 1
	Cores float64 `json:"cores"` // quota
}

// Class configures a class of tasks.
type Class struct {
	Name                string  `json:"name"`
	Idempotency         string  `json:"effect"`   // idempotent, deduplicated or at_most_once
	DedupDomain         string  `json:"keyScope"` // machine, rack, zone or all: where nodes deduplicate a task by its key
	DedupWindow         float64 `json:"keyTtl"`   // how long they do
	LatencyObjective    float64 `json:"aim"`      // for the placement of a task
	Deadline            float64 `json:"deadline"`
	Priority            int     `json:"priority"`
	Weight              float64 `json:"worth"`     // of a task that is placed within the objective
	LateWeight          float64 `json:"lateWorth"` // of one that is placed later
	StartBonus          float64 `json:"startBonus"`
	NodeType            string  `json:"nodeKind"`    // that the tasks need; "" for any
	SpreadDomain        string  `json:"apartBy"`     // none, machine, rack or zone
	MaxPerDomain        int     `json:"togetherMax"` // tasks of a service in one such domain
	SaturationThreshold float64 `json:"calmUpTo"`    // utilization of a node up to which its tasks run at full speed
	DegradationRange    float64 `json:"fadesOver"`   // utilization above that over which their speed falls
	MeanLifetime        float64 `json:"life"`        // of emulated tasks
}

// NodeType is a type of node with its resources.
type NodeType struct {
	Name   string  `json:"name"`
	Cores  float64 `json:"cores"`
	Memory float64 `json:"memory"`
}

// NodePolicy configures what holds for all nodes.
type NodePolicy struct {
	OvercommitCores     float64 `json:"bookCores"`          // factor on a node's cores
	OvercommitMemory    float64 `json:"bookMemory"`         // factor on a node's memory
	AcknowledgesOnStart bool    `json:"answersWhenRunning"` // a node answers when the task runs, not when it is accepted
	ListShowsCapacity   bool    `json:"listShowsRoom"`      // the inventory shows the free capacity of nodes
	Preempts            bool    `json:"pushesOut"`          // a node preempts tasks of lower priority
	MaxAttempts         int     `json:"maxAttempts"`        // of one placement request
}

// Rules are the parameters of the five placement rules.
type Rules struct {
	AnswerGrace      float64 `json:"answerSlack"`  // beyond a deadline, until an attempt counts as unanswered
	DrainGrace       float64 `json:"drainGrace"`   // after a drain was published, in which attempts may still arrive
	WarmupMinPace    float64 `json:"coldFrom"`     // pace of a node that has just started, as a fraction of its full pace
	WarmupDuration   float64 `json:"warmWithin"`   // until a node has its full pace
	OverloadMultiple float64 `json:"fallMultiple"` // of its pace at which a warming node is overloaded
	OverloadWindow   float64 `json:"fallWindow"`   // over which requests to a warming node are counted
	WarmupAttempts   float64 `json:"coldAlways"`   // that a warming node may always get in the window
}

// Costs weigh nodes in use, crossings between zones and migrations in the choice of a node.
type Costs struct {
	Node      float64 `json:"fleet"`
	CrossZone float64 `json:"cross"`
	Migration float64 `json:"move"`
}

// Retry configures the delays before a task is requested again.
type Retry struct {
	Delay                 float64 `json:"again"`
	ShortDelay            float64 `json:"soon"`   // after a migration or the loss of a node
	Multiplier            float64 `json:"growth"` // backoff per further failure
	MaxDelay              float64 `json:"most"`
	UnknownOutcomeTimeout float64 `json:"settle"` // until a task of unknown outcome is stopped on its node
}

// Admission configures the admission controller, which bounds the placement requests in flight and sheds the excess.
type Admission struct {
	Enabled          bool    `json:"on"`
	MinInFlight      float64 `json:"minInFlight"`
	MaxInFlight      float64 `json:"maxInFlight"`
	InitialInFlight  float64 `json:"start"`
	DecreaseFactor   float64 `json:"decrease"`
	DecreaseInterval float64 `json:"window"`
	LateFraction     float64 `json:"latePart"` // of late answers above which the limit decreases
	MaxQueued        int     `json:"maxWaiting"`
	RetryRatio       float64 `json:"retryRatio"`
	RetryRate        float64 `json:"retryRate"` // per second
	RetryBurst       float64 `json:"retryBurst"`
}

// Limits bound what the program stores and serves.
type Limits struct {
	MemoryMiB       int     `json:"memory"` // divided by package memquota
	Connections     int     `json:"connections"`
	MaxBodyBytes    int     `json:"body"`
	MaxPods         int     `json:"pods"`
	History         int     `json:"history"` // changes stored for watches
	MaxPage         int     `json:"page"`    // objects in an answer to a list request; 0 for no bound
	FinishedTTL     float64 `json:"keepFinished"`
	NodeLossTimeout float64 `json:"lostAfter"`
}

// Emulator configures the emulated nodes and the inventory of the commands up and emulate.
type Emulator struct {
	Nodes               int     `json:"nodes"`
	Racks               int     `json:"racks"`
	Zones               int     `json:"zones"`
	ReportDelay         float64 `json:"late"`         // after which the inventory shows a report
	UnresponsiveAfter   float64 `json:"silentAfter"`  // without a report, a node is shown as not ready
	RemoveAfter         float64 `json:"removeAfter"`  // without a report, a node is removed; 0 for never
	DecisionDelayMin    float64 `json:"lookMin"`      // of a node on a request
	DecisionDelayMax    float64 `json:"lookMax"`      //
	MaxQueued           int     `json:"maxWaiting"`   // requests at a node
	MaxConcurrentStarts int     `json:"startsAtOnce"` // of tasks on a node
	StartSeconds        float64 `json:"startWork"`    // of a start with the program cached, on a warm node
	UncachedStartFactor float64 `json:"freshFactor"`  // on StartSeconds without the program cached
	ProgramCacheSize    int     `json:"keepPrograms"` // programs cached on a node
	UsageMin            float64 `json:"useMin"`       // fraction of its request that a task uses
	UsageMax            float64 `json:"useMax"`
	LifetimeMean        float64 `json:"lifeMean"` // of tasks whose class gives none
	DrainGrace          float64 `json:"grace"`    // after which a draining node terminates its tasks; below 0 for never
	Seed                uint64  `json:"seed"`
}

// Load reads a settings file over the defaults and checks the result.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, text)
}

// Parse reads settings from text over the defaults and checks the result. file is only named in errors, which are of type *Error.
func Parse(file string, text []byte) (Settings, error) {
	s := Default()
	if err := Decode(file, text, &s, s.validate); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Decode reads JSON with comments from text into target, a pointer to a struct with json tags, and calls validate afterwards. Fields that the
// text does not give keep their values; a field that the struct does not have is an error. file is only named in errors, which are of type
// *Error where they have a position: a *FieldError of validate gets that of its field.
func Decode(file string, text []byte, target any, validate func() error) error {
	dec := decoder{file: file, text: text}
	if err := dec.decode(target); err != nil {
		return err
	}
	return dec.locate(validate())
}

// Text returns the settings in the form that Parse reads.
func (s *Settings) Text() ([]byte, error) { return json.MarshalIndent(s, "", "  ") }
