// Package decodelimit checks encoded input before it is decoded, and rejects input whose decoding may exceed
// a cost limit. The limits cover the nesting depth, the number of values, the length of numbers, and
// quantities with large exponents, which are short to write and expensive to compute with.
//
// The API server calls CheckJSON and CheckProto on request bodies before it decodes them. Package reflector
// does the same with the data that it receives.
//
// The package has no side effects, imports no other package of this module, and allocates no memory that
// grows with its input.
package decodelimit

import "fmt"

// Limits are upper bounds for one input. A field with the value 0 means that there is no limit.
type Limits struct {
	Bytes        int // Bytes limits the length of the whole input.
	Depth        int // Depth limits how deep objects and arrays, or protobuf messages, are nested.
	Values       int // Values limits the number of objects, arrays, strings, numbers and literals; names do not count.
	NumberLength int // NumberLength limits the number of characters of a number.
	Exponent     int // Exponent limits the magnitude of a decimal exponent in a number or a quantity.
	Digits       int // Digits limits the number of digits of a quantity that is written as a string.
}

// ObjectLimits returns the limits for one object of the Kubernetes API.
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

// Violation is the kind of limit that an input exceeds. Its text is part of the error message that clients
// receive.
type Violation string

// The constants of type Violation are the kinds of limits that an Error reports.
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
	Limit     int // Limit is the value of the exceeded limit.
	Offset    int // Offset is the position, in bytes, at which the input exceeds the limit.
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at byte %d: at most %d", e.Violation, e.Offset, e.Limit)
}

// TooLarge reports whether the input exceeds a limit on its size, rather than on its structure or its
// numbers.
func (e *Error) TooLarge() bool { return e.Violation == TooManyBytes || e.Violation == TooManyValues }

// checkBytes checks the length of an input.
func (l *Limits) checkBytes(text []byte) *Error {
	if l.Bytes > 0 && len(text) > l.Bytes {
		return &Error{TooManyBytes, l.Bytes, l.Bytes}
	}
	return nil
}

// countValue counts one more value and returns an error for the given offset if there are too many.
func (l *Limits) countValue(values *int, offset int) *Error {
	*values++
	if l.Values > 0 && *values > l.Values {
		return &Error{TooManyValues, l.Values, offset}
	}
	return nil
}
