// Package jsonl is the codec of the shared platform's protocol: JSON lines that each hold one message about one task.
//
// It is pure: bytes in, messages out, no socket and no clock, and it imports nothing of the project. What it accepts is stricter than JSON:
// a line that another reader might refuse or read otherwise (text that is no UTF-8, half of a surrogate pair, a key that comes twice) is an
// error here, for what is passed on spoilt costs everything else that is open on the same connection.
package platformproto

import (
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// MaxLine is the longest line in bytes, its line feed included.
const MaxLine = 16 << 10

const maxSkippedDepth = 8 // of values that have no meaning here

// ErrTooLong is a line without an end within MaxLine.
var ErrTooLong = errors.New("line longer than 16 KiB")

// Kind is the type of a message.
type Kind uint8

// The kinds of message.
const (
	Launch  Kind = iota + 1 // a set-up
	Staging                 // progress; means nothing
	Running                 // an answer: the task stands
	Stop                    // a refusal, a withdrawal or a release
	Stopped                 // a release was heard; means nothing
	Check                   // a test
	Checked                 // its result
	Update                  // a note on a task that stands
	Migrate                 // a move
)

var kindNames = [...]string{Launch: "launch", Staging: "staging", Running: "running", Stop: "stop", Stopped: "stopped", Check: "check",
	Checked: "checked", Update: "update", Migrate: "migrate"}

func (k Kind) String() string {
	if int(k) < len(kindNames) && k > 0 {
		return kindNames[k]
	}
	return "kind " + strconv.Itoa(int(k))
}

// Causes that a Stop can have.
const (
	CauseEnd       = 16  // given up by the scheduler or owner; of a task that stood: it came to its end
	CauseCancelled = 31  // moved, or ended by its owner
	CauseFull      = 34  // refused, never ran
	CauseReset     = 41  // broke, or was cut
	CauseBusy      = 42  // refused, trying again is harmless
	CauseError     = 47  // failed
	CauseExpired   = 102 // never left
)

// ID names a task between two parties: 16 hexadecimal digits.
type ID uint64

// ParseID reads 16 hexadecimal digits.
func ParseID(text string) (ID, error) {
	if len(text) != 16 {
		return 0, fmt.Errorf("id of %d characters, want 16 hexadecimal digits", len(text))
	}
	for i := range len(text) {
		if c := text[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return 0, fmt.Errorf("id with a character %q, want 16 hexadecimal digits", c)
		}
	}
	number, err := strconv.ParseUint(text, 16, 64)
	return ID(number), err
}

// Field is a number's place among the fields that have a meaning here.
type Field uint8

// The fields.
const (
	Class Field = iota
	TimeLeft
	Tenant
	Key
	IdempotencyKey // of a class that machines deduplicate: the name under which they know a copy
	Extras
	RetryAfter
	Note
	Value
	LoadReport
	fieldCount
)

var fieldNames = [fieldCount]string{"class", "left", "tenant", "key", "idem", "extras", "wait", "note", "value", "load"}

func (f Field) String() string { return fieldNames[f] }

// Message is one line. Parse fills it with copies, so that it does not hold on to the buffer it came from.
type Message struct {
	Kind Kind
	UID  string // as it was written
	ID   ID
	// Cause is the cause, HasReason whether there was one.
	Cause    int
	HasCause bool
	// Body is the description as the JSON text that it came as, quotes included; "" without one. It is passed on so, for no reader can
	// tell the difference.
	Body string
	meta [fieldCount]string
	has  [fieldCount]bool
}

// Get returns a field's text, "" if it is absent. A number is given as it was written.
func (m *Message) Get(f Field) string { return m.meta[f] }

// Has says whether the field is there.
func (m *Message) Has(f Field) bool { return m.has[f] }

// Set enters a field.
func (m *Message) Set(f Field, text string) { m.meta[f], m.has[f] = text, true }

// Parse reads one line without its line feed.
func Parse(line []byte, msg *Message) error {
	*msg = Message{}
	if len(line) >= MaxLine {
		return ErrTooLong
	}
	if !utf8.Valid(line) {
		return errors.New("line is not UTF-8")
	}
	p := parser{line: line}
	var keysSeen uint
	p.skipSpace()
	err := p.parseObject(func(key string) error {
		keyBit := uint(0)
		var err error
		switch key {
		case "kind":
			keyBit = 1
			var text string
			if text, err = p.parseString(); err == nil {
				err = msg.setKind(text)
			}
		case "uid":
			keyBit = 2
			if msg.UID, err = p.parseString(); err == nil {
				msg.ID, err = ParseID(msg.UID)
			}
		case "meta":
			keyBit = 4
			err = p.parseObject(func(name string) error { return p.parseMetaField(msg, name) })
		case "reason":
			keyBit = 8
			var text string
			if text, err = p.parseNumber(); err == nil {
				msg.HasCause = true
				msg.Cause, err = strconv.Atoi(text)
			}
		case "body":
			keyBit = 16
			start := p.position
			if _, err = p.parseString(); err == nil {
				msg.Body = string(p.line[start:p.position])
			}
		default:
			err = p.skipValue(0)
		}
		if err != nil {
			return fmt.Errorf("%.20q: %w", key, err)
		}
		if keysSeen&keyBit != 0 {
			return fmt.Errorf("%q comes twice", key)
		}
		keysSeen |= keyBit
		return nil
	})
	if err != nil {
		return err
	}
	if p.skipSpace(); p.position < len(p.line) {
		return p.syntaxError("the end of the line")
	}
	if keysSeen&3 != 3 {
		return errors.New(`message without "kind" or "uid"`)
	}
	return nil
}

func (m *Message) setKind(word string) error {
	for k, name := range kindNames {
		if name != "" && name == word {
			m.Kind = Kind(k)
			return nil
		}
	}
	return fmt.Errorf("%.20q is no kind of message", word)
}

func (p *parser) parseMetaField(msg *Message, name string) error {
	for field, known := range fieldNames {
		if known != name {
			continue
		}
		if msg.has[field] {
			return fmt.Errorf("%q comes twice", name)
		}
		var err error
		if p.peek() == '"' {
			msg.meta[field], err = p.parseString()
		} else {
			msg.meta[field], err = p.parseNumber()
		}
		msg.has[field] = true
		if err != nil {
			return fmt.Errorf("%q: %w", name, err)
		}
		return nil
	}
	return p.skipValue(0)
}

// Append writes the message as one line with its line feed.
func (m *Message) Append(buffer []byte) []byte {
	buffer = append(buffer, `{"kind":"`...)
	buffer = append(buffer, m.Kind.String()...)
	buffer = append(buffer, `","uid":"`...)
	buffer = append(buffer, m.UID...)
	buffer = append(buffer, `","meta":{`...)
	first := true
	for f, name := range fieldNames {
		if !m.has[f] {
			continue
		}
		if !first {
			buffer = append(buffer, ',')
		}
		first = false
		buffer = append(buffer, '"')
		buffer = append(buffer, name...)
		buffer = append(buffer, `":`...)
		buffer = appendString(buffer, m.meta[f])
	}
	buffer = append(buffer, '}')
	if m.HasCause {
		buffer = append(buffer, `,"reason":`...)
		buffer = strconv.AppendInt(buffer, int64(m.Cause), 10)
	}
	if m.Body != "" {
		buffer = append(buffer, `,"body":`...)
		buffer = append(buffer, m.Body...)
	}
	return append(buffer, '}', '\n')
}

// appendString writes a JSON string.
func appendString(buffer []byte, text string) []byte {
	const hex = "0123456789abcdef"
	buffer = append(buffer, '"')
	for i := range len(text) {
		switch c := text[i]; {
		case c == '"' || c == '\\':
			buffer = append(buffer, '\\', c)
		case c < 0x20:
			buffer = append(buffer, '\\', 'u', '0', '0', hex[c>>4], hex[c&15])
		default:
			buffer = append(buffer, c)
		}
	}
	return append(buffer, '"')
}
