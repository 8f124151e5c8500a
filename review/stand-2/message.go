package main

import (
	"encoding/json"
	"fmt"
)

// Causes of a stop message that the stand-ins use.
const (
	causeEnd       = 16
	causeCancelled = 31
	causeFull      = 34
	causeReset     = 41
)

// message is one line of the platform's protocol.
type message struct {
	Kind   string            `json:"kind"`
	UID    string            `json:"uid"`
	Meta   map[string]string `json:"meta"`
	Reason *int              `json:"reason,omitempty"`
	Body   string            `json:"body,omitempty"`
}

// cause returns the cause of a message, or -1.
func (m *message) cause() int {
	if m.Reason == nil {
		return -1
	}
	return *m.Reason
}

func (m *message) line() []byte {
	if m.Meta == nil {
		m.Meta = map[string]string{}
	}
	text, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return append(text, '\n')
}

// String describes the message for the record. It leaves out the description of a task.
func (m *message) String() string {
	text := m.Kind + " " + m.UID
	if m.Reason != nil {
		text += fmt.Sprintf(" cause %d", *m.Reason)
	}
	if extras := m.Meta["extras"]; extras != "" {
		text += " extras " + extras
	}
	if left := m.Meta["left"]; left != "" {
		text += " left " + left
	}
	if note := m.Meta["note"]; note != "" {
		text += " note " + note
	}
	return text
}

func stopMessage(uid string, cause int) *message {
	return &message{Kind: "stop", UID: uid, Reason: &cause}
}

func checkMessage(uid string) *message {
	cause := 0
	return &message{Kind: "check", UID: uid, Reason: &cause}
}

func checkedMessage(uid string) *message {
	cause := 1
	return &message{Kind: "checked", UID: uid, Reason: &cause}
}
