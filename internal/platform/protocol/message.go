// Package protocol is the codec of the shared platform's protocol: JSON lines that each hold one message about one task.
//
// It is pure: it has no I/O and no clock, and imports no other package of the project. What it accepts is stricter than JSON: a line that
// another reader might reject or read differently (text that is not UTF-8, half of a surrogate pair, a duplicate key) is an error here,
// because a message that is passed on and rejected there ends everything else that is open on the same connection.
package protocol

import (
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// MaxLine is the longest line in bytes, its line feed included.
const MaxLine = 16 << 10

// maxSkippedDepth bounds the nesting of values under unknown keys.
const maxSkippedDepth = 8

// ErrTooLong is the error of a line that does not end within MaxLine.
var ErrTooLong = errors.New("line longer than 16 KiB")

// Kind is the type of a message.
type Kind uint8

// The kinds of message.
const (
	Launch  Kind = iota + 1 // a placement request, or an adoption of a running task
	Staging                 // progress of an attempt; has no effect
	Running                 // the answer that the task runs
	Stop                    // a rejection, withdrawal or end of a task; its cause says which
	Stopped                 // the acknowledgement of a Stop
	Check                   // a health check
	Checked                 // the answer to a health check
	Update                  // a measurement of a running task
	Migrate                 // asks a client to place a running task anew
)

var kindNames = [...]string{Launch: "launch", Staging: "staging", Running: "running", Stop: "stop", Stopped: "stopped", Check: "check",
	Checked: "checked", Update: "update", Migrate: "migrate"}

// String returns the kind's word on the wire.
func (k Kind) String() string {
	if int(k) < len(kindNames) && k > 0 {
		return kindNames[k]
	}
	return "kind " + strconv.Itoa(int(k))
}

// The causes of a Stop.
const (
	CauseEnd       = 16  // given up by the scheduler or the client; of a running task: it ended by itself
	CauseCancelled = 31  // migrated, or stopped by its client
	CauseFull      = 34  // rejected for want of capacity; it never ran
	CauseReset     = 41  // the connection, the node or the task failed
	CauseBusy      = 42  // rejected because too much is open; it may be tried again
	CauseError     = 47  // failed
	CauseExpired   = 102 // the time for it was over before it was sent
)

// ID identifies a task between two parties.
type ID uint64

// idDigits is the length of an ID on the wire.
const idDigits = 16

// ParseID parses an ID: 16 hexadecimal digits of either case.
func ParseID(text string) (ID, error) {
	if len(text) != idDigits {
		return 0, fmt.Errorf("id of %d characters, want 16 hexadecimal digits", len(text))
	}
	for i := range len(text) {
		if !isHexDigit(text[i]) {
			return 0, fmt.Errorf("id with a character %q, want 16 hexadecimal digits", text[i])
		}
	}
	number, err := strconv.ParseUint(text, 16, 64)
	return ID(number), err
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// Field selects one of the fields of a message's meta object.
type Field uint8

// The fields.
const (
	Class          Field = iota // the class of a request
	TimeLeft                    // milliseconds until the sender no longer waits for an answer
	Tenant                      // the tenant that a request belongs to
	Key                         // 16 hexadecimal digits that are passed on to the node
	IdempotencyKey              // in classes that nodes deduplicate: the name under which they recognise a repeated request
	Extras                      // name:value pairs, separated by semicolons
	RetryAfter                  // milliseconds for which a rejected client is advised to wait
	Note                        // a word: what an Update measures, or the reason of a Stop
	Value                       // the measured value of an Update
	LoadReport                  // the load of a node: name:value pairs, separated by semicolons
	fieldCount
)

var fieldNames = [fieldCount]string{"class", "left", "tenant", "key", "idem", "extras", "wait", "note", "value", "load"}

// String returns the field's name on the wire.
func (f Field) String() string { return fieldNames[f] }

func fieldOf(name string) (field Field, known bool) {
	for i, fieldName := range fieldNames {
		if fieldName == name {
			return Field(i), true
		}
	}
	return 0, false
}

// Message is one line. It holds no reference to the buffer that it was parsed from.
type Message struct {
	Kind Kind
	UID  string // the ID as it was written
	ID   ID
	// Cause is the cause of a Stop, or the result of a health check. HasCause reports whether there is one.
	Cause    int
	HasCause bool
	// Body describes the task or its answer: the JSON string as it was written, quotes included, "" if there is none. Passing it on unchanged
	// needs no decoding.
	Body string
	meta [fieldCount]string
	has  [fieldCount]bool
}

// Get returns a field's text, "" if the field is absent. A number is returned as it was written.
func (m *Message) Get(field Field) string { return m.meta[field] }

// Has reports whether a field is present.
func (m *Message) Has(field Field) bool { return m.has[field] }

// Set sets a field.
func (m *Message) Set(field Field, text string) {
	m.meta[field] = text
	m.has[field] = true
}

// keySet is a set of the keys of a message's object. Unknown keys are not part of it.
type keySet uint8

const (
	keyKind keySet = 1 << iota
	keyUID
	keyMeta
	keyReason
	keyBody

	requiredKeys = keyKind | keyUID
)

// keyOf returns the set of one key, empty if the key is unknown.
func keyOf(key string) keySet {
	switch key {
	case "kind":
		return keyKind
	case "uid":
		return keyUID
	case "meta":
		return keyMeta
	case "reason":
		return keyReason
	case "body":
		return keyBody
	}
	return 0
}

// Parse parses one line without its line feed. The error is ErrTooLong, or says what is invalid and where.
func Parse(line []byte, msg *Message) error {
	*msg = Message{}
	if len(line) >= MaxLine {
		return ErrTooLong
	}
	if !utf8.Valid(line) {
		return errors.New("line is not UTF-8")
	}
	p := parser{line: line}
	var seen keySet
	p.skipSpace()
	err := p.parseObject(func(key string) error {
		known := keyOf(key)
		if err := p.parseMember(msg, known); err != nil {
			return fmt.Errorf("%.20q: %w", key, err)
		}
		if seen&known != 0 {
			return fmt.Errorf("duplicate key %q", key)
		}
		seen |= known
		return nil
	})
	if err != nil {
		return err
	}
	p.skipSpace()
	if p.position < len(p.line) {
		return p.syntaxError("the end of the line")
	}
	if seen&requiredKeys != requiredKeys {
		return errors.New(`message without "kind" or "uid"`)
	}
	return nil
}

// parseMember parses the value of one key of a message's object. The value of an unknown key is skipped.
func (p *parser) parseMember(msg *Message, key keySet) (err error) {
	switch key {
	case keyKind:
		return p.parseKind(msg)
	case keyUID:
		if msg.UID, err = p.parseString(); err != nil {
			return err
		}
		msg.ID, err = ParseID(msg.UID)
		return err
	case keyMeta:
		return p.parseObject(func(name string) error { return p.parseMetaField(msg, name) })
	case keyReason:
		return p.parseCause(msg)
	case keyBody:
		return p.parseBody(msg)
	}
	return p.skipValue(0)
}

func (p *parser) parseKind(msg *Message) error {
	word, err := p.parseString()
	if err != nil {
		return err
	}
	for kind, name := range kindNames {
		if name != "" && name == word {
			msg.Kind = Kind(kind)
			return nil
		}
	}
	return fmt.Errorf("unknown kind %.20q", word)
}

func (p *parser) parseCause(msg *Message) error {
	text, err := p.parseNumber()
	if err != nil {
		return err
	}
	msg.HasCause = true
	msg.Cause, err = strconv.Atoi(text)
	return err
}

// parseBody checks a JSON string and keeps it as it was written.
func (p *parser) parseBody(msg *Message) error {
	start := p.position
	if _, err := p.parseString(); err != nil {
		return err
	}
	msg.Body = string(p.line[start:p.position])
	return nil
}

// parseMetaField parses the value of one key of the meta object: a string or a number. The value of an unknown key is skipped.
func (p *parser) parseMetaField(msg *Message, name string) (err error) {
	field, known := fieldOf(name)
	if !known {
		return p.skipValue(0)
	}
	if msg.has[field] {
		return fmt.Errorf("duplicate key %q", name)
	}
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

// Append appends the message as one line with its line feed.
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

// appendString appends a JSON string.
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
