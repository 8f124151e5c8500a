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
		t.Fatalf("%+v", msg)
	}
	if msg.Get(TimeLeft) != "1500" || msg.Get(Class) != "batch" || msg.Has(RetryAfter) {
		t.Fatalf("%+v", msg)
	}
	if want := launchLine[strings.Index(launchLine, `"9d`) : len(launchLine)-1]; msg.Body != want {
		t.Fatalf("body %s, want it as it was written: %s", msg.Body, want)
	}
	msg.Set(Extras, "a\"b\\c\x01")
	msg.Cause, msg.HasCause = 34, true
	line := msg.Append(nil)
	if err := Parse(line[:len(line)-1], &reparsed); err != nil || reparsed != msg {
		t.Fatalf("%v\n%+v\n%+v", err, msg, reparsed)
	}
	if !json.Valid(line) {
		t.Fatalf("%s", line)
	}
}

func TestInvalidLines(t *testing.T) {
	id := `"uid":"9b1f03aa5c7e2d41"`
	for name, line := range map[string]string{
		"empty":              ``,
		"no object":          `[1]`,
		"cut":                launchLine[:60],
		"more after it":      launchLine + `{}`,
		"no id":              `{"kind":"stop"}`,
		"no kind":            `{` + id + `}`,
		"short id":           `{"kind":"stop","uid":"9b1f"}`,
		"id no hex":          `{"kind":"stop","uid":"9b1f03aa5c7e2d4g"}`,
		"id a number":        `{"kind":"stop","uid":9}`,
		"unknown kind":       `{"kind":"destroy",` + id + `}`,
		"twice":              `{"kind":"stop",` + id + `,` + id + `}`,
		"field twice":        `{"kind":"stop",` + id + `,"meta":{"left":1,"left":2}}`,
		"field an object":    `{"kind":"stop",` + id + `,"meta":{"left":{}}}`,
		"meta a list":        `{"kind":"stop",` + id + `,"meta":[]}`,
		"reason no number":   `{"kind":"stop",` + id + `,"reason":"34"}`,
		"reason a fraction":  `{"kind":"stop",` + id + `,"reason":3.5}`,
		"reason huge":        `{"kind":"stop",` + id + `,"reason":1e400}`,
		"not UTF-8":          "{\"kind\":\"stop\"," + id + ",\"body\":\"\xff\"}",
		"half a surrogate":   `{"kind":"stop",` + id + `,"body":"\ud83d"}`,
		"other half":         `{"kind":"stop",` + id + `,"body":"\ude00x"}`,
		"control character":  "{\"kind\":\"stop\"," + id + ",\"body\":\"\x01\"}",
		"bad escape":         `{"kind":"stop",` + id + `,"body":"\x41"}`,
		"leading zero":       `{"kind":"stop",` + id + `,"meta":{"left":01}}`,
		"body not a string":  `{"kind":"launch",` + id + `,"body":{"a":1}}`,
		"nested":             `{"kind":"stop",` + id + `,"x":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
		"more than a line":   `{"kind":"stop",` + id + `,"body":"` + strings.Repeat("a", MaxLine) + `"}`,
		"comma without more": `{"kind":"stop",` + id + `,}`,
	} {
		t.Run(name, func(t *testing.T) {
			var msg Message
			if err := Parse([]byte(line), &msg); err == nil {
				t.Errorf("accepted as %+v", msg)
			} else if name == "more than a line" && !errors.Is(err, ErrTooLong) {
				t.Error(err)
			}
		})
	}
}

func TestUnknownKeysAreSkipped(t *testing.T) {
	var msg Message
	if err := Parse([]byte(`{"kind":"stop","uid":"9b1f03aa5c7e2d41","more":{"a":[1,null,true,{"b":"c"}]},"meta":{"other":[]}}`), &msg); err != nil {
		t.Errorf("unknown keys are to be skipped: %v", err)
	}
}

// FuzzLine compares the codec with encoding/json: what it accepts is JSON, and what it writes is parsed as the same. Memory is bounded by the
// length of the line.
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
			t.Fatalf("%d bytes for a line of %d", spent, len(in))
		}
		if err != nil {
			return
		}
		if !json.Valid(in) {
			t.Fatalf("accepted, but no JSON: %q", in)
		}
		line := msg.Append(nil)
		if err := Parse(line[:len(line)-1], &reparsed); (err != nil || reparsed != msg) && len(line) < MaxLine {
			t.Fatalf("%v: written as %s", err, line)
		}
	})
}
