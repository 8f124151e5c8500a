package decodelimit

import "google.golang.org/protobuf/encoding/protowire"

// anyFieldNumber is a placeholder for the number of a field when only the field's wire type matters.
const anyFieldNumber = 1

// CheckProto checks a protobuf message and returns an *Error if it exceeds a limit. Without a schema, a
// string cannot be distinguished from a nested message. A length-delimited field is therefore checked as a
// quantity, and also as a message if it is well-formed as one.
func CheckProto(message []byte, limits Limits) error {
	if err := limits.checkBytes(message); err != nil {
		return err
	}
	scanner := messageScanner{limits: limits}
	if _, err := scanner.scan(message, 1, 0); err != nil {
		return err
	}
	return nil
}

// messageScanner scans a message and the messages nested in it.
type messageScanner struct {
	limits Limits
	values int
}

// scan scans one message that begins at the given offset in the whole input. The result wellFormed reports
// whether all of the bytes form a message; err is nil if they do not.
func (s *messageScanner) scan(message []byte, depth, offset int) (wellFormed bool, err *Error) {
	if s.limits.Depth > 0 && depth > s.limits.Depth {
		return true, &Error{MessagesTooDeep, s.limits.Depth, offset}
	}
	for rest := message; len(rest) > 0; {
		fieldOffset := offset + len(message) - len(rest)
		_, wireType, n := protowire.ConsumeTag(rest)
		if n < 0 {
			return false, nil
		}
		rest = rest[n:]
		var value []byte // The value stays empty for a field that is not length-delimited.
		if wireType == protowire.BytesType {
			value, n = protowire.ConsumeBytes(rest)
		} else {
			n = protowire.ConsumeFieldValue(anyFieldNumber, wireType, rest)
		}
		if n < 0 {
			return false, nil
		}
		rest = rest[n:]
		if err == nil { // After an error, the scan only has to determine whether the message is well-formed.
			err = s.checkField(value, depth, fieldOffset)
		}
	}
	return true, err
}

// checkField checks one field of a message as a value, as a quantity and as a nested message.
func (s *messageScanner) checkField(value []byte, depth, offset int) *Error {
	if err := s.limits.countValue(&s.values, offset); err != nil {
		return err
	}
	if len(value) == 0 {
		return nil
	}
	if err := checkQuantityAt(value, &s.limits, offset); err != nil || len(value) == 1 {
		return err
	}
	valuesBefore := s.values
	wellFormed, err := s.scan(value, depth+1, offset)
	if !wellFormed {
		s.values = valuesBefore // The field is a string rather than a message, so the values counted in it are discarded.
	}
	return err
}
