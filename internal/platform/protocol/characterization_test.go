package protocol_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/internal/testsupport/goldentest"
)

// TestCharacterization compares the behavior of the codec with a golden file. The inputs are a fixed list of
// lines and random mutations of these lines. The golden file contains digests of three results: whether a
// line is accepted, the values of the parsed message, and the encoded form of the parsed message. It does not
// cover error texts. Package goldentest describes how the golden file is regenerated.
func TestCharacterization(t *testing.T) {
	record := goldentest.NewRecorder()
	for i, line := range corpusLines() {
		record.Line("line %d %s", i, goldentest.Digest(parseResult(line)))
	}
	for seed := uint64(1); seed <= 20; seed++ {
		record.Line("mutations %d %s", seed, goldentest.Digest(mutationResults(seed))) // seed selects the random mutations.
	}
	record.Line("encoding %s", goldentest.Digest(encodedMessages()))
	record.Line("identifiers %s", goldentest.Digest(parsedIDsAndNames()))
	record.Check(t, "characterization")
}

// parseResult parses one line and returns a text that contains the result and every value of the message. The
// golden file contains digests of this text, so words of the text such as "refused" must not change.
func parseResult(line string) string {
	var msg protocol.Message
	if err := protocol.Parse([]byte(line), &msg); err != nil {
		if errors.Is(err, protocol.ErrTooLong) {
			return "too long\n" // The line is longer than protocol.MaxLineBytes.
		}
		return "refused\n"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "taken %d %q %d %d %t %q", uint8(msg.Kind), msg.UID, uint64(msg.ID), msg.Cause, msg.HasCause, msg.Body)
	for field := protocol.Class; field <= protocol.LoadReport; field++ {
		fmt.Fprintf(&text, " %d %t %q", uint8(field), msg.Has(field), msg.Get(field))
	}
	fmt.Fprintf(&text, "\n%s", msg.Append([]byte("before")))
	return text.String()
}

var kindNames = []string{"launch", "staging", "running", "stop", "stopped", "check", "checked", "update", "migrate"}

var fieldNames = []string{"class", "left", "tenant", "key", "idem", "extras", "wait", "note", "value", "load"}

// stringLiterals contains valid and invalid JSON strings with their quotes.
var stringLiterals = []string{
	`""`, `"x"`, `"a\"b\\c\/d\b\f\n\r\t"`, `"\u0000\u001f\u0041\u00e9\u20AC"`, `"\ud83d\ude00"`, `"\uD83D\uDE00x"`,
	`"é€😀"`,
	`"\ud83d"`, `"\ude00"`, `"\ud83dx"`, `"\ud83d\u0041"`, `"\ud83d\n"`, `"\ude00\ud83d"`, `"\u12"`, `"\u12g4"`, `"\x"`, `"\`,
	`"open`, "\"tab\t\"", "\"nul\x00\"",
	"\"del\x7f\"", "\"\xff\"", "\"\xc3\"", "\"\xed\xa0\x80\"", "\"\xc0\x80\"", `"\ufffd"`, `"\uffff"`,
}

// otherValues contains valid and invalid JSON values other than strings.
var otherValues = []string{
	"0", "-0", "1", "-1", "12.5", "1e3", "1E+3", "1e-3", "01", "+1", ".5", "1.", "1e", "-", "1e+", "0x1",
	"99999999999999999999", "2147483648",
	"true", "false", "null", "tru", "nul", "True", "{}", "[]", `{"a":[1,{"b":null}]}`, "[1,]", "[,1]", `{"a":1,}`, `{"a"}`, `{a:1}`, "[1", "{", "", ",",
}

// corpusLines returns lines that together contain every kind of message and every field. Each JSON value of
// stringLiterals and otherValues occurs as the value of each top-level key and of each field of "meta".
func corpusLines() []string {
	const uid = `"uid":"00000000000000aF"`
	var lines []string
	for _, kind := range append([]string{"", "Launch", "launchx"}, kindNames...) {
		lines = append(lines, `{"kind":"`+kind+`",`+uid+`}`, `{"meta":{},`+uid+`,"kind":"`+kind+`"}`)
	}
	for _, value := range append(append([]string{}, stringLiterals...), otherValues...) {
		for _, field := range fieldNames {
			lines = append(lines, `{"kind":"update",`+uid+`,"meta":{"`+field+`":`+value+`}}`)
		}
		for _, key := range []string{"kind", "reason", "body", "meta", "unknown"} {
			lines = append(lines, `{"kind":"stop",`+uid+`,"`+key+`":`+value+`}`)
		}
		lines = append(lines, `{"kind":"stop","uid":`+value+`}`, `{"kind":"stop",`+uid+`,"meta":{"unknown":`+value+`}}`, value)
	}
	for _, member := range []string{`"kind":"stop"`, uid, `"meta":{}`, `"reason":3`, `"body":"x"`, `"other":1`} {
		lines = append(lines, `{"kind":"stop",`+uid+`,`+member+`,`+member+`}`, `{`+member+`}`)
	}
	for _, field := range fieldNames {
		lines = append(lines, `{"kind":"stop",`+uid+`,"meta":{"`+field+`":"a","`+field+`":"b"}}`)
	}
	for depth := range 14 {
		nestedArrays := strings.Repeat("[", depth) + strings.Repeat("]", depth)
		nestedObjects := strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth)
		lines = append(lines, `{"kind":"stop",`+uid+`,"x":`+nestedArrays+`}`, `{"kind":"stop",`+uid+`,"x":`+nestedObjects+`}`,
			`{"kind":"stop",`+uid+`,"meta":{"x":`+nestedObjects+`}}`)
	}
	const sizeWithoutBody = len(`{"kind":"stop",` + uid + `,"body":""}`)
	for _, size := range []int{100, protocol.MaxLineBytes - 2, protocol.MaxLineBytes - 1, protocol.MaxLineBytes, protocol.MaxLineBytes + 1, 16383, 16384} {
		lines = append(lines, `{"kind":"stop",`+uid+`,"body":"`+strings.Repeat("y", size-sizeWithoutBody)+`"}`, strings.Repeat(" ", size))
	}
	return append(lines, " \t\r\n{ \"kind\" : \"stop\" , "+uid+" , \"meta\" : { \"class\" : 5 , \"left\" : \"6\" } } \r", `{"kind":"stop",`+uid+`}x`,
		`{"kind":"stop",`+uid+`}{}`, "\xef\xbb\xbf{}", `{"\u006bind":"st\u006fp",`+uid+`}`, `{"kind":"stop","uid":"0000000000000g00"}`)
}

// mutationResults applies one random mutation to each corpus line and returns the results of parsing the
// mutated lines. A mutation replaces, removes or doubles a byte, or cuts the line off.
func mutationResults(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 1))
	var text strings.Builder
	for _, line := range corpusLines() {
		if len(line) == 0 || len(line) > 400 {
			continue
		}
		i := random.IntN(len(line))
		switch random.IntN(4) {
		case 0:
			line = line[:i] + string(rune(random.IntN(256))) + line[i+1:]
		case 1:
			line = line[:i] + line[i+1:]
		case 2:
			line = line[:i] + line[i:i+1] + line[i:]
		case 3:
			line = line[:i]
		}
		text.WriteString(parseResult(line))
	}
	return text.String()
}

// encodedMessages returns the encoded form of messages whose fields contain characters that must be escaped
// in JSON.
func encodedMessages() string {
	var text strings.Builder
	for kind := range 12 {
		for field := protocol.Class; field <= protocol.LoadReport; field++ {
			msg := protocol.Message{Kind: protocol.Kind(kind), UID: "00000000000000ff", ID: 255, Cause: protocol.Cause(kind * 17), HasCause: kind%2 == 0}
			msg.Set(field, "a\"\\\n\x00\x1f\x7f/é\xff")
			msg.Set(protocol.Value, "")
			if kind%3 == 0 {
				msg.Body = `"raw \u0041"`
			}
			text.Write(msg.Append(nil))
		}
	}
	msg := protocol.Message{Kind: protocol.Stop, Cause: -5, HasCause: true}
	text.Write(msg.Append(nil))
	return text.String()
}

// parsedIDsAndNames returns the results of ParseID for valid and invalid IDs, the values of the constants and
// the names of the fields.
func parsedIDsAndNames() string {
	var text strings.Builder
	for _, encodedID := range []string{
		"", "0", "0000000000000000", "ffffffffffffffff", "FFFFFFFFFFFFFFFF", "0123456789abcdef", "0123456789ABCDEf", "000000000000000g",
		"+000000000000001", "0x00000000000001", "00000000000000001", "000000000000000", "0000_00000000000", "000000000000000é",
	} {
		id, err := protocol.ParseID(encodedID)
		fmt.Fprintf(&text, "%d %t\n", uint64(id), err != nil)
	}
	fmt.Fprintln(&text, protocol.MaxLineBytes, protocol.CauseEnd, protocol.CauseCancelled, protocol.CauseNoCapacity, protocol.CauseLost,
		protocol.CauseOverloaded, protocol.CauseError, protocol.CauseDeadlineExceeded)
	for field := protocol.Class; field <= protocol.LoadReport; field++ {
		fmt.Fprintln(&text, field.String())
	}
	return text.String()
}
