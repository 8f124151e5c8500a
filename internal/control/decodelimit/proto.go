package decodelimit

import "google.golang.org/protobuf/encoding/protowire"

// anyFieldNumber is passed as a field number where only the wire type of the field matters.
const anyFieldNumber = 1

// CheckProto checks a protobuf message and returns an *Error if the message exceeds a limit. CheckProto has
// no schema, so it cannot distinguish a string from a nested message. It checks the content of each
// length-delimited field as a quantity, and also as a nested message if the content has the form of a
// message.
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

// messageScanner scans a protobuf message and the messages that are nested in it.
type messageScanner struct {
	limits     Limits
	valueCount int
}

// scan scans one message, which begins at the given offset of the input. The result wellFormed is false if the
// bytes do not form a message, and err is then nil.
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
		var content []byte // The content stays empty if the field is not length-delimited.
		if wireType == protowire.BytesType {
			content, n = protowire.ConsumeBytes(rest)
		} else {
			n = protowire.ConsumeFieldValue(anyFieldNumber, wireType, rest)
		}
		if n < 0 {
			return false, nil
		}
		rest = rest[n:]
		if err == nil { // After an error, only the result wellFormed has to be determined.
			err = s.checkField(content, depth, fieldOffset)
		}
	}
	return true, err
}

// checkField counts one field of a message as a value. If the field is length-delimited, checkField also
// checks the content of the field as a quantity and as a nested message. For any other field, the argument
// content is empty.
func (s *messageScanner) checkField(content []byte, depth, offset int) *Error {
	if err := s.limits.countValue(&s.valueCount, offset); err != nil {
		return err
	}
	if len(content) == 0 {
		return nil
	}
	if err := checkQuantityAt(content, &s.limits, offset); err != nil || len(content) == 1 {
		return err
	}
	valueCountBefore := s.valueCount
	wellFormed, err := s.scan(content, depth+1, offset)
	if !wellFormed {
		s.valueCount = valueCountBefore // The field contains no message, so the values that scan counted in it do not count.
	}
	return err
}
