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

// recorder drives one core and digests what it does.
type recorder struct {
	t          *testing.T
	core       *dispatch.Core
	random     *rand.Rand
	digest     hash.Hash
	shape      int
	now        placer.Seconds
	eventNo    int
	lastConn   dispatch.ConnID
	conns      []dispatch.ConnID
	lastID     uint64
	pending    []*dispatch.Attempt // to be sent
	sent       []*dispatch.Attempt // sent at some time
	states     map[int]string      // of the nodes, as last listed
	unordered  bool                // the current call may give its effects in any order
	lines      []string
	labelStart string
}

func newRecorder(t *testing.T, shape int, seed uint64, known string, arbitrary bool) *recorder {
	t.Helper()
	settings, err := simconfig.Parse([]byte(settingsShapes[shape]))
	if err != nil {
		t.Fatal(err)
	}
	policy, err := placer.New(settings.Placer, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{t: t, random: rand.New(rand.NewPCG(seed, uint64(shape)+1)), digest: sha256.New(), shape: shape, now: 1000, eventNo: 1,
		states: map[int]string{}, labelStart: fmt.Sprintf("shape %d seed %d", shape, seed)}
	if arbitrary {
		r.core, err = dispatch.New(r.now, settings, &arbitraryPlacer{recorder: r}, []byte(known))
	} else {
		r.core, err = dispatch.New(r.now, settings, policy, []byte(known))
	}
	if err != nil {
		t.Fatal(err)
	}
	r.observe(0)
	return r
}

// placerEvent digests all values of an event in a fixed order.
func (r *recorder) placerEvent(event *placer.Event) {
	r.number(uint64(event.Kind), uint64(event.TaskID), uint64(event.Node), uint64(event.Attempt), uint64(event.Result), uint64(event.Reason))
	r.seconds(event.Elapsed)
	r.flag(event.Final)
	task := &event.Task
	r.number(uint64(task.ID), uint64(task.Class), uint64(task.Tenant), uint64(task.Service))
	r.float(task.Cores)
	r.float(task.Memory)
	r.seconds(task.Deadline)
	r.flag(task.IsRetry)
	if r.flag(event.Report != nil); event.Report != nil {
		for _, v := range []float64{event.Report.FreeCores, event.Report.FreeMemory, event.Report.Utilization, event.Report.QueueLength} {
			r.flag(math.IsNaN(v))
			if !math.IsNaN(v) {
				r.float(v)
			}
		}
	}
	r.number(uint64(event.List), uint64(len(event.Nodes)))
	for _, node := range event.Nodes {
		r.number(uint64(node.ID), uint64(node.Zone), uint64(node.Rack), uint64(node.NodeType), uint64(node.State))
		r.float(node.FreeCores)
		r.float(node.FreeMemory)
		r.seconds(node.StartedAt)
	}
	r.number(uint64(event.Usage), event.Token)
	r.float(event.Value)
}

func (r *recorder) number(values ...uint64) {
	for _, v := range values {
		r.digest.Write(binary.BigEndian.AppendUint64(nil, v))
	}
}

func (r *recorder) flag(on bool) {
	if on {
		r.number(1)
	} else {
		r.number(0)
	}
}

func (r *recorder) float(v float64) { r.number(math.Float64bits(v)) }

func (r *recorder) seconds(v placer.Seconds) { r.float(float64(v)) }

func (r *recorder) text(s string) {
	r.number(uint64(len(s)))
	r.digest.Write([]byte(s))
}

// verdict digests whether there was an error, and the reason under which it is counted, not its text.
func (r *recorder) verdict(err error) {
	r.flag(err != nil)
	var invalid *dispatch.InvalidMessageError
	if errors.As(err, &invalid) {
		r.text(string(invalid.Reason))
		r.flag(invalid.Error() == invalid.Unwrap().Error())
	}
}

// encodeEffect is an effect as bytes, in the encoding of its message on the wire.
func encodeEffect(effect *dispatch.Effect) []byte {
	b := []byte{byte(effect.Kind)}
	b = binary.BigEndian.AppendUint64(b, uint64(effect.Conn))
	if effect.TimedOut {
		b = append(b, 1)
	}
	if effect.Message.Kind != 0 {
		b = effect.Message.Append(b)
	}
	if attempt := effect.Attempt; attempt != nil {
		b = binary.BigEndian.AppendUint64(b, uint64(attempt.Node))
		b = binary.BigEndian.AppendUint64(b, uint64(attempt.Client()))
		b = attempt.Message.Append(b)
	}
	return b
}

// observe digests the effects of a call and the state that the core shows afterwards.
func (r *recorder) observe(step int) {
	r.number(uint64(step))
	var encoded [][]byte
	for _, e := range r.core.Ready() {
		encoded = append(encoded, encodeEffect(&e))
		if e.Kind == dispatch.SendAttempt {
			r.pending = append(r.pending, e.Attempt)
		}
		if e.Kind == dispatch.ConnectNode {
			r.sent = append(r.sent, e.Attempt)
		}
	}
	if r.unordered {
		slices.SortFunc(encoded, func(a, b []byte) int { return strings.Compare(string(a), string(b)) })
	}
	r.number(uint64(len(encoded)))
	for _, b := range encoded {
		r.text(string(b))
	}
	r.state()
	if n := r.core.IllegalTransitions(); n != 0 {
		r.t.Fatalf("%s, step %d: %d illegal state transitions", r.labelStart, step, n)
	}
}

func (r *recorder) state() {
	r.seconds(r.core.NextTimer())
	r.number(countValues(&r.core.Counts)...)
	r.number(uint64(r.core.OpenRequests()), uint64(r.core.RunningTasks()), r.core.LastDiscoveryEvent())
	for _, id := range r.conns {
		open, placed := r.core.ClientRequests(id)
		r.number(uint64(open))
		r.flag(placed)
		r.flag(r.core.IsLastClient(id))
	}
	for i := range scriptNodes + 1 {
		node := r.core.Node(dispatch.NodeIDOf(nodeName(i)))
		if r.flag(node != nil); node != nil {
			r.text(node.UID)
			r.text(node.Addr)
			r.number(uint64(node.ID), uint64(node.State), uint64(node.RunningTasks()))
			r.seconds(node.StartedAt)
			r.seconds(node.TerminatedFor(r.now))
		}
	}
	for _, attempt := range r.sent {
		r.flag(attempt.Live())
		r.flag(attempt.Unanswered())
		r.flag(attempt.Pending())
		r.seconds(attempt.Age(r.now))
	}
	nodeCount := 0
	r.core.Nodes(func(*dispatch.Node) { nodeCount++ })
	r.number(uint64(nodeCount))
}

// countValues are the counters in a fixed order.
func countValues(counts *dispatch.Counts) []uint64 {
	return []uint64{counts.PlacementRequests, counts.Adopted, counts.Accepted, counts.Placed, counts.Rejected, counts.Failed, counts.Withdrawn,
		counts.Attempts, counts.Bound, counts.CapacityRejections, counts.NodeErrors, counts.ConnectFailures, counts.ConnectionsLost, counts.TimedOut,
		counts.Expired, counts.LateAnswers, counts.UnknownTasks,
		counts.TasksEnded, counts.Migrations, counts.TasksLost, counts.PendingNotifications, counts.ExpiredNotifications, counts.Redeliveries, counts.InvalidMessages}
}

func (r *recorder) checkpoint(step int) {
	if err := r.core.CheckInvariants(); err != nil {
		r.t.Fatalf("%s, step %d: %v", r.labelStart, step, err)
	}
	var counts []string
	for _, v := range countValues(&r.core.Counts) {
		counts = append(counts, strconv.FormatUint(v, 10))
	}
	r.lines = append(r.lines, fmt.Sprintf("%s step %d %x counts %s", r.labelStart, step, r.digest.Sum(nil), strings.Join(counts, " ")))
}

// arbitraryPlacer replaces the placer: it digests each event in full and answers with actions drawn at random, rare and invalid ones included, so
// that migrations, attempts beyond the limit and attempts that have expired occur.
type arbitraryPlacer struct {
	recorder *recorder
	tasks    []placer.TaskID
	token    uint64
}

func (p *arbitraryPlacer) Handle(now placer.Seconds, event placer.Event, actions []placer.Action) []placer.Action {
	r := p.recorder
	r.seconds(now)
	r.placerEvent(&event)
	switch {
	case event.Kind == placer.Arrived:
		p.tasks = append(p.tasks, event.TaskID)
		return append(actions, p.decide(now, event.TaskID))
	case event.Kind == placer.Adopted:
		p.tasks = append(p.tasks, event.TaskID)
	case event.Kind == placer.Ended && !event.Final:
		if event.Attempt > 7 {
			return append(actions, placer.Action{Kind: placer.Reject, Task: event.TaskID})
		}
		return append(actions, p.decide(now, event.TaskID))
	case event.Kind == placer.Bound:
		p.token++
		return append(actions, placer.Action{Kind: placer.SetTimer, Token: p.token, After: pick[placer.Seconds](r, -1, 0, 0.2, 1.5)})
	case event.Kind == placer.UsageReported:
		return append(actions, placer.Action{Kind: placer.Migrate, Task: event.TaskID})
	case event.Kind == placer.TimerFired && r.random.IntN(2) == 0:
		actions = append(actions, placer.Action{Kind: pick(r, placer.WatchNodes, placer.ListNodes)})
		if len(p.tasks) > 0 {
			recent := p.tasks[max(0, len(p.tasks)-20):]
			actions = append(actions, placer.Action{Kind: placer.Migrate, Task: pick(r, recent...)})
		}
	}
	return actions
}

func (p *arbitraryPlacer) decide(now placer.Seconds, task placer.TaskID) placer.Action {
	r := p.recorder
	switch r.random.IntN(16) {
	case 0:
		return placer.Action{Kind: placer.Reject, Task: task, After: pick[placer.Seconds](r, 0, 0.0001, 0.7501, 99)}
	case 1:
		return placer.Action{Kind: placer.Fail, Task: task}
	case 2:
		return placer.Action{Kind: placer.Reject, Task: task + 100000} // unknown
	}
	return placer.Action{Kind: placer.StartAttempt, Task: task, Node: dispatch.NodeIDOf(nodeName(1 + r.random.IntN(4))),
		Until: pick(r, 0, 0, now+0.25, now+0.8, now+100, now-1)}
}
