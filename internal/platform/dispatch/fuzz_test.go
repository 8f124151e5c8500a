package dispatch

import (
	"strings"
	"testing"

	"heathshed/internal/platform/protocol"
)

// FuzzMessages checks that arbitrary messages of clients and nodes cause no panic. After all nodes have
// exited and all retention times have passed, the core must contain no request and no attempt.
func FuzzMessages(f *testing.F) {
	f.Add(strings.Join([]string{
		`{"kind":"launch","uid":"0000000000000001","meta":{"class":"query","left":900,"tenant":"south","key":"0000000000000001",` +
			`"extras":"cores:1;memory:1;at:s-00000001"},"body":"x"}`,
		`{"kind":"running","uid":"0000000000000001","body":"y"}`,
		`{"kind":"stop","uid":"0000000000000001","meta":{"load":"x0:1e999;:;x1"},"reason":9}`,
	}, "\n"))
	f.Add(strings.Join([]string{
		`{"kind":"launch","uid":"0000000000000002","meta":{"class":"seats","left":1e3,"tenant":"south","key":"0000000000000001",` +
			`"extras":"cores:0;memory:0;;x"},"body":""}`,
		`{"kind":"update","uid":"0000000000000002","meta":{"note":"cpu","value":"NaN"}}`,
		`{"kind":"migrate","uid":"0000000000000002"}`,
	}, "\n"))
	f.Fuzz(func(t *testing.T, text string) {
		harness := newHarness(t, nil)
		conn := harness.connect()
		for line := range strings.SplitSeq(text, "\n") {
			var msg protocol.Message
			if protocol.Parse([]byte(line), &msg) != nil {
				continue
			}
			// Most messages are invalid, so the errors of ReceiveFromClient are ignored.
			_ = harness.core.ReceiveFromClient(harness.now, conn, &msg)
			for _, effect := range harness.core.Ready() {
				if effect.Kind == SendAttempt {
					harness.core.PrepareSend(harness.now, effect.Attempt)
				}
			}
			for i := 1; i <= 3; i++ {
				_ = harness.core.ReceiveFromNode(harness.now, nodeID(i), &msg)
			}
			harness.core.Ready()
			harness.now += 0.1
		}
		harness.core.ClientDisconnected(harness.now, conn)
		for i := 1; i <= 3; i++ {
			harness.core.NodeDead(harness.now, nodeID(i))
		}
		for endTime := harness.now + 20; harness.core.NextTimer() < endTime; {
			harness.now = max(harness.now, harness.core.NextTimer())
			harness.core.Advance(harness.now)
			harness.core.Ready()
		}
		harness.requireEmpty()
	})
}
