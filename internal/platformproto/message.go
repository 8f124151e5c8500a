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

const maxDepth = 8 // of values that have no meaning here

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

var kinds = [...]string{Launch: "launch", Staging: "staging", Running: "running", Stop: "stop", Stopped: "stopped", Check: "check",
	Checked: "checked", Update: "update", Migrate: "migrate"}

func (k Kind) String() string {
	if int(k) < len(kinds) && k > 0 {
		return kinds[k]
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
func ParseID(s string) (ID, error) {
	if len(s) != 16 {
		return 0, fmt.Errorf("id of %d characters, want 16 hexadecimal digits", len(s))
	}
	for i := range len(s) {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return 0, fmt.Errorf("id with a character %q, want 16 hexadecimal digits", c)
		}
	}
	n, err := strconv.ParseUint(s, 16, 64)
	return ID(n), err
}

// Field is a number's place among the fields that have a meaning here.
type Field uint8

// The fields.
const (
	Class Field = iota
	Left
	Tenant
	Key
	IdempotencyKey // of a class that machines deduplicate: the name under which they know a copy
	Extras
	Wait
	Note
	Value
	Load
	fields
)

var fieldNames = [fields]string{"class", "left", "tenant", "key", "idem", "extras", "wait", "note", "value", "load"}

func (f Field) String() string { return fieldNames[f] }

// Message is one line. Parse fills it with copies, so that it does not hold on to the buffer it came from.
type Message struct {
	Kind Kind
	UID  string // as it was written
	ID   ID
	// Reason is the cause, HasReason whether there was one.
	Reason    int
	HasReason bool
	// Body is the description as the JSON text that it came as, quotes included; "" without one. It is passed on so, for no reader can
	// tell the difference.
	Body string
	meta [fields]string
	has  [fields]bool
}

// Get returns a field's text, "" if it is absent. A number is given as it was written.
func (m *Message) Get(f Field) string { return m.meta[f] }

// Has says whether the field is there.
func (m *Message) Has(f Field) bool { return m.has[f] }

// Set enters a field.
func (m *Message) Set(f Field, text string) { m.meta[f], m.has[f] = text, true }

// Parse reads one line without its line feed.
func Parse(line []byte, m *Message) error {
	*m = Message{}
	if len(line) >= MaxLine {
		return ErrTooLong
	}
	if !utf8.Valid(line) {
		return errors.New("line is not UTF-8")
	}
	p := parser{b: line}
	var seen uint
	p.space()
	err := p.object(func(key string) error {
		bit := uint(0)
		var err error
		switch key {
		case "kind":
			bit = 1
			var s string
			if s, err = p.text(); err == nil {
				err = m.setKind(s)
			}
		case "uid":
			bit = 2
			if m.UID, err = p.text(); err == nil {
				m.ID, err = ParseID(m.UID)
			}
		case "meta":
			bit = 4
			err = p.object(func(name string) error { return p.metaField(m, name) })
		case "reason":
			bit = 8
			var s string
			if s, err = p.number(); err == nil {
				m.HasReason = true
				m.Reason, err = strconv.Atoi(s)
			}
		case "body":
			bit = 16
			from := p.i
			if _, err = p.text(); err == nil {
				m.Body = string(p.b[from:p.i])
			}
		default:
			err = p.skip(0)
		}
		if err != nil {
			return fmt.Errorf("%.20q: %w", key, err)
		}
		if seen&bit != 0 {
			return fmt.Errorf("%q comes twice", key)
		}
		seen |= bit
		return nil
	})
	if err != nil {
		return err
	}
	if p.space(); p.i < len(p.b) {
		return p.fail("the end of the line")
	}
	if seen&3 != 3 {
		return errors.New(`message without "kind" or "uid"`)
	}
	return nil
}

func (m *Message) setKind(s string) error {
	for k, name := range kinds {
		if name != "" && name == s {
			m.Kind = Kind(k)
			return nil
		}
	}
	return fmt.Errorf("%.20q is no kind of message", s)
}

func (p *parser) metaField(m *Message, name string) error {
	for f, n := range fieldNames {
		if n != name {
			continue
		}
		if m.has[f] {
			return fmt.Errorf("%q comes twice", name)
		}
		var err error
		if p.peek() == '"' {
			m.meta[f], err = p.text()
		} else {
			m.meta[f], err = p.number()
		}
		m.has[f] = true
		if err != nil {
			return fmt.Errorf("%q: %w", name, err)
		}
		return nil
	}
	return p.skip(0)
}

// Append writes the message as one line with its line feed.
func (m *Message) Append(b []byte) []byte {
	b = append(b, `{"kind":"`...)
	b = append(b, m.Kind.String()...)
	b = append(b, `","uid":"`...)
	b = append(b, m.UID...)
	b = append(b, `","meta":{`...)
	first := true
	for f, name := range fieldNames {
		if !m.has[f] {
			continue
		}
		if !first {
			b = append(b, ',')
		}
		first = false
		b = append(b, '"')
		b = append(b, name...)
		b = append(b, `":`...)
		b = appendText(b, m.meta[f])
	}
	b = append(b, '}')
	if m.HasReason {
		b = append(b, `,"reason":`...)
		b = strconv.AppendInt(b, int64(m.Reason), 10)
	}
	if m.Body != "" {
		b = append(b, `,"body":`...)
		b = append(b, m.Body...)
	}
	return append(b, '}', '\n')
}

// appendText writes a JSON string.
func appendText(b []byte, s string) []byte {
	const hex = "0123456789abcdef"
	b = append(b, '"')
	for i := range len(s) {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c < 0x20:
			b = append(b, '\\', 'u', '0', '0', hex[c>>4], hex[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
