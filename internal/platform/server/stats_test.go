//go:build linux

package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
)

// TestInvalidInputJSON checks that each kind of invalid input has its own counter. It also checks that the
// JSON form of the counters contains only counters above 0, under the names that operators use.
func TestInvalidInputJSON(t *testing.T) {
	for _, test := range []struct {
		err      error
		wantJSON string
	}{
		{&dispatch.InvalidMessageError{Reason: dispatch.InvalidNode, Err: errors.New("x")}, `{"at":1}`},
		{&dispatch.InvalidMessageError{Reason: dispatch.InvalidBody, Err: errors.New("x")}, `{"body":1}`},
		{&dispatch.InvalidMessageError{Reason: dispatch.InvalidClass, Err: errors.New("x")}, `{"class":1}`},
		{&dispatch.InvalidMessageError{Reason: dispatch.InvalidExtras, Err: errors.New("x")}, `{"extras":1}`},
		{&dispatch.InvalidMessageError{Reason: dispatch.InvalidIDInUse, Err: errors.New("x")}, `{"id in use":1}`},
		{&dispatch.InvalidMessageError{Reason: dispatch.InvalidKey, Err: errors.New("x")}, `{"key":1}`},
		{&dispatch.InvalidMessageError{Reason: dispatch.InvalidTimeLeft, Err: errors.New("x")}, `{"left":1}`},
		{&dispatch.InvalidMessageError{Reason: dispatch.InvalidStop, Err: errors.New("x")}, `{"stop":1}`},
		{&dispatch.InvalidMessageError{Reason: dispatch.InvalidTenant, Err: errors.New("x")}, `{"tenant":1}`},
		{&dispatch.InvalidMessageError{Reason: "new", Err: errors.New("x")}, `{"other":1}`},
		{fmt.Errorf("line 3: %w", protocol.ErrTooLong), `{"long line":1}`},
		{errors.New("no JSON"), `{"unreadable":1}`},
		{nil, `{}`},
	} {
		t.Run(test.wantJSON, func(t *testing.T) {
			var counters InvalidInput
			if test.err != nil {
				counters.add(test.err)
			}
			text, err := json.Marshal(&counters)
			if err != nil {
				t.Fatal(err)
			}
			if string(text) != test.wantJSON {
				t.Errorf("the JSON form of the counters is %s, want the JSON in the name of this subtest", text)
			}
		})
	}
}
