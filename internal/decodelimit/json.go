// Package bound says, before a text is decoded, whether decoding it may cost more than its stated bound: depth, number of values,
// length of numbers, and quantities whose exponents are small to write and huge to compute with.
//
// It is pure and imports nothing of the project. It allocates nothing that grows with its input.
package decodelimit

import (
	"bytes"
	"fmt"
)

// Limits bound one text. A field of 0 is no bound.
type Limits struct {
	Bytes        int // of the whole text
	Depth        int // of objects and arrays inside each other
	Values       int // objects, arrays, strings, numbers and literals, names not counted
	NumberLength int // characters of a number
	Exponent     int // the largest magnitude of a decimal exponent in a number or a quantity
	Digits       int // digits of a quantity written as a string
}

// ObjectLimits is what one object of the API may be.
func ObjectLimits() Limits {
	return Limits{Bytes: 3 << 20, Depth: 64, Values: 20000, NumberLength: 64, Exponent: 99, Digits: 64}
}

// Error is a text over a bound.
type Error struct {
	What   string // the bound, in words
	Limit  int
	Offset int // byte at which it was passed
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s at byte %d: at most %d", e.What, e.Offset, e.Limit)
}

// TooLarge says whether the bound is one of size rather than of form.
func (e *Error) TooLarge() bool { return e.What == "too many bytes" || e.What == "too many values" }

// freeTextFields are the names below which a string is free text, never a quantity.
var freeTextFields = map[string]bool{"annotations": true, "labels": true, "matchLabels": true, "nodeSelector": true, "value": true, "values": true,
	"args": true, "command": true, "message": true, "stringData": true, "fieldsV1": true}

// CheckJSON checks a text that claims to be JSON. It does not say whether it is JSON: a decoder does that; what it lets pass is safe to hand
// to one.
func CheckJSON(b []byte, limits Limits) error {
	if limits.Bytes > 0 && len(b) > limits.Bytes {
		return &Error{"too many bytes", limits.Bytes, limits.Bytes}
	}
	var (
		depth, values int
		free          int // depth of the outermost object or array that holds free text, 0 if none
		name          []byte
		inObject      [1024]bool
		wantName      bool
	)
	deepest := min(len(inObject)-1, limits.Depth)
	if limits.Depth <= 0 {
		deepest = len(inObject) - 1
	}
	value := func(at int) error {
		values++
		if limits.Values > 0 && values > limits.Values {
			return &Error{"too many values", limits.Values, at}
		}
		return nil
	}
	for i := 0; i < len(b); {
		switch c := b[i]; {
		case c == '{' || c == '[':
			if err := value(i); err != nil {
				return err
			}
			if depth++; depth > deepest {
				return &Error{"objects too deep inside each other", deepest, i}
			}
			if free == 0 && freeTextFields[string(name)] {
				free = depth
			}
			inObject[depth], wantName = c == '{', c == '{'
			name = nil
			i++
		case c == '}' || c == ']':
			if depth > 0 {
				if free == depth {
					free = 0
				}
				depth--
			}
			name, wantName = nil, false
			i++
		case c == ',':
			wantName = inObject[depth]
			if wantName {
				name = nil
			}
			i++
		case c == '"':
			j := i + 1
			for j < len(b) && b[j] != '"' {
				if b[j] == '\\' {
					j++
				}
				j++
			}
			s := b[i+1 : min(j, len(b))]
			if wantName {
				name, wantName = s, false
			} else {
				if err := value(i); err != nil {
					return err
				}
				if free == 0 && !freeTextFields[string(name)] {
					if err := CheckQuantity(s, limits); err != nil {
						err.Offset += i
						return err
					}
				}
			}
			i = j + 1
		case c == '-' || c >= '0' && c <= '9':
			j := i + 1
			for j < len(b) && (b[j] >= '0' && b[j] <= '9' || b[j] == '.' || b[j] == 'e' || b[j] == 'E' || b[j] == '+' || b[j] == '-') {
				j++
			}
			if err := value(i); err != nil {
				return err
			}
			if limits.NumberLength > 0 && j-i > limits.NumberLength {
				return &Error{"number too long", limits.NumberLength, i}
			}
			if err := CheckQuantity(b[i:j], limits); err != nil {
				err.Offset += i
				return err
			}
			i = j
		case c == 't' || c == 'f' || c == 'n':
			if err := value(i); err != nil {
				return err
			}
			for i++; i < len(b) && b[i] >= 'a' && b[i] <= 'z'; i++ {
			}
		default:
			i++
		}
	}
	return nil
}

// CheckQuantity checks a text that may be read as a quantity of a resource, such as 1e3 or 500m. What is no number passes: it does no harm.
// A backslash may hide characters from this look, so a number with one in it is refused.
func CheckQuantity(s []byte, limits Limits) *Error {
	s = bytes.TrimSpace(s) // as the decoder of quantities does
	i, digits := 0, 0
	if i < len(s) && (s[i] == '+' || s[i] == '-') {
		i++
	}
	for i < len(s) && (s[i] >= '0' && s[i] <= '9' || s[i] == '.') {
		i++
		digits++
	}
	// A unit has three characters at most. What goes on longer is no quantity, such as an identity that begins with digits.
	if limits.Digits > 0 && digits > limits.Digits && len(s)-i <= 3 {
		return &Error{"too many digits in a quantity", limits.Digits, 0}
	}
	if i == len(s) {
		return nil
	}
	if s[i] == '\\' && (digits > 0 || i > 0 || len(s) > 1 && s[1] == 'u') {
		return checkEscapedQuantity(s, limits)
	}
	if digits == 0 || s[i] != 'e' && s[i] != 'E' {
		return nil
	}
	if i++; i < len(s) && (s[i] == '+' || s[i] == '-') {
		i++
	}
	exp := 0
	for ; i < len(s) && s[i] >= '0' && s[i] <= '9'; i++ {
		exp = min(exp*10+int(s[i]-'0'), 1<<30)
	}
	// Only a text that is a number to its end is one: 144e1135-fce3 is the beginning of an identity.
	if i == len(s) && limits.Exponent > 0 && exp > limits.Exponent {
		return &Error{"exponent too large in a quantity", limits.Exponent, 0}
	}
	if i < len(s) && s[i] == '\\' {
		return checkEscapedQuantity(s, limits)
	}
	return nil
}

// checkEscapedQuantity looks at a short text again with its escapes undone; a longer one that hides a number so is refused.
func checkEscapedQuantity(s []byte, limits Limits) *Error {
	var out [256]byte
	n := 0
	for i := 0; i < len(s); {
		if n == len(out) {
			return &Error{"too many digits in a quantity", limits.Digits, 0}
		}
		if s[i] != '\\' {
			out[n] = s[i]
			n++
			i++
			continue
		}
		if i+5 < len(s) && s[i+1] == 'u' {
			v := 0
			for _, c := range s[i+2 : i+6] {
				v <<= 4
				switch {
				case c >= '0' && c <= '9':
					v |= int(c - '0')
				case c|32 >= 'a' && c|32 <= 'f':
					v |= int(c|32-'a') + 10
				}
			}
			out[n] = byte(min(v, 0x7f))
			if out[n] == '\\' {
				out[n] = '?'
			}
			n++
			i += 6
			continue
		}
		out[n] = '?'
		n++
		i += 2
	}
	return CheckQuantity(out[:n], limits)
}
