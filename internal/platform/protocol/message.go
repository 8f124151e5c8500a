// Package protocol is the codec of the shared platform's protocol: JSON lines that each contain one message about one task. Package server reads
// lines by Parse and writes them by Message.Append; package dispatch handles the messages.
//
// It is pure: it has no I/O and no clock, and imports no other package of the project. What it accepts is stricter than JSON: a line that
// another reader might reject or read differently (text that is not UTF-8, half of a surrogate pair, a duplicate key) is an error here,
// because a message that is forwarded and rejected by the receiver ends everything else that is open on the same connection.
package protocol

import (
	"fmt"
	"strconv"
)

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
	Migrate                 // asks a client to request the placement of a running task again
)

var kindNames = [...]string{Launch: "launch", Staging: "staging", Running: "running", Stop: "stop", Stopped: "stopped", Check: "check",
	Checked: "checked", Update: "update", Migrate: "migrate"}

// String returns the kind's name on the wire.
func (k Kind) String() string {
	if int(k) < len(kindNames) && k > 0 {
		return kindNames[k]
	}
	return "kind " + strconv.Itoa(int(k))
}

// Cause is the cause of a Stop, or the result of a health check. Nodes and clients may send values that have no name here.
type Cause int

// The causes of a Stop.
const (
	CauseEnd              Cause = 16  // abandoned by the scheduler or the client; of a running task: it ended by itself
	CauseCancelled        Cause = 31  // migrated, or stopped by its client
	CauseNoCapacity       Cause = 34  // rejected for lack of capacity, or as Note says; it never ran
	CauseLost             Cause = 41  // the connection, the node or the task failed
	CauseOverloaded       Cause = 42  // rejected because too much is open; it may be retried
	CauseError            Cause = 47  // failed
	CauseDeadlineExceeded Cause = 102 // its deadline passed before it was sent
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
	Key                         // 16 hexadecimal digits that are forwarded to the node
	IdempotencyKey              // in classes that nodes deduplicate: the name under which they recognise a repeated request
	Extras                      // name:value pairs, separated by semicolons
	RetryAfter                  // milliseconds for which a rejected client is advised to wait
	Note                        // an identifier: what an Update measures, or the reason for a Stop
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

// Message is one line. It does not reference the buffer that it was parsed from.
type Message struct {
	Kind Kind
	UID  string // the ID as it was written
	ID   ID
	// Cause is valid if HasCause is set.
	Cause    Cause
	HasCause bool
	// Body describes the task or its answer: the JSON string as it was written, quotes included, or "" if there is none. It is forwarded
	// unchanged, without decoding.
	Body string
	meta [fieldCount]string
	has  [fieldCount]bool
}

// Get returns a field's text, or "" if the field is absent. A number is returned as it was written.
func (m *Message) Get(field Field) string { return m.meta[field] }

// Has reports whether a field is present.
func (m *Message) Has(field Field) bool { return m.has[field] }

// Set sets a field.
func (m *Message) Set(field Field, text string) {
	m.meta[field] = text
	m.has[field] = true
}
