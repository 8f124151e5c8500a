package dispatch_test

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"heathshed/internal/dispatch"
	"heathshed/internal/platformproto"
	"heathshed/internal/simconfig"
	"heathshed/placer"
)

// goldenPath is the file of expected checkpoints, goldenUpdate the environment variable which, set to 1, writes it anew. The file is only to
// be written anew for an intended change of behaviour.
const (
	goldenPath   = "testdata/characterization.golden"
	goldenUpdate = "HEATHSHED_UPDATE_GOLDEN"
)

// TestCharacterization plays seeded scripts against the core and compares a digest of everything observable with the golden file. A digest is
// rolling: the first checkpoint that differs locates the first step that differs. It holds numbers, wire bytes and float bits only, so that it
// does not depend on names in the source. Run with HEATHSHED_UPDATE_GOLDEN=1 to write the golden file anew; a missing file is a failure.
func TestCharacterization(t *testing.T) {
	var lines []string
	for shape := range settingsShapes {
		for seed := uint64(1); seed <= 6; seed++ {
			lines = append(lines, playScript(t, shape, seed, false)...)
		}
		for seed := uint64(21); seed <= 26; seed++ {
			lines = append(lines, playScript(t, shape, seed, true)...)
		}
	}
	lines = append(lines, playDirected(t)...)
	compareGolden(t, lines)
}

func compareGolden(t *testing.T, lines []string) {
	t.Helper()
	got := strings.Join(lines, "\n") + "\n"
	if os.Getenv(goldenUpdate) == "1" {
		if err := os.WriteFile(goldenPath, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(goldenPath)
	if err != nil {
		t.Fatalf("golden file: %v", err)
	}
	expected := strings.Split(strings.TrimSuffix(string(want), "\n"), "\n")
	if len(expected) != len(lines) {
		t.Errorf("%d checkpoints, want %d", len(lines), len(expected))
	}
	for i := range min(len(expected), len(lines)) {
		if expected[i] != lines[i] {
			t.Fatalf("first difference at line %d:\n got %s\nwant %s", i+1, lines[i], expected[i])
		}
	}
}

// settingsShapes are configurations that differ in every setting the core reads, and in those that make the placer act otherwise.
var settingsShapes = []string{
	`{"discovery":"ask","me":0,"myZone":0,"peersTotal":1,"flavors":["std"],"zones":["a","b"],
 "extra":{"admitMemory":1.5,"apartBy":["none","none"],"classKind":[-1,-1],"checkAfterS":2,"coresByKind":[8],"cpuBooking":2,"freeInList":true,
  "fullUpTo":[1,0.8],"fadesOver":[1,0.2],"kindMemory":[16],"saysYes":"accepted","youngLimit":12},
 "lanes":[{"name":"query","effect":"idempotent","hardLimitS":4,"keyScope":"all","objectiveS":1,"worth":1},
  {"name":"seats","effect":"at_most_once","hardLimitS":5,"keyScope":"all","objectiveS":1,"worth":2}],
 "orgs":[{"name":"south"}],"loadReport":{"fields":["x0","x1"],"how":"answers"},
 "permissions":{"mostTries":4,"retryAfter":true,"maxRetryAfterS":3,"connectTimeoutS":0.25},
 "rules":{"answerSlackS":0.01,"askWithinS":9,"drainGraceS":0.5,"fallS":1,"warmWithinS":8}}`,
	`{"discovery":"pushed","me":1,"myZone":1,"peersTotal":3,"flavors":["std","big"],"zones":["a","b"],
 "extra":{"admitMemory":1,"apartBy":["machine","zone"],"classKind":[-1,1],"checkAfterS":0.5,"coresByKind":[8,16],"cpuBooking":1,
  "counts":"used","pushesOut":true,"precedence":[0,2],"quotaCores":[6,4],"togetherMax":[3,2],
  "fullUpTo":[1,0.8],"fadesOver":[1,0.2],"kindMemory":[16,32],"saysYes":"running","youngLimit":4},
 "lanes":[{"name":"query","effect":"deduplicated","hardLimitS":3,"keyScope":"zone","keyTtlS":2,"objectiveS":0.5,"worth":1},
  {"name":"seats","effect":"idempotent","hardLimitS":2,"keyScope":"all","objectiveS":1,"worth":3}],
 "orgs":[{"name":"south","share":1},{"name":"north","share":2}],"loadReport":{"fields":["utilization","backlog","x0"],"how":"answers"},
 "permissions":{"mostTries":2,"mayDuplicate":true,"retryAfter":true,"maxRetryAfterS":1,"connectTimeoutS":0.25},
 "tariffs":{"crossZone":0.1,"fleet":0.2,"moves":0.01},"overShareWorth":0.5,
 "rules":{"answerSlackS":0.2,"askWithinS":4,"drainGraceS":3,"fallS":1,"warmWithinS":2,"overloadFactor":2}}`,
	`{"discovery":"ask","me":0,"myZone":0,"peersTotal":2,"flavors":["std"],"zones":["a"],
 "extra":{"admitMemory":1,"bound":true,"apartBy":["cell"],"classKind":[-1],"checkAfterS":6,"coresByKind":[4],"cpuBooking":1,
  "freeInList":true,"fullUpTo":[0.9],"fadesOver":[0.5],"kindMemory":[8],"saysYes":"accepted","startBonusS":[0.5]},
 "lanes":[{"name":"query","effect":"at_most_once","hardLimitS":8,"keyScope":"machine","objectiveS":2,"worth":1},
  {"name":"seats","effect":"at_most_once","hardLimitS":1,"keyScope":"all","objectiveS":0.2,"worth":2,"lateValue":0.5}],
 "loadReport":{"fields":[],"how":"none"},
 "permissions":{"mostTries":6,"retryAfter":false,"connectTimeoutS":0.1},"tariffs":{"moves":0.001},
 "rules":{"answerSlackS":0,"askWithinS":2,"drainGraceS":10,"fallS":1,"warmWithinS":8}}`,
}

// scriptTenants are the tenant names that are valid in each of the settings shapes.
var scriptTenants = [][]string{{"south"}, {"south", "north"}, {""}}

const (
	scriptSteps     = 600
	checkpointEvery = 50
	scriptNodes     = 6
)

// recorder drives one core and digests what it does.
type recorder struct {
	t          *testing.T
	core       *dispatch.Core
	random     *rand.Rand
	digest     hash.Hash
	shape      int
	now        float64
	eventNo    int
	lastConn   dispatch.ConnID
	conns      []dispatch.ConnID
	lastID     uint64
	pending    []*dispatch.Attempt // told to be sent and not yet started
	sent       []*dispatch.Attempt // sent at some time
	states     map[int]string      // of the machines, as last told
	unordered  bool                // the order of effects is not promised by the current call
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

// arbitraryPlacer stands for the placer: it digests each event in full and answers with actions drawn at random, the rare and the senseless
// included, so that moves, attempts beyond the limit and offers that are too late occur.
type arbitraryPlacer struct {
	recorder *recorder
	tasks    []placer.TaskID
	token    uint64
}

func (p *arbitraryPlacer) Handle(now float64, event placer.Event, actions []placer.Action) []placer.Action {
	r := p.recorder
	r.float(now)
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
		return append(actions, placer.Action{Kind: placer.SetTimer, Token: p.token, After: pick(r, -1, 0, 0.2, 1.5)})
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

func (p *arbitraryPlacer) decide(now float64, task placer.TaskID) placer.Action {
	r := p.recorder
	switch r.random.IntN(16) {
	case 0:
		return placer.Action{Kind: placer.Reject, Task: task, After: pick(r, 0, 0.0001, 0.7501, 99)}
	case 1:
		return placer.Action{Kind: placer.Fail, Task: task}
	case 2:
		return placer.Action{Kind: placer.Reject, Task: task + 100000} // unknown
	}
	return placer.Action{Kind: placer.StartAttempt, Task: task, Node: dispatch.NodeIDOf(nodeName(1 + r.random.IntN(4))),
		Until: pick(r, 0, 0, now+0.25, now+0.8, now+100, now-1)}
}

// placerEvent digests all values of an event in a fixed order.
func (r *recorder) placerEvent(event *placer.Event) {
	r.number(uint64(event.Kind), uint64(event.TaskID), uint64(event.Node), uint64(event.Attempt), uint64(event.Result), uint64(event.Reason))
	r.float(event.Elapsed)
	r.flag(event.Final)
	task := &event.Task
	r.number(uint64(task.ID), uint64(task.Class), uint64(task.Tenant), uint64(task.Service))
	r.float(task.Cores)
	r.float(task.Memory)
	r.float(task.Deadline)
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
		r.float(node.StartedAt)
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

func (r *recorder) text(s string) {
	r.number(uint64(len(s)))
	r.digest.Write([]byte(s))
}

// verdict digests whether there was an error, and the word under which it is counted, not its text.
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
	r.float(r.core.NextTimer())
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
			r.float(node.StartedAt)
			r.float(node.TerminatedFor(r.now))
		}
	}
	for _, attempt := range r.sent {
		r.flag(attempt.Live())
		r.flag(attempt.Unanswered())
		r.flag(attempt.Pending())
		r.float(attempt.Age(r.now))
	}
	nodeCount := 0
	r.core.Nodes(func(*dispatch.Node) { nodeCount++ })
	r.number(uint64(nodeCount))
}

// countValues are the counters in a fixed order.
func countValues(counts *dispatch.Counts) []uint64 {
	return []uint64{counts.PlacementRequests, counts.Adopted, counts.Accepted, counts.Placed, counts.Rejected, counts.Failed, counts.Withdrawn,
		counts.Attempts, counts.Bound, counts.CapacityRejections, counts.NodeErrors, counts.ConnectFailures, counts.ConnectionsLost, counts.TimedOut, counts.Expired, counts.LateAnswers, counts.UnknownTasks,
		counts.TasksEnded, counts.Migrations, counts.TasksLost, counts.PendingNotifications, counts.ExpiredNotifications, counts.Redeliveries, counts.InvalidMessages}
}

func (r *recorder) checkpoint(step int) {
	var counts []string
	for _, v := range countValues(&r.core.Counts) {
		counts = append(counts, strconv.FormatUint(v, 10))
	}
	r.lines = append(r.lines, fmt.Sprintf("%s step %d %x counts %s", r.labelStart, step, r.digest.Sum(nil), strings.Join(counts, " ")))
}

func nodeName(i int) string { return fmt.Sprintf("s-%08x", i) }

func (r *recorder) nodeJSON(i int, state string, bootMS int64) string {
	r.states[i] = state
	return fmt.Sprintf(`{"uid":%q,"endpoint":"10.0.0.%d:%d","az":%q,"model":%q,"pod_group":%d,"state":%q,"boot_ms":%d,"open":[%d,24]}`,
		nodeName(i), i, 1+r.eventNo%3, string("ab"[i%2]), []string{"std", "big"}[i%2], i/2, state, bootMS, 4+i)
}

func discoveryEventJSON(number int, complete bool, nodes ...string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"rev":%d,"all":%v,"targets":[%s]}}`, number, number, complete, strings.Join(nodes, ","))
}

func pick[T any](r *recorder, of ...T) T { return of[r.random.IntN(len(of))] }

func wireMessage(kind platformproto.Kind, id uint64) platformproto.Message {
	return platformproto.Message{Kind: kind, ID: platformproto.ID(id), UID: fmt.Sprintf("%016x", id)}
}

// playScript plays one random script to its end.
func playScript(t *testing.T, shape int, seed uint64, arbitrary bool) []string {
	setup := &recorder{states: map[int]string{}}
	known := `{"no":1,"items":[` + discoveryEventJSON(1, true, setup.nodeJSON(1, "in_service", 0), setup.nodeJSON(2, "in_service", 0),
		setup.nodeJSON(3, "in_service", 0)) + `]}`
	r := newRecorder(t, shape, seed, known, arbitrary)
	for i := 1; i <= 3; i++ {
		r.states[i] = "in_service"
	}
	if seed%2 == 0 {
		r.core.SetDiscoveryConnected(r.now, true)
		r.observe(0)
	}
	r.openConnection()
	for step := 1; step <= scriptSteps; step++ {
		r.step()
		r.observe(step)
		if step%checkpointEvery == 0 {
			r.checkpoint(step)
		}
	}
	r.advance(70)
	r.checkpoint(scriptSteps + 1)
	return r.lines
}

// step makes one random call.
func (r *recorder) step() {
	switch r.random.IntN(30) {
	case 0, 1, 2, 3, 4, 5:
		r.launch("")
	case 6, 7, 8, 9, 10:
		r.send()
	case 11, 12, 13, 14:
		r.accept()
	case 15, 16, 17:
		r.nodeMessage()
	case 18:
		r.invalidLaunch()
	case 19:
		r.launch(";at:" + pick(r, nodeName(1), nodeName(2), nodeName(3), nodeName(4)))
	case 20, 21:
		r.clientMessage()
	case 22:
		r.connectionEvent()
	case 23, 24:
		r.discoveryEvent()
	case 25:
		r.attemptFailure()
	case 26:
		r.nodeFailure()
	case 27:
		r.core.SetDiscoveryConnected(r.now, r.random.IntN(2) == 0)
	default:
		r.advance(pick(r, 0, 0.01, 0.06, 0.3, 0.5, 1.1, 1.7, 4, 9))
	}
}

func (r *recorder) openConnection() {
	r.lastConn++
	r.core.ClientConnected(r.now, r.lastConn)
	r.conns = append(r.conns, r.lastConn)
	r.observe(0)
}

func (r *recorder) connectionEvent() {
	if len(r.conns) < 2 || len(r.conns) < 5 && r.random.IntN(2) == 0 {
		r.openConnection()
		return
	}
	i := r.random.IntN(len(r.conns))
	id := r.conns[i]
	r.conns = slices.Delete(r.conns, i, i+1)
	r.core.ClientDisconnected(r.now, id)
	if r.random.IntN(4) == 0 {
		r.core.ClientDisconnected(r.now, id) // once more
	}
}

func (r *recorder) validLaunch(id uint64, extras string) platformproto.Message {
	msg := wireMessage(platformproto.Launch, id)
	msg.Body = pick(r, `"in"`, `"\u00e9\n"`, `""`)
	msg.Set(platformproto.Class, pick(r, "query", "seats"))
	if tenant := pick(r, scriptTenants[r.shape]...); tenant != "" {
		msg.Set(platformproto.Tenant, tenant)
	}
	msg.Set(platformproto.Key, fmt.Sprintf("%016x", r.random.IntN(9)))
	if r.random.IntN(3) == 0 {
		msg.Set(platformproto.IdempotencyKey, pick(r, "", "copy", `odd "name"`))
	}
	msg.Set(platformproto.TimeLeft, pick(r, "0", "120", "900", "1000", "2e3"))
	if extras != "" {
		msg.Set(platformproto.TimeLeft, pick(r, "4294967", "1000"))
	}
	msg.Set(platformproto.Extras, pick(r, "cores:1;memory:1", "memory:0.5;cores:2;again:1", "cores:0.25;memory:3;zzz:9;again:0")+
		pick(r, "", ";service:0000000000000009", ";service:00000000000000AA")+extras)
	return msg
}

func (r *recorder) fromClient(msg *platformproto.Message) {
	conn := dispatch.ConnID(99) // never opened
	if len(r.conns) > 0 && r.random.IntN(40) > 0 {
		conn = pick(r, r.conns...)
	}
	r.verdict(r.core.ReceiveFromClient(r.now, conn, msg))
}

func (r *recorder) launch(extras string) {
	r.lastID++
	id := r.lastID
	if r.random.IntN(12) == 0 {
		id = r.someID() // perhaps in use
	}
	msg := r.validLaunch(id, extras)
	r.fromClient(&msg)
}

func (r *recorder) someID() uint64 { return 1 + r.random.Uint64N(r.lastID+1) }

// launchFaults spoil a valid set-up.
var launchFaults = []func(m *platformproto.Message){
	func(m *platformproto.Message) { m.Body = "" },
	func(m *platformproto.Message) { m.Set(platformproto.Class, "none") },
	func(m *platformproto.Message) { m.Set(platformproto.Tenant, "nobody") },
	func(m *platformproto.Message) { m.Set(platformproto.Key, "12") },
	func(m *platformproto.Message) { m.Set(platformproto.Key, "000000000000000g") },
	func(m *platformproto.Message) { m.Set(platformproto.TimeLeft, "-1") },
	func(m *platformproto.Message) { m.Set(platformproto.TimeLeft, "") },
	func(m *platformproto.Message) { m.Set(platformproto.TimeLeft, "NaN") },
	func(m *platformproto.Message) { m.Set(platformproto.TimeLeft, "16000") },
	func(m *platformproto.Message) { m.Set(platformproto.TimeLeft, "16001") },
	func(m *platformproto.Message) { m.Set(platformproto.TimeLeft, "6000") },
	func(m *platformproto.Message) { m.Set(platformproto.TimeLeft, "4000.5") },
	func(m *platformproto.Message) { m.Set(platformproto.Extras, "") },
	func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:1") },
	func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:1;memory:1;cores:1") },
	func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:-1;memory:1") },
	func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:1;memory:1e9") },
	func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:1;memory:1000000001") },
	func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:1;memory:NaN") },
	func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:;memory:1") },
	func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:1;memory:1;service:9") },
	func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:1;memory:1;at:") },
	func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:1;memory:1;at:s-77777777") },
	func(m *platformproto.Message) { m.Set(platformproto.Extras, "cores:1;;memory:1;at:s-00000001;") },
}

func (r *recorder) invalidLaunch() {
	r.lastID++
	id := pick(r, r.lastID, r.someID())
	msg := r.validLaunch(id, "")
	pick(r, launchFaults...)(&msg)
	r.fromClient(&msg)
}

func (r *recorder) clientMessage() {
	kind := pick(r, platformproto.Stop, platformproto.Stop, platformproto.Stop, platformproto.Stopped, platformproto.Stopped, platformproto.Check, platformproto.Staging, platformproto.Running, platformproto.Checked,
		platformproto.Update, platformproto.Migrate, platformproto.Kind(0))
	msg := wireMessage(kind, r.someID())
	msg.Cause, msg.HasCause = pick(r, 0, 16, 31, 41), r.random.IntN(3) > 0
	r.fromClient(&msg)
}

// send lets an offer go out, one that was ended meanwhile included.
func (r *recorder) send() {
	if len(r.pending) == 0 {
		return
	}
	i := r.random.IntN(len(r.pending))
	attempt := r.pending[i]
	r.pending = slices.Delete(r.pending, i, i+1)
	may := r.core.PrepareSend(r.now, attempt)
	r.flag(may)
	r.text(string(attempt.Message.Append(nil)))
	if may {
		r.sent = append(r.sent, attempt)
	}
}

func (r *recorder) fromNode(attempt *dispatch.Attempt, msg *platformproto.Message) {
	r.core.ReceiveFromNode(r.now, attempt.Node, msg)
}

// accept lets the machine of an open offer say that the task stands.
func (r *recorder) accept() {
	open := r.sent
	if live := slices.DeleteFunc(slices.Clone(r.sent), func(attempt *dispatch.Attempt) bool { return !attempt.Unanswered() }); len(live) > 0 && r.random.IntN(6) > 0 {
		open = live
	}
	if len(open) == 0 {
		return
	}
	attempt := pick(r, open...)
	msg := wireMessage(platformproto.Running, uint64(attempt.Message.ID))
	msg.Body = pick(r, `"out"`, `"out"`, `"out"`, `"\t"`, "")
	r.fromNode(attempt, &msg)
}

// nodeMessage has a machine say anything about anything.
func (r *recorder) nodeMessage() {
	kind := pick(r, platformproto.Stop, platformproto.Stop, platformproto.Stop, platformproto.Stop, platformproto.Stop, platformproto.Update, platformproto.Update, platformproto.Update, platformproto.Launch, platformproto.Staging,
		platformproto.Stopped, platformproto.Check, platformproto.Checked, platformproto.Migrate)
	msg := wireMessage(kind, r.someID())
	msg.Cause, msg.HasCause = pick(r, 16, 31, 34, 34, 41, 42, 47, 102, 5, 0), r.random.IntN(8) > 0
	msg.Set(platformproto.Note, pick(r, "", "cpu_full", "mem_full", "busy", "wrong_host", "oom", "preempted", "drained", "other"))
	msg.Set(platformproto.LoadReport, pick(r, "", "x0:1.5;x1:2", "x0:bad;x1:3", "zzz:1", "utilization:0.5;backlog:7", "x0", ";"))
	if kind == platformproto.Update {
		msg.Set(platformproto.Note, pick(r, "up", "cpu", "mem", "share", "tight", "", "other"))
		msg.Set(platformproto.Value, pick(r, "0.5", "1", "3.75", "x", ""))
	}
	if len(r.sent) == 0 || r.random.IntN(8) == 0 {
		r.core.ReceiveFromNode(r.now, dispatch.NodeIDOf(nodeName(1+r.random.IntN(4))), &msg)
		return
	}
	among := r.sent[max(0, len(r.sent)-12):]
	if live := slices.DeleteFunc(slices.Clone(r.sent), func(attempt *dispatch.Attempt) bool { return !attempt.Live() }); len(live) > 0 && r.random.IntN(4) > 0 {
		among = live
	}
	attempt := pick(r, among...)
	msg.UID, msg.ID = attempt.Message.UID, attempt.Message.ID
	r.fromNode(attempt, &msg)
}

func (r *recorder) attemptFailure() {
	if len(r.pending) > 0 && r.random.IntN(2) == 0 {
		r.core.ConnectFailed(r.now, pick(r, r.pending...))
	} else if len(r.sent) > 0 {
		r.core.ConnectionLost(r.now, pick(r, r.sent...))
	}
}

func (r *recorder) nodeFailure() {
	id := dispatch.NodeIDOf(nodeName(1 + r.random.IntN(scriptNodes)))
	if r.random.IntN(2) == 0 {
		r.core.NodeDead(r.now, id)
	} else {
		r.number(uint64(r.core.NodeUnresponsive(r.now, id)))
	}
}

// discoveryEvent tells one event of the bulletin, valid or not. At most one machine changes with an event, since the core promises no order among
// machines that go at one moment; a machine begins a new life only where at most one task stands, for the same reason.
func (r *recorder) discoveryEvent() {
	r.eventNo++
	i := 1 + r.random.IntN(scriptNodes)
	state := pick(r, "in_service", "in_service", "terminating", "terminated")
	var event string
	switch r.random.IntN(12) {
	case 0, 1, 2:
		event = discoveryEventJSON(r.eventNo, true, r.completeList(i, state)...)
	case 3:
		event = fmt.Sprintf(`{"no":%d}`, r.eventNo)
	case 4:
		r.eventNo--
		event = pick(r, "", "{", `{"no":-1}`, `{"no":"x"}`, discoveryEventJSON(r.eventNo, true), discoveryEventJSON(r.eventNo+2, true),
			strings.ReplaceAll(discoveryEventJSON(r.eventNo+1, false, `{"uid":"","state":"in_service"}`), "\n", ""),
			discoveryEventJSON(r.eventNo+1, false, `{"uid":"s-00000001","state":"asleep"}`))
	default:
		event = discoveryEventJSON(r.eventNo, false, r.nodeJSON(i, state, r.startTimeOf(i)))
	}
	ok, err := r.core.ReceiveDiscoveryEvent(r.now, []byte(event))
	r.flag(ok)
	r.verdict(err)
}

// startTimeOf draws a start time that ends no task of later steps: one further in the future than the core's tolerance would end several with a
// later list, in no order.
func (r *recorder) startTimeOf(i int) int64 {
	node := r.core.Node(dispatch.NodeIDOf(nodeName(i)))
	if node == nil || node.RunningTasks() > 1 {
		return 0
	}
	return pick(r, 0, 0, int64(r.now*1000), int64(r.now*1000)-1000, int64(r.now*1000)+900)
}

// completeList is the last known list with one machine changed or left out.
func (r *recorder) completeList(changed int, state string) (list []string) {
	for i := 1; i <= scriptNodes; i++ {
		switch {
		case i == changed && state == "terminated":
			delete(r.states, i)
		case i == changed:
			list = append(list, r.nodeJSON(i, state, 0))
		case r.states[i] != "":
			list = append(list, r.nodeJSON(i, r.states[i], 0))
		}
	}
	return list
}

// advance lets time pass, timer by timer or, at times, with all timers late.
func (r *recorder) advance(by float64) {
	to := r.now + by
	if r.random.IntN(5) == 0 {
		r.now = to
		r.core.Advance(r.now)
		return
	}
	for r.core.NextTimer() <= to {
		r.now = max(r.now, r.core.NextTimer())
		r.core.Advance(r.now)
		r.observe(0)
	}
	r.now = to
}

// playDirected plays short scripts that random ones seldom meet: many machines and tasks that end at one moment (in which the core promises
// no order, so effects are sorted), a configuration that cannot be used, and the bound on what is remembered.
func playDirected(t *testing.T) []string {
	var lines []string
	for shape := range settingsShapes {
		r := newRecorder(t, shape, 50, "", false)
		r.labelStart = fmt.Sprintf("directed shape %d", shape)
		r.unordered = true
		r.openConnection()
		r.core.SetDiscoveryConnected(r.now, true)
		r.listAll("in_service", 0)
		r.adoptTasks(24, 1)
		r.checkpoint(1)
		r.listAll("in_service", 1010_000) // a new life ends what stood
		r.checkpoint(2)
		r.adoptTasks(24, 101)
		r.listAll("terminated", 0)
		r.checkpoint(3)
		r.now += 1.5
		r.core.Advance(r.now)
		r.observe(0)
		r.checkpoint(4)
		r.now += 61
		r.core.Advance(r.now)
		r.observe(0)
		r.checkpoint(5)
		lines = append(lines, r.lines...)
	}
	lines = append(lines, playRedelivery(t)...)
	lines = append(lines, playAdoptionWait(t)...)
	lines = append(lines, playNewIncarnation(t)...)
	lines = append(lines, playLateStart(t)...)
	lines = append(lines, playLateAnswer(t)...)
	return append(lines, playEarlyTerminations(t)...)
}

func (r *recorder) listAll(state string, bootMS int64) {
	r.eventNo = int(r.core.LastDiscoveryEvent()) + 1
	var all []string
	for i := 1; i <= scriptNodes; i++ {
		all = append(all, r.nodeJSON(i, state, bootMS))
	}
	ok, err := r.core.ReceiveDiscoveryEvent(r.now, []byte(discoveryEventJSON(r.eventNo, false, all...)))
	r.flag(ok)
	r.verdict(err)
	r.observe(0)
}

// adoptTasks names tasks that stand already, spread over the machines.
func (r *recorder) adoptTasks(count int, first uint64) {
	for i := range count {
		msg := r.validLaunch(first+uint64(i), ";at:"+nodeName(1+i%scriptNodes))
		r.verdict(r.core.ReceiveFromClient(r.now, r.conns[0], &msg))
		r.observe(0)
	}
}

// playRedelivery has releases cross the end of their connection, with owners that confirm releases and owners that do not, at intervals
// around each time limit, and with no owner left to be told.
func playRedelivery(t *testing.T) []string {
	var lines []string
	for variant := range 24 {
		r := newRecorder(t, 0, uint64(100+variant), "", false)
		r.labelStart = fmt.Sprintf("redelivery %d", variant)
		r.openConnection()
		r.openConnection()
		r.listAll("in_service", 0)
		r.adoptTasks(6, 1)
		if variant%2 == 1 {
			confirm := wireMessage(platformproto.Stopped, 77)
			r.verdict(r.core.ReceiveFromClient(r.now, 1, &confirm))
		}
		r.endTasks(1, 4)
		r.now += []float64{0.5, 0.999, 1.001, 7.9, 8, 8.1}[variant/2%6]
		acknowledgement := wireMessage(platformproto.Stopped, 2)
		r.verdict(r.core.ReceiveFromClient(r.now, 1, &acknowledgement))
		r.core.ClientDisconnected(r.now, 1)
		if variant >= 12 {
			r.core.ClientDisconnected(r.now, 2)
		}
		r.conns = nil
		r.endTasks(5, 6)
		r.now += []float64{0.5, 7.9, 8.1}[variant%3]
		r.openConnection()
		check := wireMessage(platformproto.Check, 78)
		r.verdict(r.core.ReceiveFromClient(r.now, r.lastConn, &check))
		r.observe(0)
		r.checkpoint(1)
		lines = append(lines, r.lines...)
	}
	return lines
}

// endTasks has machines tell the end of the tasks that nameTasks named.
func (r *recorder) endTasks(first, last uint64) {
	for id := first; id <= last; id++ {
		msg := wireMessage(platformproto.Stop, id)
		msg.Cause, msg.HasCause = []int{16, 41}[id%2], true
		r.core.ReceiveFromNode(r.now, dispatch.NodeIDOf(nodeName(1+int(id-1)%scriptNodes)), &msg)
		r.observe(0)
	}
}

// playAdoptionWait has set-ups arrive while tasks that stand are still being named, up to and beyond the longest time that set-ups are held back.
func playAdoptionWait(t *testing.T) []string {
	r := newRecorder(t, 0, 300, "", false)
	r.labelStart = "handover"
	r.openConnection()
	r.openConnection()
	r.listAll("in_service", 0)
	check := wireMessage(platformproto.Check, 78)
	r.verdict(r.core.ReceiveFromClient(r.now, 1, &check))
	for i := range uint64(40) {
		r.now += 0.03
		r.core.Advance(r.now)
		r.observe(int(i))
		r.adoptTasks(1, 1000+i)
		msg := r.validLaunch(2000+i, "")
		r.verdict(r.core.ReceiveFromClient(r.now, 2, &msg))
		r.observe(int(i))
		if i%5 == 4 {
			r.checkpoint(int(i))
		}
	}
	for range 30 {
		r.now = max(r.now, min(r.core.NextTimer(), r.now+10))
		r.core.Advance(r.now)
		r.observe(0)
	}
	r.checkpoint(40)
	return r.lines
}

// playNewIncarnation lets a machine begin a new life at times around the tolerance, with one task that stands there.
func playNewIncarnation(t *testing.T) []string {
	var lines []string
	for _, after := range []int64{0, 990, 999, 1000, 1001, 1005, 1010, 1100} {
		r := newRecorder(t, 0, 400, "", false)
		r.labelStart = fmt.Sprintf("new life after %d", after)
		r.openConnection()
		r.listAll("in_service", 0)
		r.adoptTasks(1, 1)
		r.listAll("in_service", 1000_000+after)
		r.checkpoint(1)
		lines = append(lines, r.lines...)
	}
	return lines
}

// playLateStart starts offers just before, at and just after the moment until which they hold, with the timer of that moment not yet run.
func playLateStart(t *testing.T) []string {
	var lines []string
	for variant := range 30 {
		r := newRecorder(t, variant/10, uint64(500+variant), "", true)
		r.labelStart = fmt.Sprintf("late start %d", variant)
		r.openConnection()
		r.listAll("in_service", 0)
		r.launch("")
		r.observe(0)
		if due := r.core.NextTimer(); !math.IsInf(due, 1) {
			r.now = max(r.now, due+[]float64{-0.001, 0, 0.001}[variant%3])
		}
		r.send()
		r.observe(1)
		r.checkpoint(1)
		lines = append(lines, r.lines...)
	}
	return lines
}

// playLateAnswer has a machine answer around the end of the time for it, the timer of that moment not yet run, or after its connection broke;
// then the owner names the task as one that stands at that machine.
func playLateAnswer(t *testing.T) []string {
	var lines []string
	for variant := range 48 {
		r := newRecorder(t, variant/16, uint64(600+variant), "", true)
		r.labelStart = fmt.Sprintf("late answer %d", variant)
		r.openConnection()
		r.listAll("in_service", 0)
		r.launch("")
		r.observe(0)
		due := r.core.NextTimer()
		r.send()
		r.observe(1)
		if len(r.sent) > 0 {
			r.answerLate(due+[]float64{-0.001, 0.005, 0.02, 0.3}[variant%4], variant/4%2 == 1)
		}
		open, placed := r.core.ClientRequests(99)
		r.number(uint64(open))
		r.flag(placed)
		r.checkpoint(1)
		lines = append(lines, r.lines...)
	}
	return lines
}

// answerLate answers the first offer at the given time, with its connection broken before where so wanted, and names its task.
func (r *recorder) answerLate(at float64, broken bool) {
	attempt := r.sent[0]
	r.now = max(r.now, at)
	if broken {
		r.core.ConnectionLost(r.now, attempt)
		r.observe(2)
	}
	msg := wireMessage(platformproto.Running, uint64(attempt.Message.ID))
	msg.Body = `"out"`
	r.fromNode(attempt, &msg)
	r.observe(3)
	stop := wireMessage(platformproto.Stop, uint64(attempt.Message.ID))
	if len(r.pending) > 0 { // the next attempt: its owner gives the task up
		r.verdict(r.core.ReceiveFromClient(r.now, 1, &stop))
		r.observe(4)
	}
	for i := 1; i <= 4; i++ {
		if dispatch.NodeIDOf(nodeName(i)) == attempt.Node {
			adoption := r.validLaunch(uint64(attempt.Message.ID), ";at:"+nodeName(i))
			r.verdict(r.core.ReceiveFromClient(r.now, 1, &adoption))
			r.observe(5)
		}
	}
}

// playEarlyTerminations fills the memory of ends of unknown tasks and the table of tasks beyond their bounds.
func playEarlyTerminations(t *testing.T) []string {
	const beyond = 20010
	r := newRecorder(t, 0, 200, "", false)
	r.labelStart = "bounds"
	r.openConnection()
	r.listAll("in_service", 0)
	for id := uint64(1); id <= beyond; id++ {
		msg := wireMessage(platformproto.Stop, id)
		msg.Cause = 41
		r.core.ReceiveFromNode(r.now, dispatch.NodeIDOf(nodeName(1)), &msg)
	}
	for _, id := range []uint64{1, 9, 10, 11, 12, beyond} {
		msg := r.validLaunch(id, ";at:"+nodeName(1))
		r.verdict(r.core.ReceiveFromClient(r.now, 1, &msg))
		r.observe(0)
	}
	r.checkpoint(1)
	for id := uint64(beyond + 1); id <= 2*beyond; id++ {
		msg := r.validLaunch(id, ";at:"+nodeName(2))
		r.verdict(r.core.ReceiveFromClient(r.now, 1, &msg))
	}
	r.observe(0)
	r.checkpoint(2)
	return r.lines
}

// TestCharacterizationKnownEvents pins which lists of earlier events a core starts with, and the state that they leave.
func TestCharacterizationKnownEvents(t *testing.T) {
	settings, err := simconfig.Parse([]byte(settingsShapes[0]))
	if err != nil {
		t.Fatal(err)
	}
	one := `{"uid":"s-00000001","state":"in_service"}`
	for _, tc := range []struct {
		known string
		last  uint64
		nodes int
		bad   bool
	}{
		{known: ""},
		{known: "{}"},
		{known: `{"no":5}`, last: 5},
		{known: `{"no":2,"items":[` + discoveryEventJSON(7, false, one) + `]}`, last: 7, nodes: 1},
		{known: `{"no":9,"items":[{"no":3},` + discoveryEventJSON(7, true, one, strings.Replace(one, "01", "02", 1)) + `]}`, last: 9, nodes: 2},
		{known: `{"no":9,"items":[` + discoveryEventJSON(7, true, `{"uid":"","state":"in_service"}`) + `]}`, bad: true},
		{known: `{"no":9,"items":[` + discoveryEventJSON(7, true, `{"uid":"x","state":"gone"}`) + `]}`, bad: true},
		{known: `{"no":`, bad: true},
	} {
		policy, err := placer.New(settings.Placer, 1)
		if err != nil {
			t.Fatal(err)
		}
		core, err := dispatch.New(5, settings, policy, []byte(tc.known))
		if (err != nil) != tc.bad {
			t.Fatalf("known %s: error %v", tc.known, err)
		}
		if tc.bad {
			continue
		}
		nodes := 0
		core.Nodes(func(*dispatch.Node) { nodes++ })
		if core.LastDiscoveryEvent() != tc.last || nodes != tc.nodes {
			t.Errorf("known %s: last event %d and %d machines, want %d and %d", tc.known, core.LastDiscoveryEvent(), nodes, tc.last, tc.nodes)
		}
	}
}
