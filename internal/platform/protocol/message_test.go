package protocol

import (
	"encoding/json"
	"errors"
	"runtime"
	"strings"
	"testing"
)

const launchLine = `{"kind":"launch","uid":"9b1f03aa5c7e2d41","meta":{"class":"batch","left":1500},"body":"9d\u0034\r\nc=IN \/ \ud83d\ude00 é"}`

func TestMessagesRoundTrip(t *testing.T) {
	var msg, reparsed Message
	if err := Parse([]byte(launchLine), &msg); err != nil {
		t.Fatal(err)
	}
	if msg.Kind != Launch || msg.ID != 0x9b1f03aa5c7e2d41 || msg.HasCause {
		t.Fatalf("unexpected kind, ID or cause in %+v", msg)
	}
	if msg.Get(TimeLeft) != "1500" || msg.Get(Class) != "batch" || msg.Has(RetryAfter) {
		t.Fatalf("unexpected fields in %+v", msg)
	}
	if want := launchLine[strings.Index(launchLine, `"9d`) : len(launchLine)-1]; msg.Body != want {
		t.Fatalf("got body %s, want it unchanged: %s", msg.Body, want)
	}
	msg.Set(Extras, "a\"b\\c\x01")
	msg.Cause, msg.HasCause = 34, true
	line := msg.Append(nil)
	if err := Parse(line[:len(line)-1], &reparsed); err != nil || reparsed != msg {
		t.Fatalf("the message differs after encoding and parsing: error %v\nbefore: %+v\nafter:  %+v", err, msg, reparsed)
	}
	if !json.Valid(line) {
		t.Fatalf("encoded message is not valid JSON: %s", line)
	}
}

func TestInvalidLines(t *testing.T) {
	id := `"uid":"9b1f03aa5c7e2d41"`
	for name, line := range map[string]string{
		"empty":                   ``,
		"not an object":           `[1]`,
		"truncated":               launchLine[:60],
		"text after the object":   launchLine + `{}`,
		"no id":                   `{"kind":"stop"}`,
		"no kind":                 `{` + id + `}`,
		"short id":                `{"kind":"stop","uid":"9b1f"}`,
		"id not hexadecimal":      `{"kind":"stop","uid":"9b1f03aa5c7e2d4g"}`,
		"id is a number":          `{"kind":"stop","uid":9}`,
		"unknown kind":            `{"kind":"destroy",` + id + `}`,
		"duplicate key":           `{"kind":"stop",` + id + `,` + id + `}`,
		"duplicate field":         `{"kind":"stop",` + id + `,"meta":{"left":1,"left":2}}`,
		"field is an object":      `{"kind":"stop",` + id + `,"meta":{"left":{}}}`,
		"meta is an array":        `{"kind":"stop",` + id + `,"meta":[]}`,
		"reason is not a number":  `{"kind":"stop",` + id + `,"reason":"34"}`,
		"reason is a fraction":    `{"kind":"stop",` + id + `,"reason":3.5}`,
		"reason is too large":     `{"kind":"stop",` + id + `,"reason":1e400}`,
		"not UTF-8":               "{\"kind\":\"stop\"," + id + ",\"body\":\"\xff\"}",
		"high surrogate alone":    `{"kind":"stop",` + id + `,"body":"\ud83d"}`,
		"low surrogate alone":     `{"kind":"stop",` + id + `,"body":"\ude00x"}`,
		"control character":       "{\"kind\":\"stop\"," + id + ",\"body\":\"\x01\"}",
		"invalid escape sequence": `{"kind":"stop",` + id + `,"body":"\x41"}`,
		"leading zero":            `{"kind":"stop",` + id + `,"meta":{"left":01}}`,
		"body is not a string":    `{"kind":"launch",` + id + `,"body":{"a":1}}`,
		"nested too deeply":       `{"kind":"stop",` + id + `,"x":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
		"line too long":           `{"kind":"stop",` + id + `,"body":"` + strings.Repeat("a", MaxLineBytes) + `"}`,
		"trailing comma":          `{"kind":"stop",` + id + `,}`,
	} {
		t.Run(name, func(t *testing.T) {
			var msg Message
			if err := Parse([]byte(line), &msg); err == nil {
				t.Errorf("the line was accepted as %+v", msg)
			} else if name == "line too long" && !errors.Is(err, ErrTooLong) {
				t.Error(err)
			}
		})
	}
}

func TestUnknownKeysAreSkipped(t *testing.T) {
	var msg Message
	if err := Parse([]byte(`{"kind":"stop","uid":"9b1f03aa5c7e2d41","more":{"a":[1,null,true,{"b":"c"}]},"meta":{"other":[]}}`), &msg); err != nil {
		t.Errorf("a message with unknown keys was rejected: %v", err)
	}
}

// FuzzLine compares the codec with encoding/json: each line that the codec accepts must be valid JSON, and
// the encoded form of the message must be parsed as the same message. It also checks that parsing allocates
// at most a fixed multiple of the length of the line and a constant.
func FuzzLine(f *testing.F) {
	f.Add([]byte(launchLine))
	f.Add([]byte(`{"kind":"stop","uid":"9b1f03aa5c7e2d41","meta":{"load":"x0:1;x1:2"},"reason":-1}`))
	f.Add([]byte(`{"kind":"check","uid":"0000000000000001","z":[[[{}]]]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		var msg, reparsed Message
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err := Parse(in, &msg)
		runtime.ReadMemStats(&after)
		if spent := after.TotalAlloc - before.TotalAlloc; spent > uint64(16*len(in)+64<<10) {
			t.Fatalf("parsing allocated %d bytes for a line of %d bytes", spent, len(in))
		}
		if err != nil {
			return
		}
		if !json.Valid(in) {
			t.Fatalf("accepted a line that is not valid JSON: %q", in)
		}
		line := msg.Append(nil)
		if err := Parse(line[:len(line)-1], &reparsed); (err != nil || reparsed != msg) && len(line) < MaxLineBytes {
			t.Fatalf("parsing the encoded message gave error %v or a different message: %s", err, line)
		}
	})
}
