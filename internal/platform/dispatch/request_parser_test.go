package dispatch

import (
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// TestParseRequest checks how valid launch messages are parsed. TestInvalidRequests checks invalid launch
// messages.
func TestParseRequest(t *testing.T) {
	settings, err := simconfig.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	parser := requestParser{settings: settings}
	baseRequest := parsedRequest{task: placer.Task{Cores: 1, Memory: 1, Deadline: 101}}
	for _, test := range []struct {
		name   string
		change func(*protocol.Message)
		want   func(*parsedRequest)
	}{
		{"request has no optional fields", func(*protocol.Message) {}, func(*parsedRequest) {}},
		{"request names the second task class of the settings", setField(protocol.Class, "seats"), func(want *parsedRequest) { want.task.Class = 1 }},
		{"remaining time in the launch message is 0", setField(protocol.TimeLeft, "0"), func(want *parsedRequest) { want.task.Deadline = 100 }},
		{"remaining time in the launch message is at the limit", setField(protocol.TimeLeft, "8e3"), func(want *parsedRequest) { want.task.Deadline = 108 }},
		{"request is a retry", setField(protocol.Extras, "memory:0.5;again:1;cores:0"), func(want *parsedRequest) {
			want.task.Cores, want.task.Memory, want.task.IsRetry = 0, 0.5, true
		}},
		{"extras contain a service and a pair with an unknown name", setField(protocol.Extras, "cores:1;;x:y;memory:1;service:00000000000000aF"), func(want *parsedRequest) {
			want.task.Service = 0xaf
		}},
		{"adoption request is for a task without a planned end", func(msg *protocol.Message) {
			msg.Set(protocol.Extras, "cores:1;memory:1"+adoptionExtras(2))
			msg.Set(protocol.TimeLeft, "4294967000")
		}, func(want *parsedRequest) {
			want.adoptedFromUID, want.task.Deadline = nodeUID(2), 100+4294967
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			msg, want := launchMessage(1), baseRequest
			test.change(&msg)
			test.want(&want)

			got, err := parser.parse(100, &msg)

			if err != nil || got != want {
				t.Errorf("parse returned request %+v and error %v, want request %+v and no error", got, err, want)
			}
		})
	}
}
