package decodelimit

import "bytes"

const (
	// maxUnitLength is the length of the longest unit of a quantity. A number with more after it is no quantity but, for instance, a UID
	// that begins with digits.
	maxUnitLength = 3
	// exponentCap keeps the parsed exponent from overflowing.
	maxParsedExponent = 1 << 30
	// maxEscaped is the longest text whose escapes are undone to be checked. A longer one is rejected.
	maxEscapedLength = 256
)

// CheckQuantity checks a string or number that may be decoded as a resource quantity, such as 1e3 or 500m. A text that is not a number
// passes. A number with a backslash in it is checked with its escapes undone.
func CheckQuantity(text []byte, limits Limits) *Error { return checkQuantity(text, &limits) }

// checkQuantityAt checks a quantity at an offset in a larger text.
func checkQuantityAt(text []byte, limits *Limits, offset int) *Error {
	err := checkQuantity(text, limits)
	if err != nil {
		err.Offset += offset
	}
	return err
}

func checkQuantity(text []byte, limits *Limits) *Error {
	if len(text) > 0 && isLetter(text[0]) {
		return nil // most strings are names
	}
	text = bytes.TrimSpace(text) // as the decoder of quantities does
	start := signLength(text)
	digits := mantissaLength(text[start:])
	end := start + digits
	suffix := text[end:]
	if limits.Digits > 0 && digits > limits.Digits && len(suffix) <= maxUnitLength {
		return &Error{TooManyDigits, limits.Digits, 0}
	}
	if len(suffix) == 0 {
		return nil
	}
	switch suffix[0] {
	case '\\':
		if end > 0 || len(text) > 1 && text[1] == 'u' {
			return checkEscapedQuantity(text, limits)
		}
	case 'e', 'E':
		if digits > 0 {
			return checkExponent(text, suffix[1:], limits)
		}
	}
	return nil
}

// checkExponent checks the rest of a quantity after its "e".
func checkExponent(text, rest []byte, limits *Limits) *Error {
	exponent := 0
	end := signLength(rest)
	for ; end < len(rest) && isDigit(rest[end]); end++ {
		exponent = min(exponent*10+int(rest[end]-'0'), maxParsedExponent)
	}
	if end == len(rest) {
		if limits.Exponent > 0 && exponent > limits.Exponent {
			return &Error{ExponentTooLarge, limits.Exponent, 0}
		}
		return nil
	}
	if rest[end] == '\\' {
		return checkEscapedQuantity(text, limits)
	}
	return nil // no number to its end: 144e1135-fce3 is the beginning of a UID
}

func signLength(text []byte) int {
	if len(text) > 0 && (text[0] == '+' || text[0] == '-') {
		return 1
	}
	return 0
}

// mantissaLength is the length of the digits and points that a text begins with.
func mantissaLength(text []byte) int {
	length := 0
	for length < len(text) && (isDigit(text[length]) || text[length] == '.') {
		length++
	}
	return length
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isLetter(c byte) bool { return c|32 >= 'a' && c|32 <= 'z' }

// checkEscapedQuantity checks a quantity with its JSON escapes undone. One that is too long for that is rejected.
func checkEscapedQuantity(text []byte, limits *Limits) *Error {
	var plain [maxEscapedLength]byte
	n, ok := unescape(&plain, text)
	if !ok {
		return &Error{TooManyDigits, limits.Digits, 0}
	}
	return checkQuantity(plain[:n], limits)
}

// unescape copies a text with its JSON escapes undone and returns the length, or false if it is too long. Only ASCII digits, signs and
// letters matter: anything else becomes a character that occurs in no number, and never a backslash.
func unescape(out *[maxEscapedLength]byte, text []byte) (n int, ok bool) {
	for i := 0; i < len(text); n++ {
		if n == len(out) {
			return 0, false
		}
		switch {
		case text[i] != '\\':
			out[n] = text[i]
			i++
		case i+5 < len(text) && text[i+1] == 'u':
			out[n] = unescapeHex(text[i+2 : i+6])
			i += 6
		default:
			out[n] = '?'
			i += 2
		}
	}
	return n, true
}

// unescapeHex returns the character of four hexadecimal digits, by the rules of unescape.
func unescapeHex(digits []byte) byte {
	value := 0
	for _, c := range digits {
		value <<= 4
		switch {
		case isDigit(c):
			value |= int(c - '0')
		case c|32 >= 'a' && c|32 <= 'f':
			value |= int(c|32-'a') + 10
		}
	}
	char := byte(min(value, 0x7f))
	if char == '\\' {
		return '?'
	}
	return char
}
