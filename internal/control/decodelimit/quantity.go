package decodelimit

import "bytes"

const (
	// maxUnitLength is the length of the longest unit of a quantity. Digits that are followed by a longer
	// text are not a quantity but, for example, the beginning of a UID.
	maxUnitLength = 3
	// maxParsedExponent limits the exponent during parsing, so that it does not overflow.
	maxParsedExponent = 1 << 30
	// maxEscapedLength is the greatest length that a text may have after its JSON escapes are decoded. A
	// longer text with escapes is rejected.
	maxEscapedLength = 256
)

// CheckQuantity checks a string or number that may be decoded as a resource quantity, such as 1e3 or 500m. It
// accepts a text that is not a number. It decodes JSON escapes in a number before it checks the number.
func CheckQuantity(text []byte, limits Limits) *Error { return checkQuantity(text, &limits) }

// checkQuantityAt checks a quantity that begins at the given offset of the whole input.
func checkQuantityAt(text []byte, limits *Limits, offset int) *Error {
	err := checkQuantity(text, limits)
	if err != nil {
		err.Offset += offset
	}
	return err
}

func checkQuantity(text []byte, limits *Limits) *Error {
	if len(text) > 0 && isLetter(text[0]) {
		return nil // Most strings are names, which begin with a letter.
	}
	text = bytes.TrimSpace(text) // The decoder of quantities trims white space as well.
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

// checkExponent checks the exponent of a quantity. The argument rest is the part of the text after the letter
// "e".
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
	return nil // The text is not a number: for example, 144e1135-fce3 is the beginning of a UID.
}

func signLength(text []byte) int {
	if len(text) > 0 && (text[0] == '+' || text[0] == '-') {
		return 1
	}
	return 0
}

// mantissaLength returns the length of the leading digits and decimal points of a text.
func mantissaLength(text []byte) int {
	length := 0
	for length < len(text) && (isDigit(text[length]) || text[length] == '.') {
		length++
	}
	return length
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isLetter(c byte) bool { return c|32 >= 'a' && c|32 <= 'z' }

// checkEscapedQuantity decodes the JSON escapes of a quantity and checks the result. It rejects a text whose
// decoded form is longer than maxEscapedLength.
func checkEscapedQuantity(text []byte, limits *Limits) *Error {
	var plain [maxEscapedLength]byte
	n, ok := unescape(&plain, text)
	if !ok {
		return &Error{TooManyDigits, limits.Digits, 0}
	}
	return checkQuantity(plain[:n], limits)
}

// unescape decodes the JSON escapes of a text into out. It returns the decoded length, or false if the result
// does not fit. Only ASCII digits, signs and letters matter to the caller. Any other escape becomes a
// character that occurs in no number, and never a backslash.
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

// unescapeHex returns the character for the four hexadecimal digits of a \u escape. It returns a question
// mark for a backslash, and the character 0x7f for a value outside ASCII.
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
