package protocol

import (
	"encoding/json"
	"errors"
	"runtime"
	"strings"
	"testing"
)

const launchLine = `{"kind":"launch","uid":"9b1f03aa5c7e2d41","meta":{"class":"batch","left":1500},"body":"9d\u0034\r\nc=IN \/ \ud83d\ude00 é"}`

// TestMessagesRoundTrip checks the values of a parsed message. It also checks that the message does not
// change when it is encoded and parsed again.
func TestMessagesRoundTrip(t *testing.T) {
	var msg, reparsedMsg Message
	if err := Parse([]byte(launchLine), &msg); err != nil {
		t.Fatal(err)
	}
	if msg.Kind != Launch || msg.ID != 0x9b1f03aa5c7e2d41 || msg.HasCause {
		t.Fatalf("Parse returned the message %+v, want a launch message with the ID in the line and without a cause", msg)
	}
	if msg.Get(TimeLeft) != "1500" || msg.Get(Class) != "batch" || msg.Has(RetryAfter) {
		t.Fatalf("Parse returned the message %+v, want the value 1500 in the field TimeLeft, the value batch in the field Class, and no field RetryAfter", msg)
	}
	if want := launchLine[strings.Index(launchLine, `"9d`) : len(launchLine)-1]; msg.Body != want {
		t.Fatalf("the body of the parsed message is %s, want exactly the body in the line: %s", msg.Body, want)
	}
	msg.Set(Extras, "a\"b\\c\x01")
	msg.Cause, msg.HasCause = 34, true
	line := msg.Append(nil)
	if err := Parse(line[:len(line)-1], &reparsedMsg); err != nil || reparsedMsg != msg {
		t.Fatalf("the message differs after encoding and parsing: error %v\nbefore: %+v\nafter:  %+v", err, msg, reparsedMsg)
	}
	if !json.Valid(line) {
		t.Fatalf("encoded message is not valid JSON: %s", line)
	}
}

// TestInvalidLines checks that Parse returns an error for each line that is not a valid message.
func TestInvalidLines(t *testing.T) {
	uid := `"uid":"9b1f03aa5c7e2d41"`
	for name, line := range map[string]string{
		"empty line":                                   ``,
		"array instead of an object":                   `[1]`,
		"line cut off within the message":              launchLine[:60],
		"second object after the message":              launchLine + `{}`,
		"message without uid":                          `{"kind":"stop"}`,
		"message without kind":                         `{` + uid + `}`,
		"uid with only 4 digits":                       `{"kind":"stop","uid":"9b1f"}`,
		"uid with a character that is not hexadecimal": `{"kind":"stop","uid":"9b1f03aa5c7e2d4g"}`,
		"uid is a number":                              `{"kind":"stop","uid":9}`,
		"unknown message kind":                         `{"kind":"destroy",` + uid + `}`,
		"duplicate top-level key":                      `{"kind":"stop",` + uid + `,` + uid + `}`,
		"duplicate field in meta":                      `{"kind":"stop",` + uid + `,"meta":{"left":1,"left":2}}`,
		"field in meta is an object":                   `{"kind":"stop",` + uid + `,"meta":{"left":{}}}`,
		"meta is an array":                             `{"kind":"stop",` + uid + `,"meta":[]}`,
		"reason is not a number":                       `{"kind":"stop",` + uid + `,"reason":"34"}`,
		"reason is a fraction":                         `{"kind":"stop",` + uid + `,"reason":3.5}`,
		"reason has an exponent":                       `{"kind":"stop",` + uid + `,"reason":1e400}`,
		"body is not valid UTF-8":                      "{\"kind\":\"stop\"," + uid + ",\"body\":\"\xff\"}",
		"high surrogate without a low surrogate":       `{"kind":"stop",` + uid + `,"body":"\ud83d"}`,
		"low surrogate without a high surrogate":       `{"kind":"stop",` + uid + `,"body":"\ude00x"}`,
		"control character that is not escaped":        "{\"kind\":\"stop\"," + uid + ",\"body\":\"\x01\"}",
		"invalid escape sequence":                      `{"kind":"stop",` + uid + `,"body":"\x41"}`,
		"number with a leading zero":                   `{"kind":"stop",` + uid + `,"meta":{"left":01}}`,
		"body is not a string":                         `{"kind":"launch",` + uid + `,"body":{"a":1}}`,
		"arrays nested too deeply":                     `{"kind":"stop",` + uid + `,"x":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
		"line longer than the maximum":                 `{"kind":"stop",` + uid + `,"body":"` + strings.Repeat("a", MaxLineBytes) + `"}`,
		"comma after the last member":                  `{"kind":"stop",` + uid + `,}`,
	} {
		t.Run(name, func(t *testing.T) {
			var msg Message
			if err := Parse([]byte(line), &msg); err == nil {
				t.Errorf("Parse accepted the invalid line and returned the message %+v", msg)
			} else if name == "line longer than the maximum" && !errors.Is(err, ErrTooLong) {
				t.Error(err)
			}
		})
	}
}

// TestUnknownKeysAreSkipped checks that a message is accepted if it has keys that the protocol does not
// define. The values of these keys may be of any JSON type.
func TestUnknownKeysAreSkipped(t *testing.T) {
	var msg Message
	if err := Parse([]byte(`{"kind":"stop","uid":"9b1f03aa5c7e2d41","more":{"a":[1,null,true,{"b":"c"}]},"meta":{"other":[]}}`), &msg); err != nil {
		t.Errorf("Parse rejected a message with unknown keys: %v", err)
	}
}

// FuzzLine checks three properties of the codec. Each line that Parse accepts must be valid JSON according to
// encoding/json. Encoding the parsed message and parsing the result must give the same message. The memory
// that Parse allocates must not exceed a constant plus a fixed multiple of the length of the line.
func FuzzLine(f *testing.F) {
	f.Add([]byte(launchLine))
	f.Add([]byte(`{"kind":"stop","uid":"9b1f03aa5c7e2d41","meta":{"load":"x0:1;x1:2"},"reason":-1}`))
	f.Add([]byte(`{"kind":"check","uid":"0000000000000001","z":[[[{}]]]}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		var msg, reparsedMsg Message
		var memoryBefore, memoryAfter runtime.MemStats
		runtime.ReadMemStats(&memoryBefore)
		err := Parse(line, &msg)
		runtime.ReadMemStats(&memoryAfter)
		if allocatedBytes := memoryAfter.TotalAlloc - memoryBefore.TotalAlloc; allocatedBytes > uint64(16*len(line)+64<<10) {
			t.Fatalf("Parse allocated %d bytes for a line of %d bytes, want at most 64 KiB plus 16 times the length of the line", allocatedBytes, len(line))
		}
		if err != nil {
			return
		}
		if !json.Valid(line) {
			t.Fatalf("Parse accepted a line that is not valid JSON: %q", line)
		}
		encodedMsg := msg.Append(nil)
		if err := Parse(encodedMsg[:len(encodedMsg)-1], &reparsedMsg); (err != nil || reparsedMsg != msg) && len(encodedMsg) < MaxLineBytes {
			t.Fatalf("the parsed message was changed or rejected (error %v) when it was encoded and parsed again; encoded message: %s", err, encodedMsg)
		}
	})
}
