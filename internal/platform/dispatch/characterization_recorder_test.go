package dispatch_test

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"heathshed/internal/platform/dispatch"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// scriptRecorder runs one script, which is a sequence of calls to a core, and computes a digest of the
// observable behavior of the core.
type scriptRecorder struct {
	t               *testing.T
	core            *dispatch.Core
	random          *rand.Rand
	digest          hash.Hash
	settingsIndex   int // settingsIndex is the index of the settings in settingsVariants.
	now             placer.Seconds
	eventNumber     int // eventNumber is the number of the last discovery event.
	lastConn        dispatch.ConnID
	conns           []dispatch.ConnID
	lastID          uint64              // lastID is the last ID that was assigned to a launch message.
	pendingAttempts []*dispatch.Attempt // These attempts have not been sent yet.
	// sentAttempts contains all sent attempts and the attempts of all adopted tasks, even if they have ended.
	sentAttempts []*dispatch.Attempt
	// checks contains the effects of kinds StopTask and CheckNode whose checks no node has answered yet.
	checks []dispatch.Effect
	// nodeStates maps the number of each node to the state that its last entry in a node list contains.
	nodeStates    map[int]string
	sortEffects   bool // sortEffects is set for scripts in which the order of the effects is not defined.
	recordedLines []string
	// label is the text with which each recorded line of the script begins. If it contains the word "shape",
	// the number after that word is settingsIndex.
	label string
}

func newRecorder(t *testing.T, settingsIndex int, seed uint64, initialEvents string, useRandomPlacer bool) *scriptRecorder {
	t.Helper()
	settings, err := simconfig.Parse([]byte(settingsVariants[settingsIndex]))
	if err != nil {
		t.Fatal(err)
	}
	policy, err := placer.New(settings.Placer, seed)
	if err != nil {
		t.Fatal(err)
	}
	recorder := &scriptRecorder{
		t:             t,
		random:        rand.New(rand.NewPCG(seed, uint64(settingsIndex)+1)),
		digest:        sha256.New(),
		settingsIndex: settingsIndex,
		now:           1000,
		eventNumber:   1,
		nodeStates:    map[int]string{},
		label:         fmt.Sprintf("shape %d seed %d", settingsIndex, seed),
	}
	if useRandomPlacer {
		recorder.core, err = dispatch.New(recorder.now, settings, &randomPlacer{recorder: recorder}, []byte(initialEvents))
	} else {
		recorder.core, err = dispatch.New(recorder.now, settings, policy, []byte(initialEvents))
	}
	if err != nil {
		t.Fatal(err)
	}
	recorder.digestEffectsAndState(0)
	return recorder
}

// digestEvent adds all fields of an event to the digest, in a fixed order.
func (recorder *scriptRecorder) digestEvent(event *placer.Event) {
	recorder.digestNumbers(uint64(event.Kind), uint64(event.TaskID), uint64(event.Node), uint64(event.Attempt), uint64(event.Result), uint64(event.Reason))
	recorder.digestSeconds(event.Elapsed)
	recorder.digestBool(event.Final)
	task := &event.Task
	recorder.digestNumbers(uint64(task.ID), uint64(task.Class), uint64(task.Tenant), uint64(task.Service))
	recorder.digestFloat(task.Cores)
	recorder.digestFloat(task.Memory)
	recorder.digestSeconds(task.Deadline)
	recorder.digestBool(task.IsRetry)
	if recorder.digestBool(event.Report != nil); event.Report != nil {
		report := event.Report
		for _, value := range []float64{report.FreeCores, report.FreeMemory, report.Utilization, report.QueueLength} {
			recorder.digestBool(math.IsNaN(value))
			if !math.IsNaN(value) {
				recorder.digestFloat(value)
			}
		}
	}
	recorder.digestNumbers(uint64(event.List), uint64(len(event.Nodes)))
	for _, node := range event.Nodes {
		recorder.digestNumbers(uint64(node.ID), uint64(node.Zone), uint64(node.Rack), uint64(node.NodeType), uint64(node.State))
		recorder.digestFloat(node.FreeCores)
		recorder.digestFloat(node.FreeMemory)
		recorder.digestSeconds(node.StartedAt)
	}
	recorder.digestNumbers(uint64(event.Usage), event.Token)
	recorder.digestFloat(event.Value)
}

func (recorder *scriptRecorder) digestNumbers(values ...uint64) {
	for _, value := range values {
		recorder.digest.Write(binary.BigEndian.AppendUint64(nil, value))
	}
}

func (recorder *scriptRecorder) digestBool(value bool) {
	if value {
		recorder.digestNumbers(1)
	} else {
		recorder.digestNumbers(0)
	}
}

func (recorder *scriptRecorder) digestFloat(value float64) {
	recorder.digestNumbers(math.Float64bits(value))
}

func (recorder *scriptRecorder) digestSeconds(value placer.Seconds) {
	recorder.digestFloat(float64(value))
}

func (recorder *scriptRecorder) digestText(text string) {
	recorder.digestNumbers(uint64(len(text)))
	recorder.digest.Write([]byte(text))
}

// digestError adds to the digest whether an error is not nil. For an InvalidMessageError, it also adds the
// reason of the error. It does not add the text of the error.
func (recorder *scriptRecorder) digestError(err error) {
	recorder.digestBool(err != nil)
	var invalid *dispatch.InvalidMessageError
	if errors.As(err, &invalid) {
		recorder.digestText(string(invalid.Reason))
		recorder.digestBool(invalid.Error() == invalid.Unwrap().Error())
	}
}

// nodeID returns the ID of the test node with the given number.
func nodeID(number int) placer.NodeID { return dispatch.NodeIDOf(dispatch.NodeUID(number)) }

// encodeEffect returns an effect as bytes. The messages in the effect are encoded as on the wire.
func encodeEffect(effect *dispatch.Effect) []byte {
	encoded := []byte{byte(effect.Kind)}
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(effect.Conn))
	if effect.TimedOut {
		encoded = append(encoded, 1)
	}
	if effect.Check != 0 {
		encoded = binary.BigEndian.AppendUint64(encoded, effect.Check)
	}
	if effect.Message.Kind != 0 {
		encoded = effect.Message.Append(encoded)
	}
	if attempt := effect.Attempt; attempt != nil {
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(attempt.Node))
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(attempt.ClientConn()))
		encoded = attempt.Message.Append(encoded)
	}
	return encoded
}

// digestEffectsAndState adds the number of the step, the new effects and the observable state of the core to
// the digest.
func (recorder *scriptRecorder) digestEffectsAndState(step int) {
	recorder.digestNumbers(uint64(step))
	var encodedEffects [][]byte
	for _, effect := range recorder.core.Ready() {
		encodedEffects = append(encodedEffects, encodeEffect(&effect))
		if effect.Kind == dispatch.SendAttempt {
			recorder.pendingAttempts = append(recorder.pendingAttempts, effect.Attempt)
		}
		if effect.Kind == dispatch.ConnectNode {
			recorder.sentAttempts = append(recorder.sentAttempts, effect.Attempt)
		}
		if effect.Kind == dispatch.StopTask || effect.Kind == dispatch.CheckNode {
			recorder.checks = append(recorder.checks, effect)
		}
	}
	if recorder.sortEffects {
		slices.SortFunc(encodedEffects, func(a, b []byte) int { return strings.Compare(string(a), string(b)) })
	}
	recorder.digestNumbers(uint64(len(encodedEffects)))
	for _, effect := range encodedEffects {
		recorder.digestText(string(effect))
	}
	recorder.digestState()
	if illegalTransitions := recorder.core.IllegalTransitions(); illegalTransitions != 0 {
		recorder.t.Fatalf("%s, step %d: the core made %d illegal state transitions, want 0", recorder.label, step, illegalTransitions)
	}
}

func (recorder *scriptRecorder) digestState() {
	recorder.digestSeconds(recorder.core.NextTimer())
	recorder.digestNumbers(countValues(&recorder.core.Counts)...)
	recorder.digestNumbers(uint64(recorder.core.OpenRequests()), uint64(recorder.core.RunningTasks()), recorder.core.LastDiscoveryEvent())
	for _, id := range recorder.conns {
		openCount, hasPlacedTask := recorder.core.ClientRequests(id)
		recorder.digestNumbers(uint64(openCount))
		recorder.digestBool(hasPlacedTask)
		recorder.digestBool(recorder.core.IsOnlyClient(id))
	}
	for i := range scriptNodeCount + 1 {
		node := recorder.core.Node(nodeID(i))
		if recorder.digestBool(node != nil); node != nil {
			recorder.digestText(node.UID)
			recorder.digestText(node.Addr)
			recorder.digestNumbers(uint64(node.ID), uint64(node.State), uint64(node.RunningTasks()))
			recorder.digestSeconds(node.StartedAt)
			recorder.digestSeconds(node.TerminatedFor(recorder.now))
		}
	}
	for _, attempt := range recorder.sentAttempts {
		recorder.digestBool(attempt.Live())
		recorder.digestBool(attempt.Unanswered())
		recorder.digestBool(attempt.Pending())
		recorder.digestSeconds(attempt.Age(recorder.now))
	}
	nodeCount := 0
	recorder.core.EachNode(func(*dispatch.Node) { nodeCount++ })
	recorder.digestNumbers(uint64(nodeCount))
}

// countValues returns the values of all counters of a core, in a fixed order.
func countValues(counts *dispatch.Counts) []uint64 {
	return []uint64{counts.PlacementRequests, counts.Adopted, counts.Accepted, counts.Placed, counts.Rejected, counts.Failed, counts.Withdrawn,
		counts.Attempts, counts.Bound, counts.CapacityRejections, counts.NodeErrors, counts.ConnectFailures, counts.ConnectionsLost, counts.TimedOut,
		counts.Expired, counts.LateAnswers, counts.UnknownTasks,
		counts.TasksEnded, counts.Migrations, counts.TasksLost, counts.PendingNotifications, counts.ExpiredNotifications, counts.Redeliveries,
		counts.InvalidMessages}
}

// recordCheckpoint records a line with the digest of all steps so far and the counters of the core.
func (recorder *scriptRecorder) recordCheckpoint(step int) {
	if err := recorder.core.CheckInvariants(); err != nil {
		recorder.t.Fatalf("%s, step %d: the core violates an invariant: %v", recorder.label, step, err)
	}
	var counts []string
	for _, count := range countValues(&recorder.core.Counts) {
		counts = append(counts, strconv.FormatUint(count, 10))
	}
	line := fmt.Sprintf("%s step %d %x counts %s", recorder.label, step, recorder.digest.Sum(nil), strings.Join(counts, " "))
	recorder.recordedLines = append(recorder.recordedLines, line)
}

// randomPlacer is a placer that adds each event to the digest and returns random actions, including rare and
// invalid ones. The actions lead to migrations, to expired attempts and to requests with more than the
// maximum number of attempts.
type randomPlacer struct {
	recorder *scriptRecorder
	tasks    []placer.TaskID
	token    uint64
}

func (random *randomPlacer) Handle(now placer.Seconds, event placer.Event, actions []placer.Action) []placer.Action {
	recorder := random.recorder
	recorder.digestSeconds(now)
	recorder.digestEvent(&event)
	switch {
	case event.Kind == placer.Arrived:
		random.tasks = append(random.tasks, event.TaskID)
		return append(actions, random.drawAction(now, event.TaskID))
	case event.Kind == placer.Adopted:
		random.tasks = append(random.tasks, event.TaskID)
	case event.Kind == placer.Ended && !event.Final:
		if event.Attempt > 7 {
			return append(actions, placer.Action{Kind: placer.Reject, Task: event.TaskID})
		}
		return append(actions, random.drawAction(now, event.TaskID))
	case event.Kind == placer.Bound:
		random.token++
		return append(actions, placer.Action{Kind: placer.SetTimer, Token: random.token, After: randomChoice[placer.Seconds](recorder, -1, 0, 0.2, 1.5)})
	case event.Kind == placer.UsageReported:
		return append(actions, placer.Action{Kind: placer.Migrate, Task: event.TaskID})
	case event.Kind == placer.TimerFired && recorder.random.IntN(2) == 0:
		actions = append(actions, placer.Action{Kind: randomChoice(recorder, placer.WatchNodes, placer.ListNodes)})
		if len(random.tasks) > 0 {
			recentTasks := random.tasks[max(0, len(random.tasks)-20):]
			actions = append(actions, placer.Action{Kind: placer.Migrate, Task: randomChoice(recorder, recentTasks...)})
		}
	}
	return actions
}

func (random *randomPlacer) drawAction(now placer.Seconds, task placer.TaskID) placer.Action {
	recorder := random.recorder
	switch recorder.random.IntN(16) {
	case 0:
		return placer.Action{Kind: placer.Reject, Task: task, After: randomChoice[placer.Seconds](recorder, 0, 0.0001, 0.7501, 99)}
	case 1:
		return placer.Action{Kind: placer.Fail, Task: task}
	case 2:
		return placer.Action{Kind: placer.Reject, Task: task + 100000} // No task has this ID.
	}
	return placer.Action{Kind: placer.StartAttempt, Task: task, Node: nodeID(1 + recorder.random.IntN(4)),
		Until: randomChoice(recorder, 0, 0, now+0.25, now+0.8, now+100, now-1)}
}
