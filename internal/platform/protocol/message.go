// Package protocol encodes and decodes the messages that a scheduler exchanges with clients and nodes on the
// shared platform. The shared platform is an environment that speaks this protocol instead of the Kubernetes
// API. Each message is one line of JSON. It either concerns one task or is part of a health check. Package
// server parses lines with Parse and encodes messages with Message.Append; package dispatch handles the
// messages.
//
// The package performs no I/O, reads no clock and imports no other package of the project. It accepts less
// than JSON allows: it rejects text that is not valid UTF-8, half of a surrogate pair and duplicate keys,
// because another parser might reject such a line or read it differently. A node or client that rejected a
// forwarded message would close its connection to the scheduler. This would abort all other requests on that
// connection.
package protocol

import (
	"fmt"
	"strconv"
)

// Kind is the type of a message.
type Kind uint8

// The constants of type Kind are the kinds of messages.
const (
	Launch  Kind = iota + 1 // Launch is a placement request, or a request to adopt a task that runs already.
	Staging                 // Staging reports the progress of an attempt; the scheduler ignores it.
	Running                 // Running accepts a Launch and reports that the requested task runs.
	Stop                    // Stop rejects, withdraws or ends a task; the Cause of the message distinguishes these cases.
	Stopped                 // Stopped acknowledges a Stop.
	Check                   // Check is a health check, which the receiver answers with Checked.
	Checked                 // Checked answers a Check.
	Update                  // Update reports a measured value of a running task, such as its memory usage.
	Migrate                 // Migrate asks a client to request the placement of a running task again.
)

var kindNames = [...]string{Launch: "launch", Staging: "staging", Running: "running", Stop: "stop", Stopped: "stopped", Check: "check",
	Checked: "checked", Update: "update", Migrate: "migrate"}

// String returns the name of the kind in encoded messages.
func (k Kind) String() string {
	if int(k) < len(kindNames) && k > 0 {
		return kindNames[k]
	}
	return "kind " + strconv.Itoa(int(k))
}

// Cause is the number in a message under the key "reason". In a Stop, it states why the Stop was sent. In a
// Checked, it states the result of the health check. Nodes and clients may send values for which there is no
// constant.
type Cause int

// The constants of type Cause are the causes of a Stop that the scheduler distinguishes.
const (
	// CauseEnd means that a running task ended by itself, that the scheduler abandoned an attempt, or that a
	// client withdrew its request.
	CauseEnd Cause = 16
	// CauseCancelled means that a task was migrated or that its client stopped it.
	CauseCancelled Cause = 31
	// CauseNoCapacity means that a task was rejected and never ran. It was rejected for a lack of capacity,
	// unless the field Note of the message states another reason.
	CauseNoCapacity Cause = 34
	// CauseLost means that a task was lost because the connection to its node, the node or the task itself
	// failed.
	CauseLost Cause = 41
	// CauseOverloaded means that a request was rejected because too many requests are open. The client may
	// retry the request.
	CauseOverloaded Cause = 42
	// CauseError means that a request or an attempt failed.
	CauseError Cause = 47
	// CauseDeadlineExceeded means that the deadline of a request passed before an attempt was sent to a node
	// or before the attempt reached the node.
	CauseDeadlineExceeded Cause = 102
)

// ID identifies a task in the messages that the scheduler exchanges with clients and nodes.
type ID uint64

// idDigits is the number of hexadecimal digits of an encoded ID.
const idDigits = 16

// ParseID parses an ID. It accepts exactly 16 hexadecimal digits, in upper or lower case.
func ParseID(text string) (ID, error) {
	if len(text) != idDigits {
		return 0, fmt.Errorf("id has %d characters, want 16 hexadecimal digits", len(text))
	}
	for i := range len(text) {
		if !isHexDigit(text[i]) {
			return 0, fmt.Errorf("id contains the character %q, want 16 hexadecimal digits", text[i])
		}
	}
	number, err := strconv.ParseUint(text, 16, 64)
	return ID(number), err
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// Field selects one field of the "meta" object of a message.
type Field uint8

// The constants of type Field select the fields that the protocol defines. All other fields are ignored.
const (
	Class          Field = iota // Class is the name of the task class to which the requested task belongs.
	TimeLeft                    // TimeLeft is the time in milliseconds for which the sender still waits for an answer.
	Tenant                      // Tenant is the name of the tenant to which a placement request belongs.
	Key                         // Key is a number of 16 hexadecimal digits; the scheduler copies it from the client's Launch to the node's Launch.
	IdempotencyKey              // IdempotencyKey lets a node recognize a repeated attempt for a task whose class is deduplicated.
	Extras                      // Extras contains further properties of a task as name:value pairs, separated by semicolons.
	RetryAfter                  // RetryAfter is the time in milliseconds that a rejected client should wait before a retry.
	Note                        // Note names the quantity that an Update reports, or the detailed reason for a Stop.
	Value                       // Value is the number that an Update reports for the quantity named by Note.
	LoadReport                  // LoadReport is the load of a node as name:value pairs, separated by semicolons.
	fieldCount
)

var fieldNames = [fieldCount]string{"class", "left", "tenant", "key", "idem", "extras", "wait", "note", "value", "load"}

// String returns the name of the field in encoded messages.
func (f Field) String() string { return fieldNames[f] }

func fieldByName(name string) (field Field, isKnown bool) {
	for i, fieldName := range fieldNames {
		if fieldName == name {
			return Field(i), true
		}
	}
	return 0, false
}

// Message is a decoded message. It does not refer to the buffer from which it was parsed.
type Message struct {
	Kind Kind
	UID  string // UID is the hexadecimal text of ID, exactly as it was received.
	ID   ID
	// Cause is meaningful only if HasCause is true.
	Cause    Cause
	HasCause bool
	// Body describes the requested task if the message is a Launch, and contains the answer of the node if
	// the message is a Running. It is a JSON string with its quotes, exactly as it was received, or "" if the
	// message has no body. The scheduler forwards it unchanged, without decoding it.
	Body string
	meta [fieldCount]string
	has  [fieldCount]bool
}

// TextBytes returns the total length of the texts that the message refers to.
func (m *Message) TextBytes() int {
	bytes := len(m.UID) + len(m.Body)
	for _, text := range m.meta {
		bytes += len(text)
	}
	return bytes
}

// Get returns the text of a field, or "" if the field is absent. If the value of the field is a number, Get
// returns the digits exactly as they were received.
func (m *Message) Get(field Field) string { return m.meta[field] }

// Has reports whether the message contains a field.
func (m *Message) Has(field Field) bool { return m.has[field] }

// Set adds a field to the message or replaces its text.
func (m *Message) Set(field Field, text string) {
	m.meta[field] = text
	m.has[field] = true
}
