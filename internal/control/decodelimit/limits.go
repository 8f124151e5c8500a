// Package decodelimit checks, before a text is decoded, whether decoding it may cost more than a stated bound: nesting depth, number of
// values, length of numbers, and quantities whose exponents are short to write and expensive to compute with.
//
// The API server calls CheckJSON and CheckProto on request bodies, and package reflector on what it receives, before decoding.
//
// It is pure, imports nothing of the project, and allocates no memory that grows with its input.
package decodelimit

import "fmt"

// Limits bound one text. A field of 0 means no limit.
type Limits struct {
	Bytes        int // of the whole text
	Depth        int // of nested objects and arrays, or messages
	Values       int // objects, arrays, strings, numbers and literals; names do not count
	NumberLength int // characters of a number
	Exponent     int // largest magnitude of a decimal exponent in a number or a quantity
	Digits       int // digits of a quantity written as a string
}

// ObjectLimits returns the limits of one object of the Kubernetes API.
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

// Bound names a limit that a text exceeds, as clients read it.
type Bound string

// The bounds.
const (
	TooManyBytes     Bound = "too many bytes"
	TooManyValues    Bound = "too many values"
	ObjectsTooDeep   Bound = "objects too deep inside each other"
	MessagesTooDeep  Bound = "messages too deep inside each other"
	NumberTooLong    Bound = "number too long"
	TooManyDigits    Bound = "too many digits in a quantity"
	ExponentTooLarge Bound = "exponent too large in a quantity"
)

// Error reports a text that exceeds a limit.
type Error struct {
	Bound  Bound
	Limit  int // the limit that it exceeds
	Offset int // byte at which it does
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at byte %d: at most %d", e.Bound, e.Offset, e.Limit)
}

// TooLarge reports whether the text exceeds a limit of size rather than of form.
func (e *Error) TooLarge() bool { return e.Bound == TooManyBytes || e.Bound == TooManyValues }

// checkBytes checks the length of a text.
func (l *Limits) checkBytes(text []byte) *Error {
	if l.Bytes > 0 && len(text) > l.Bytes {
		return &Error{TooManyBytes, l.Bytes, l.Bytes}
	}
	return nil
}

// countValue counts one more value, at an offset in the text.
func (l *Limits) countValue(values *int, offset int) *Error {
	*values++
	if l.Values > 0 && *values > l.Values {
		return &Error{TooManyValues, l.Values, offset}
	}
	return nil
}
