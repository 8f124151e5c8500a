// Package decodelimit checks JSON and protobuf input before it is decoded. It rejects input that would take too
// much time or memory to decode. Limits apply to the length of the input, the nesting depth, the number of
// values, the length of numbers, and the digits and exponents of resource quantities. A quantity with a large
// exponent can be a short text, but computing with its value is expensive.
//
// The API server passes request bodies to CheckJSON and CheckProto before it decodes them. Package reflector
// does the same with the objects that it receives from an API server.
//
// The package has no side effects, imports no other package of this module, and allocates no memory that grows
// with the input.
package decodelimit

import "fmt"

// Limits contains the upper bounds that an input must not exceed. A field with the value 0 imposes no limit.
type Limits struct {
	Bytes        int // Bytes limits the length of the input in bytes.
	Depth        int // Depth limits how deeply JSON objects and arrays, or protobuf messages, are nested.
	Values       int // Values limits the number of JSON values or protobuf fields; member names of JSON objects do not count as values.
	NumberLength int // NumberLength limits the length of a JSON number in characters.
	Exponent     int // Exponent limits the absolute value of the decimal exponent of a number or quantity.
	Digits       int // Digits limits the number of digits before the exponent or unit of a number or quantity.
}

// ObjectLimits returns the limits for the encoded form of one object of the Kubernetes API.
func ObjectLimits() Limits {
	return Limits{
		Bytes:        3 << 20,
		Depth:        64,
		Values:       20000,
		NumberLength: 64,
		Exponent:     99,
		Digits:       64,
	}
}

// Violation states which limit an input exceeds. Its text is part of the error message that clients receive.
type Violation string

// The constants of type Violation are the violations that an Error reports.
const (
	TooManyBytes     Violation = "too many bytes"
	TooManyValues    Violation = "too many values"
	ObjectsTooDeep   Violation = "objects too deep inside each other"
	MessagesTooDeep  Violation = "messages too deep inside each other"
	NumberTooLong    Violation = "number too long"
	TooManyDigits    Violation = "too many digits in a quantity"
	ExponentTooLarge Violation = "exponent too large in a quantity"
)

// Error reports an input that exceeds a limit.
type Error struct {
	Violation Violation
	Limit     int // Limit is the value of the limit that the input exceeds.
	Offset    int // Offset is the position in the input, in bytes, at which the limit is exceeded.
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at byte %d: at most %d", e.Violation, e.Offset, e.Limit)
}

// TooLarge reports whether the exceeded limit is Limits.Bytes or Limits.Values, which limit the size of the
// input. The other limits apply to the structure of the input and to its numbers.
func (e *Error) TooLarge() bool { return e.Violation == TooManyBytes || e.Violation == TooManyValues }

// checkBytes returns an error if the input is longer than Limits.Bytes.
func (l *Limits) checkBytes(text []byte) *Error {
	if l.Bytes > 0 && len(text) > l.Bytes {
		return &Error{TooManyBytes, l.Bytes, l.Bytes}
	}
	return nil
}

// countValue increments valueCount and returns an error if the number of values then exceeds Limits.Values. The
// argument offset is the position of the last counted value in the input.
func (l *Limits) countValue(valueCount *int, offset int) *Error {
	*valueCount++
	if l.Values > 0 && *valueCount > l.Values {
		return &Error{TooManyValues, l.Values, offset}
	}
	return nil
}
