package dispatch_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
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
	record := goldentest.NewRecorder()
	for _, line := range lines {
		record.Line("%s", line)
	}
	record.Check(t, "characterization")
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

func wireMessage(kind protocol.Kind, id uint64) protocol.Message {
	return protocol.Message{Kind: kind, ID: protocol.ID(id), UID: fmt.Sprintf("%016x", id)}
}

// playScript plays one random script to its end.
func playScript(t *testing.T, shape int, seed uint64, arbitrary bool) []string {
	t.Helper()
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
		r.advance(pick[placer.Seconds](r, 0, 0.01, 0.06, 0.3, 0.5, 1.1, 1.7, 4, 9))
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

func (r *recorder) validLaunch(id uint64, extras string) protocol.Message {
	msg := wireMessage(protocol.Launch, id)
	msg.Body = pick(r, `"in"`, `"\u00e9\n"`, `""`)
	msg.Set(protocol.Class, pick(r, "query", "seats"))
	if tenant := pick(r, scriptTenants[r.shape]...); tenant != "" {
		msg.Set(protocol.Tenant, tenant)
	}
	msg.Set(protocol.Key, fmt.Sprintf("%016x", r.random.IntN(9)))
	if r.random.IntN(3) == 0 {
		msg.Set(protocol.IdempotencyKey, pick(r, "", "copy", `odd "name"`))
	}
	msg.Set(protocol.TimeLeft, pick(r, "0", "120", "900", "1000", "2e3"))
	if extras != "" {
		msg.Set(protocol.TimeLeft, pick(r, "4294967", "1000"))
	}
	msg.Set(protocol.Extras, pick(r, "cores:1;memory:1", "memory:0.5;cores:2;again:1", "cores:0.25;memory:3;zzz:9;again:0")+
		pick(r, "", ";service:0000000000000009", ";service:00000000000000AA")+extras)
	return msg
}

func (r *recorder) fromClient(msg *protocol.Message) {
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

// launchFaults spoil a valid launch message.
var launchFaults = []func(m *protocol.Message){
	func(m *protocol.Message) { m.Body = "" },
	func(m *protocol.Message) { m.Set(protocol.Class, "none") },
	func(m *protocol.Message) { m.Set(protocol.Tenant, "nobody") },
	func(m *protocol.Message) { m.Set(protocol.Key, "12") },
	func(m *protocol.Message) { m.Set(protocol.Key, "000000000000000g") },
	func(m *protocol.Message) { m.Set(protocol.TimeLeft, "-1") },
	func(m *protocol.Message) { m.Set(protocol.TimeLeft, "") },
	func(m *protocol.Message) { m.Set(protocol.TimeLeft, "NaN") },
	func(m *protocol.Message) { m.Set(protocol.TimeLeft, "16000") },
	func(m *protocol.Message) { m.Set(protocol.TimeLeft, "16001") },
	func(m *protocol.Message) { m.Set(protocol.TimeLeft, "6000") },
	func(m *protocol.Message) { m.Set(protocol.TimeLeft, "4000.5") },
	func(m *protocol.Message) { m.Set(protocol.Extras, "") },
	func(m *protocol.Message) { m.Set(protocol.Extras, "cores:1") },
	func(m *protocol.Message) { m.Set(protocol.Extras, "cores:1;memory:1;cores:1") },
	func(m *protocol.Message) { m.Set(protocol.Extras, "cores:-1;memory:1") },
	func(m *protocol.Message) { m.Set(protocol.Extras, "cores:1;memory:1e9") },
	func(m *protocol.Message) { m.Set(protocol.Extras, "cores:1;memory:1000000001") },
	func(m *protocol.Message) { m.Set(protocol.Extras, "cores:1;memory:NaN") },
	func(m *protocol.Message) { m.Set(protocol.Extras, "cores:;memory:1") },
	func(m *protocol.Message) { m.Set(protocol.Extras, "cores:1;memory:1;service:9") },
	func(m *protocol.Message) { m.Set(protocol.Extras, "cores:1;memory:1;at:") },
	func(m *protocol.Message) { m.Set(protocol.Extras, "cores:1;memory:1;at:s-77777777") },
	func(m *protocol.Message) { m.Set(protocol.Extras, "cores:1;;memory:1;at:s-00000001;") },
}

func (r *recorder) invalidLaunch() {
	r.lastID++
	id := pick(r, r.lastID, r.someID())
	msg := r.validLaunch(id, "")
	pick(r, launchFaults...)(&msg)
	r.fromClient(&msg)
}

func (r *recorder) clientMessage() {
	kind := pick(r, protocol.Stop, protocol.Stop, protocol.Stop, protocol.Stopped, protocol.Stopped,
		protocol.Check, protocol.Staging, protocol.Running, protocol.Checked, protocol.Update, protocol.Migrate,
		protocol.Kind(0))
	msg := wireMessage(kind, r.someID())
	msg.Cause, msg.HasCause = pick(r, 0, 16, 31, 41), r.random.IntN(3) > 0
	r.fromClient(&msg)
}

// send sends an attempt, possibly one that has ended meanwhile.
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

func (r *recorder) fromNode(attempt *dispatch.Attempt, msg *protocol.Message) {
	r.core.ReceiveFromNode(r.now, attempt.Node, msg)
}

// accept has the node of an attempt accept it.
func (r *recorder) accept() {
	open := r.sent
	live := slices.DeleteFunc(slices.Clone(r.sent), func(attempt *dispatch.Attempt) bool { return !attempt.Unanswered() })
	if len(live) > 0 && r.random.IntN(6) > 0 {
		open = live
	}
	if len(open) == 0 {
		return
	}
	attempt := pick(r, open...)
	msg := wireMessage(protocol.Running, uint64(attempt.Message.ID))
	msg.Body = pick(r, `"out"`, `"out"`, `"out"`, `"\t"`, "")
	r.fromNode(attempt, &msg)
}

// nodeMessage has a node send any message about any task.
func (r *recorder) nodeMessage() {
	kind := pick(r, protocol.Stop, protocol.Stop, protocol.Stop, protocol.Stop, protocol.Stop, protocol.Update,
		protocol.Update, protocol.Update, protocol.Launch, protocol.Staging, protocol.Stopped, protocol.Check,
		protocol.Checked, protocol.Migrate)
	msg := wireMessage(kind, r.someID())
	msg.Cause, msg.HasCause = pick(r, 16, 31, 34, 34, 41, 42, 47, 102, 5, 0), r.random.IntN(8) > 0
	msg.Set(protocol.Note, pick(r, "", "cpu_full", "mem_full", "busy", "wrong_host", "oom", "preempted", "drained", "other"))
	msg.Set(protocol.LoadReport, pick(r, "", "x0:1.5;x1:2", "x0:bad;x1:3", "zzz:1", "utilization:0.5;backlog:7", "x0", ";"))
	if kind == protocol.Update {
		msg.Set(protocol.Note, pick(r, "up", "cpu", "mem", "share", "tight", "", "other"))
		msg.Set(protocol.Value, pick(r, "0.5", "1", "3.75", "x", ""))
	}
	if len(r.sent) == 0 || r.random.IntN(8) == 0 {
		r.core.ReceiveFromNode(r.now, dispatch.NodeIDOf(nodeName(1+r.random.IntN(4))), &msg)
		return
	}
	among := r.sent[max(0, len(r.sent)-12):]
	live := slices.DeleteFunc(slices.Clone(r.sent), func(attempt *dispatch.Attempt) bool { return !attempt.Live() })
	if len(live) > 0 && r.random.IntN(4) > 0 {
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

// discoveryEvent delivers one discovery event, valid or not. At most one node changes with an event, since the core promises no order among
// nodes that terminate at one time; a node begins a new incarnation only if it runs at most one task, for the same reason.
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

// completeList is the last known list with one node changed or left out.
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
func (r *recorder) advance(by placer.Seconds) {
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
			t.Errorf("known %s: last event %d and %d nodes, want %d and %d", tc.known, core.LastDiscoveryEvent(), nodes, tc.last, tc.nodes)
		}
	}
}
