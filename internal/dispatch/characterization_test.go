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
	scriptMachines  = 6
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
	waiting    []*dispatch.Attempt // told to be sent and not yet started
	started    []*dispatch.Attempt // sent at some time
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
	module, err := placer.New(settings.Placer, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{t: t, random: rand.New(rand.NewPCG(seed, uint64(shape)+1)), digest: sha256.New(), shape: shape, now: 1000, eventNo: 1,
		states: map[int]string{}, labelStart: fmt.Sprintf("shape %d seed %d", shape, seed)}
	if arbitrary {
		r.core, err = dispatch.New(r.now, settings, &arbitraryModule{recorder: r}, []byte(known))
	} else {
		r.core, err = dispatch.New(r.now, settings, module, []byte(known))
	}
	if err != nil {
		t.Fatal(err)
	}
	r.observe(0)
	return r
}

// arbitraryModule stands for the placer: it digests each event in full and answers with actions drawn at random, the rare and the senseless
// included, so that moves, attempts beyond the limit and offers that are too late occur.
type arbitraryModule struct {
	recorder *recorder
	tasks    []placer.TaskID
	token    uint64
}

func (a *arbitraryModule) Handle(now float64, ev placer.Event, actions []placer.Action) []placer.Action {
	r := a.recorder
	r.float(now)
	r.placerEvent(&ev)
	switch {
	case ev.Kind == placer.Arrived:
		a.tasks = append(a.tasks, ev.TaskID)
		return append(actions, a.decide(now, ev.TaskID))
	case ev.Kind == placer.Adopted:
		a.tasks = append(a.tasks, ev.TaskID)
	case ev.Kind == placer.Ended && !ev.Final:
		if ev.Attempt > 7 {
			return append(actions, placer.Action{Kind: placer.Reject, Task: ev.TaskID})
		}
		return append(actions, a.decide(now, ev.TaskID))
	case ev.Kind == placer.Bound:
		a.token++
		return append(actions, placer.Action{Kind: placer.SetTimer, Token: a.token, After: pick(r, -1, 0, 0.2, 1.5)})
	case ev.Kind == placer.UsageReported:
		return append(actions, placer.Action{Kind: placer.Migrate, Task: ev.TaskID})
	case ev.Kind == placer.TimerFired && r.random.IntN(2) == 0:
		actions = append(actions, placer.Action{Kind: pick(r, placer.WatchNodes, placer.ListNodes)})
		if len(a.tasks) > 0 {
			recent := a.tasks[max(0, len(a.tasks)-20):]
			actions = append(actions, placer.Action{Kind: placer.Migrate, Task: pick(r, recent...)})
		}
	}
	return actions
}

func (a *arbitraryModule) decide(now float64, task placer.TaskID) placer.Action {
	r := a.recorder
	switch r.random.IntN(16) {
	case 0:
		return placer.Action{Kind: placer.Reject, Task: task, After: pick(r, 0, 0.0001, 0.7501, 99)}
	case 1:
		return placer.Action{Kind: placer.Fail, Task: task}
	case 2:
		return placer.Action{Kind: placer.Reject, Task: task + 100000} // unknown
	}
	return placer.Action{Kind: placer.StartAttempt, Task: task, Node: dispatch.NodeIDOf(machineName(1 + r.random.IntN(4))),
		Until: pick(r, 0, 0, now+0.25, now+0.8, now+100, now-1)}
}

// placerEvent digests all values of an event in a fixed order.
func (r *recorder) placerEvent(ev *placer.Event) {
	r.number(uint64(ev.Kind), uint64(ev.TaskID), uint64(ev.Node), uint64(ev.Attempt), uint64(ev.Result), uint64(ev.Reason))
	r.float(ev.Elapsed)
	r.flag(ev.Final)
	x := &ev.Task
	r.number(uint64(x.ID), uint64(x.Class), uint64(x.Tenant), uint64(x.Service))
	r.float(x.Cores)
	r.float(x.Memory)
	r.float(x.Deadline)
	r.flag(x.IsRetry)
	if r.flag(ev.Report != nil); ev.Report != nil {
		for _, v := range []float64{ev.Report.FreeCores, ev.Report.FreeMemory, ev.Report.Utilization, ev.Report.QueueLength} {
			r.flag(math.IsNaN(v))
			if !math.IsNaN(v) {
				r.float(v)
			}
		}
	}
	r.number(uint64(ev.List), uint64(len(ev.Nodes)))
	for _, n := range ev.Nodes {
		r.number(uint64(n.ID), uint64(n.Zone), uint64(n.Rack), uint64(n.NodeType), uint64(n.State))
		r.float(n.FreeCores)
		r.float(n.FreeMemory)
		r.float(n.StartedAt)
	}
	r.number(uint64(ev.Usage), ev.Token)
	r.float(ev.Value)
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
	var bad *dispatch.InvalidMessageError
	if errors.As(err, &bad) {
		r.text(bad.Kind)
		r.flag(bad.Error() == bad.Unwrap().Error())
	}
}

// encodeEffect is an effect as bytes, in the encoding of its message on the wire.
func encodeEffect(e *dispatch.Effect) []byte {
	b := []byte{byte(e.Kind)}
	b = binary.BigEndian.AppendUint64(b, uint64(e.Conn))
	if e.TimedOut {
		b = append(b, 1)
	}
	if e.Message.Kind != 0 {
		b = e.Message.Append(b)
	}
	if o := e.Attempt; o != nil {
		b = binary.BigEndian.AppendUint64(b, uint64(o.Node))
		b = binary.BigEndian.AppendUint64(b, uint64(o.Client()))
		b = o.Message.Append(b)
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
			r.waiting = append(r.waiting, e.Attempt)
		}
		if e.Kind == dispatch.ConnectNode {
			r.started = append(r.started, e.Attempt)
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
}

func (r *recorder) state() {
	r.float(r.core.NextTimer())
	r.number(countValues(&r.core.Counts)...)
	r.number(uint64(r.core.OpenRequests()), uint64(r.core.RunningTasks()), r.core.LastDiscoveryEvent())
	for _, id := range r.conns {
		open, good := r.core.ClientRequests(id)
		r.number(uint64(open))
		r.flag(good)
		r.flag(r.core.IsLastClient(id))
	}
	for i := range scriptMachines + 1 {
		n := r.core.Node(dispatch.NodeIDOf(machineName(i)))
		if r.flag(n != nil); n != nil {
			r.text(n.UID)
			r.text(n.Addr)
			r.number(uint64(n.ID), uint64(n.State), uint64(n.RunningTasks()))
			r.float(n.StartedAt)
			r.float(n.TerminatedFor(r.now))
		}
	}
	for _, o := range r.started {
		r.flag(o.Live())
		r.flag(o.Unanswered())
		r.flag(o.Pending())
		r.float(o.Age(r.now))
	}
	machines := 0
	r.core.Nodes(func(*dispatch.Node) { machines++ })
	r.number(uint64(machines))
}

// countValues are the counters in a fixed order.
func countValues(c *dispatch.Counts) []uint64 {
	return []uint64{c.PlacementRequests, c.Adopted, c.Accepted, c.Placed, c.Rejected, c.Failed, c.Withdrawn,
		c.Attempts, c.Bound, c.CapacityRejections, c.NodeErrors, c.ConnectFailures, c.ConnectionsLost, c.TimedOut, c.Expired, c.LateAnswers, c.UnknownTasks,
		c.TasksEnded, c.Migrations, c.TasksLost, c.PendingNotifications, c.ExpiredNotifications, c.Redeliveries, c.InvalidMessages}
}

func (r *recorder) checkpoint(step int) {
	var counts []string
	for _, v := range countValues(&r.core.Counts) {
		counts = append(counts, strconv.FormatUint(v, 10))
	}
	r.lines = append(r.lines, fmt.Sprintf("%s step %d %x counts %s", r.labelStart, step, r.digest.Sum(nil), strings.Join(counts, " ")))
}

func machineName(i int) string { return fmt.Sprintf("s-%08x", i) }

func (r *recorder) machine(i int, state string, bootMS int64) string {
	r.states[i] = state
	return fmt.Sprintf(`{"uid":%q,"endpoint":"10.0.0.%d:%d","az":%q,"model":%q,"pod_group":%d,"state":%q,"boot_ms":%d,"open":[%d,24]}`,
		machineName(i), i, 1+r.eventNo%3, string("ab"[i%2]), []string{"std", "big"}[i%2], i/2, state, bootMS, 4+i)
}

func rosterEvent(no int, all bool, machines ...string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"rev":%d,"all":%v,"targets":[%s]}}`, no, no, all, strings.Join(machines, ","))
}

func pick[T any](r *recorder, of ...T) T { return of[r.random.IntN(len(of))] }

func wireMessage(kind platformproto.Kind, id uint64) platformproto.Message {
	return platformproto.Message{Kind: kind, ID: platformproto.ID(id), UID: fmt.Sprintf("%016x", id)}
}

// playScript plays one random script to its end.
func playScript(t *testing.T, shape int, seed uint64, arbitrary bool) []string {
	setup := &recorder{states: map[int]string{}}
	known := `{"no":1,"items":[` + rosterEvent(1, true, setup.machine(1, "in_service", 0), setup.machine(2, "in_service", 0),
		setup.machine(3, "in_service", 0)) + `]}`
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
		r.start()
	case 11, 12, 13, 14:
		r.accept()
	case 15, 16, 17:
		r.machineMessage()
	case 18:
		r.invalidLaunch()
	case 19:
		r.launch(";at:" + pick(r, machineName(1), machineName(2), machineName(3), machineName(4)))
	case 20, 21:
		r.ownerMessage()
	case 22:
		r.connectionEvent()
	case 23, 24:
		r.bulletin()
	case 25:
		r.offerFailure()
	case 26:
		r.machineLoss()
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
	m := wireMessage(platformproto.Launch, id)
	m.Body = pick(r, `"in"`, `"\u00e9\n"`, `""`)
	m.Set(platformproto.Class, pick(r, "query", "seats"))
	if tenant := pick(r, scriptTenants[r.shape]...); tenant != "" {
		m.Set(platformproto.Tenant, tenant)
	}
	m.Set(platformproto.Key, fmt.Sprintf("%016x", r.random.IntN(9)))
	if r.random.IntN(3) == 0 {
		m.Set(platformproto.IdempotencyKey, pick(r, "", "copy", `odd "name"`))
	}
	m.Set(platformproto.Left, pick(r, "0", "120", "900", "1000", "2e3"))
	if extras != "" {
		m.Set(platformproto.Left, pick(r, "4294967", "1000"))
	}
	m.Set(platformproto.Extras, pick(r, "cores:1;memory:1", "memory:0.5;cores:2;again:1", "cores:0.25;memory:3;zzz:9;again:0")+
		pick(r, "", ";service:0000000000000009", ";service:00000000000000AA")+extras)
	return m
}

func (r *recorder) fromOwner(m *platformproto.Message) {
	conn := dispatch.ConnID(99) // never opened
	if len(r.conns) > 0 && r.random.IntN(40) > 0 {
		conn = pick(r, r.conns...)
	}
	r.verdict(r.core.ReceiveFromClient(r.now, conn, m))
}

func (r *recorder) launch(extras string) {
	r.lastID++
	id := r.lastID
	if r.random.IntN(12) == 0 {
		id = r.someID() // perhaps in use
	}
	m := r.validLaunch(id, extras)
	r.fromOwner(&m)
}

func (r *recorder) someID() uint64 { return 1 + r.random.Uint64N(r.lastID+1) }

// launchFaults spoil a valid set-up.
var launchFaults = []func(m *platformproto.Message){
	func(m *platformproto.Message) { m.Body = "" },
	func(m *platformproto.Message) { m.Set(platformproto.Class, "none") },
	func(m *platformproto.Message) { m.Set(platformproto.Tenant, "nobody") },
	func(m *platformproto.Message) { m.Set(platformproto.Key, "12") },
	func(m *platformproto.Message) { m.Set(platformproto.Key, "000000000000000g") },
	func(m *platformproto.Message) { m.Set(platformproto.Left, "-1") },
	func(m *platformproto.Message) { m.Set(platformproto.Left, "") },
	func(m *platformproto.Message) { m.Set(platformproto.Left, "NaN") },
	func(m *platformproto.Message) { m.Set(platformproto.Left, "16000") },
	func(m *platformproto.Message) { m.Set(platformproto.Left, "16001") },
	func(m *platformproto.Message) { m.Set(platformproto.Left, "6000") },
	func(m *platformproto.Message) { m.Set(platformproto.Left, "4000.5") },
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
	m := r.validLaunch(id, "")
	pick(r, launchFaults...)(&m)
	r.fromOwner(&m)
}

func (r *recorder) ownerMessage() {
	kind := pick(r, platformproto.Stop, platformproto.Stop, platformproto.Stop, platformproto.Stopped, platformproto.Stopped, platformproto.Check, platformproto.Staging, platformproto.Running, platformproto.Checked,
		platformproto.Update, platformproto.Migrate, platformproto.Kind(0))
	m := wireMessage(kind, r.someID())
	m.Reason, m.HasReason = pick(r, 0, 16, 31, 41), r.random.IntN(3) > 0
	r.fromOwner(&m)
}

// start lets an offer go out, one that was ended meanwhile included.
func (r *recorder) start() {
	if len(r.waiting) == 0 {
		return
	}
	i := r.random.IntN(len(r.waiting))
	o := r.waiting[i]
	r.waiting = slices.Delete(r.waiting, i, i+1)
	may := r.core.PrepareSend(r.now, o)
	r.flag(may)
	r.text(string(o.Message.Append(nil)))
	if may {
		r.started = append(r.started, o)
	}
}

func (r *recorder) fromNode(o *dispatch.Attempt, m *platformproto.Message) {
	r.core.ReceiveFromNode(r.now, o.Node, m)
}

// accept lets the machine of an open offer say that the task stands.
func (r *recorder) accept() {
	open := r.started
	if live := slices.DeleteFunc(slices.Clone(r.started), func(o *dispatch.Attempt) bool { return !o.Unanswered() }); len(live) > 0 && r.random.IntN(6) > 0 {
		open = live
	}
	if len(open) == 0 {
		return
	}
	o := pick(r, open...)
	m := wireMessage(platformproto.Running, uint64(o.Message.ID))
	m.Body = pick(r, `"out"`, `"out"`, `"out"`, `"\t"`, "")
	r.fromNode(o, &m)
}

// machineMessage has a machine say anything about anything.
func (r *recorder) machineMessage() {
	kind := pick(r, platformproto.Stop, platformproto.Stop, platformproto.Stop, platformproto.Stop, platformproto.Stop, platformproto.Update, platformproto.Update, platformproto.Update, platformproto.Launch, platformproto.Staging,
		platformproto.Stopped, platformproto.Check, platformproto.Checked, platformproto.Migrate)
	m := wireMessage(kind, r.someID())
	m.Reason, m.HasReason = pick(r, 16, 31, 34, 34, 41, 42, 47, 102, 5, 0), r.random.IntN(8) > 0
	m.Set(platformproto.Note, pick(r, "", "cpu_full", "mem_full", "busy", "wrong_host", "oom", "preempted", "drained", "other"))
	m.Set(platformproto.Load, pick(r, "", "x0:1.5;x1:2", "x0:bad;x1:3", "zzz:1", "utilization:0.5;backlog:7", "x0", ";"))
	if kind == platformproto.Update {
		m.Set(platformproto.Note, pick(r, "up", "cpu", "mem", "share", "tight", "", "other"))
		m.Set(platformproto.Value, pick(r, "0.5", "1", "3.75", "x", ""))
	}
	if len(r.started) == 0 || r.random.IntN(8) == 0 {
		r.core.ReceiveFromNode(r.now, dispatch.NodeIDOf(machineName(1+r.random.IntN(4))), &m)
		return
	}
	among := r.started[max(0, len(r.started)-12):]
	if live := slices.DeleteFunc(slices.Clone(r.started), func(o *dispatch.Attempt) bool { return !o.Live() }); len(live) > 0 && r.random.IntN(4) > 0 {
		among = live
	}
	o := pick(r, among...)
	m.UID, m.ID = o.Message.UID, o.Message.ID
	r.fromNode(o, &m)
}

func (r *recorder) offerFailure() {
	if len(r.waiting) > 0 && r.random.IntN(2) == 0 {
		r.core.ConnectFailed(r.now, pick(r, r.waiting...))
	} else if len(r.started) > 0 {
		r.core.ConnectionLost(r.now, pick(r, r.started...))
	}
}

func (r *recorder) machineLoss() {
	id := dispatch.NodeIDOf(machineName(1 + r.random.IntN(scriptMachines)))
	if r.random.IntN(2) == 0 {
		r.core.NodeDead(r.now, id)
	} else {
		r.number(uint64(r.core.NodeUnresponsive(r.now, id)))
	}
}

// bulletin tells one event of the bulletin, valid or not. At most one machine changes with an event, since the core promises no order among
// machines that go at one moment; a machine begins a new life only where at most one task stands, for the same reason.
func (r *recorder) bulletin() {
	r.eventNo++
	i := 1 + r.random.IntN(scriptMachines)
	state := pick(r, "in_service", "in_service", "terminating", "terminated")
	var event string
	switch r.random.IntN(12) {
	case 0, 1, 2:
		event = rosterEvent(r.eventNo, true, r.wholeList(i, state)...)
	case 3:
		event = fmt.Sprintf(`{"no":%d}`, r.eventNo)
	case 4:
		r.eventNo--
		event = pick(r, "", "{", `{"no":-1}`, `{"no":"x"}`, rosterEvent(r.eventNo, true), rosterEvent(r.eventNo+2, true),
			strings.ReplaceAll(rosterEvent(r.eventNo+1, false, `{"uid":"","state":"in_service"}`), "\n", ""),
			rosterEvent(r.eventNo+1, false, `{"uid":"s-00000001","state":"asleep"}`))
	default:
		event = rosterEvent(r.eventNo, false, r.machine(i, state, r.bootOf(i)))
	}
	ok, err := r.core.ReceiveDiscoveryEvent(r.now, []byte(event))
	r.flag(ok)
	r.verdict(err)
}

// bootOf draws a start time that ends no task of later steps: one further in the future than the core's tolerance would end several with a
// later list, in no order.
func (r *recorder) bootOf(i int) int64 {
	n := r.core.Node(dispatch.NodeIDOf(machineName(i)))
	if n == nil || n.RunningTasks() > 1 {
		return 0
	}
	return pick(r, 0, 0, int64(r.now*1000), int64(r.now*1000)-1000, int64(r.now*1000)+900)
}

// wholeList is the last known list with one machine changed or left out.
func (r *recorder) wholeList(changed int, state string) (list []string) {
	for i := 1; i <= scriptMachines; i++ {
		switch {
		case i == changed && state == "terminated":
			delete(r.states, i)
		case i == changed:
			list = append(list, r.machine(i, state, 0))
		case r.states[i] != "":
			list = append(list, r.machine(i, r.states[i], 0))
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
		r.tellAll("in_service", 0)
		r.nameTasks(24, 1)
		r.checkpoint(1)
		r.tellAll("in_service", 1010_000) // a new life ends what stood
		r.checkpoint(2)
		r.nameTasks(24, 101)
		r.tellAll("terminated", 0)
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
	lines = append(lines, playHandover(t)...)
	lines = append(lines, playNewLife(t)...)
	lines = append(lines, playLateStart(t)...)
	lines = append(lines, playLateAnswer(t)...)
	return append(lines, playRememberedEnds(t)...)
}

func (r *recorder) tellAll(state string, bootMS int64) {
	r.eventNo = int(r.core.LastDiscoveryEvent()) + 1
	var all []string
	for i := 1; i <= scriptMachines; i++ {
		all = append(all, r.machine(i, state, bootMS))
	}
	ok, err := r.core.ReceiveDiscoveryEvent(r.now, []byte(rosterEvent(r.eventNo, false, all...)))
	r.flag(ok)
	r.verdict(err)
	r.observe(0)
}

// nameTasks names tasks that stand already, spread over the machines.
func (r *recorder) nameTasks(count int, first uint64) {
	for i := range count {
		m := r.validLaunch(first+uint64(i), ";at:"+machineName(1+i%scriptMachines))
		r.verdict(r.core.ReceiveFromClient(r.now, r.conns[0], &m))
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
		r.tellAll("in_service", 0)
		r.nameTasks(6, 1)
		if variant%2 == 1 {
			confirm := wireMessage(platformproto.Stopped, 77)
			r.verdict(r.core.ReceiveFromClient(r.now, 1, &confirm))
		}
		r.endTasks(1, 4)
		r.now += []float64{0.5, 0.999, 1.001, 7.9, 8, 8.1}[variant/2%6]
		heard := wireMessage(platformproto.Stopped, 2)
		r.verdict(r.core.ReceiveFromClient(r.now, 1, &heard))
		r.core.ClientDisconnected(r.now, 1)
		if variant >= 12 {
			r.core.ClientDisconnected(r.now, 2)
		}
		r.conns = nil
		r.endTasks(5, 6)
		r.now += []float64{0.5, 7.9, 8.1}[variant%3]
		r.openConnection()
		hello := wireMessage(platformproto.Check, 78)
		r.verdict(r.core.ReceiveFromClient(r.now, r.lastConn, &hello))
		r.observe(0)
		r.checkpoint(1)
		lines = append(lines, r.lines...)
	}
	return lines
}

// endTasks has machines tell the end of the tasks that nameTasks named.
func (r *recorder) endTasks(first, last uint64) {
	for id := first; id <= last; id++ {
		m := wireMessage(platformproto.Stop, id)
		m.Reason, m.HasReason = []int{16, 41}[id%2], true
		r.core.ReceiveFromNode(r.now, dispatch.NodeIDOf(machineName(1+int(id-1)%scriptMachines)), &m)
		r.observe(0)
	}
}

// playHandover has set-ups arrive while tasks that stand are still being named, up to and beyond the longest time that set-ups are held back.
func playHandover(t *testing.T) []string {
	r := newRecorder(t, 0, 300, "", false)
	r.labelStart = "handover"
	r.openConnection()
	r.openConnection()
	r.tellAll("in_service", 0)
	hello := wireMessage(platformproto.Check, 78)
	r.verdict(r.core.ReceiveFromClient(r.now, 1, &hello))
	for i := range uint64(40) {
		r.now += 0.03
		r.core.Advance(r.now)
		r.observe(int(i))
		r.nameTasks(1, 1000+i)
		m := r.validLaunch(2000+i, "")
		r.verdict(r.core.ReceiveFromClient(r.now, 2, &m))
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

// playNewLife lets a machine begin a new life at times around the tolerance, with one task that stands there.
func playNewLife(t *testing.T) []string {
	var lines []string
	for _, after := range []int64{0, 990, 999, 1000, 1001, 1005, 1010, 1100} {
		r := newRecorder(t, 0, 400, "", false)
		r.labelStart = fmt.Sprintf("new life after %d", after)
		r.openConnection()
		r.tellAll("in_service", 0)
		r.nameTasks(1, 1)
		r.tellAll("in_service", 1000_000+after)
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
		r.tellAll("in_service", 0)
		r.launch("")
		r.observe(0)
		if due := r.core.NextTimer(); !math.IsInf(due, 1) {
			r.now = max(r.now, due+[]float64{-0.001, 0, 0.001}[variant%3])
		}
		r.start()
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
		r.tellAll("in_service", 0)
		r.launch("")
		r.observe(0)
		due := r.core.NextTimer()
		r.start()
		r.observe(1)
		if len(r.started) > 0 {
			r.answerLate(due+[]float64{-0.001, 0.005, 0.02, 0.3}[variant%4], variant/4%2 == 1)
		}
		open, good := r.core.ClientRequests(99)
		r.number(uint64(open))
		r.flag(good)
		r.checkpoint(1)
		lines = append(lines, r.lines...)
	}
	return lines
}

// answerLate answers the first offer at the given time, with its connection broken before where so wanted, and names its task.
func (r *recorder) answerLate(at float64, broken bool) {
	o := r.started[0]
	r.now = max(r.now, at)
	if broken {
		r.core.ConnectionLost(r.now, o)
		r.observe(2)
	}
	m := wireMessage(platformproto.Running, uint64(o.Message.ID))
	m.Body = `"out"`
	r.fromNode(o, &m)
	r.observe(3)
	stop := wireMessage(platformproto.Stop, uint64(o.Message.ID))
	if len(r.waiting) > 0 { // the next attempt: its owner gives the task up
		r.verdict(r.core.ReceiveFromClient(r.now, 1, &stop))
		r.observe(4)
	}
	for i := 1; i <= 4; i++ {
		if dispatch.NodeIDOf(machineName(i)) == o.Node {
			named := r.validLaunch(uint64(o.Message.ID), ";at:"+machineName(i))
			r.verdict(r.core.ReceiveFromClient(r.now, 1, &named))
			r.observe(5)
		}
	}
}

// playRememberedEnds fills the memory of ends of unknown tasks and the table of tasks beyond their bounds.
func playRememberedEnds(t *testing.T) []string {
	const beyond = 20010
	r := newRecorder(t, 0, 200, "", false)
	r.labelStart = "bounds"
	r.openConnection()
	r.tellAll("in_service", 0)
	for id := uint64(1); id <= beyond; id++ {
		m := wireMessage(platformproto.Stop, id)
		m.Reason = 41
		r.core.ReceiveFromNode(r.now, dispatch.NodeIDOf(machineName(1)), &m)
	}
	for _, id := range []uint64{1, 9, 10, 11, 12, beyond} {
		m := r.validLaunch(id, ";at:"+machineName(1))
		r.verdict(r.core.ReceiveFromClient(r.now, 1, &m))
		r.observe(0)
	}
	r.checkpoint(1)
	for id := uint64(beyond + 1); id <= 2*beyond; id++ {
		m := r.validLaunch(id, ";at:"+machineName(2))
		r.verdict(r.core.ReceiveFromClient(r.now, 1, &m))
	}
	r.observe(0)
	r.checkpoint(2)
	return r.lines
}

// TestCharacterizationKnown pins which lists of earlier events a core starts with, and the state that they leave.
func TestCharacterizationKnown(t *testing.T) {
	settings, err := simconfig.Parse([]byte(settingsShapes[0]))
	if err != nil {
		t.Fatal(err)
	}
	one := `{"uid":"s-00000001","state":"in_service"}`
	for _, c := range []struct {
		known string
		last  uint64
		nodes int
		bad   bool
	}{
		{known: ""},
		{known: "{}"},
		{known: `{"no":5}`, last: 5},
		{known: `{"no":2,"items":[` + rosterEvent(7, false, one) + `]}`, last: 7, nodes: 1},
		{known: `{"no":9,"items":[{"no":3},` + rosterEvent(7, true, one, strings.Replace(one, "01", "02", 1)) + `]}`, last: 9, nodes: 2},
		{known: `{"no":9,"items":[` + rosterEvent(7, true, `{"uid":"","state":"in_service"}`) + `]}`, bad: true},
		{known: `{"no":9,"items":[` + rosterEvent(7, true, `{"uid":"x","state":"gone"}`) + `]}`, bad: true},
		{known: `{"no":`, bad: true},
	} {
		module, err := placer.New(settings.Placer, 1)
		if err != nil {
			t.Fatal(err)
		}
		core, err := dispatch.New(5, settings, module, []byte(c.known))
		if (err != nil) != c.bad {
			t.Fatalf("known %s: error %v", c.known, err)
		}
		if c.bad {
			continue
		}
		nodes := 0
		core.Nodes(func(*dispatch.Node) { nodes++ })
		if core.LastDiscoveryEvent() != c.last || nodes != c.nodes {
			t.Errorf("known %s: last event %d and %d machines, want %d and %d", c.known, core.LastDiscoveryEvent(), nodes, c.last, c.nodes)
		}
	}
}
