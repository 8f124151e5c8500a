package decodelimit

import "bytes"

const (
	// maxUnitLength is the length of the longest unit of a quantity, in bytes. If a longer text follows the
	// digits in a string, the string is not a quantity but, for example, a UID.
	maxUnitLength = 3
	// maxParsedExponent replaces a greater exponent when the exponent is parsed, which prevents an integer
	// overflow.
	maxParsedExponent = 1 << 30
	// maxUnescapedLength is the greatest length, in bytes, of the text that results from decoding the JSON
	// escapes of a quantity. A quantity with escapes is rejected if that text is longer.
	maxUnescapedLength = 256
)

// CheckQuantity checks a string or number that the caller possibly decodes as a resource quantity, such as
// 1e3 or 500m. It returns nil if the text is not a quantity. CheckQuantity also checks a quantity whose
// characters are written as JSON escapes.
func CheckQuantity(text []byte, limits Limits) *Error { return checkQuantity(text, &limits) }

// checkQuantityAt checks a quantity that begins at the given offset of the input. The offset in the returned
// error is counted from the beginning of the input.
func checkQuantityAt(text []byte, limits *Limits, offset int) *Error {
	err := checkQuantity(text, limits)
	if err != nil {
		err.Offset += offset
	}
	return err
}

func checkQuantity(text []byte, limits *Limits) *Error {
	if len(text) > 0 && isLetter(text[0]) {
		return nil // Most strings are names and begin with a letter, which no quantity does.
	}
	text = bytes.TrimSpace(text) // The decoder of quantities also ignores white space around a quantity.
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

// checkExponent checks the exponent of a quantity. The argument exponentText is the part of the text after the
// letter e or E.
func checkExponent(text, exponentText []byte, limits *Limits) *Error {
	exponent := 0
	end := signLength(exponentText)
	for ; end < len(exponentText) && isDigit(exponentText[end]); end++ {
		exponent = min(exponent*10+int(exponentText[end]-'0'), maxParsedExponent)
	}
	if end == len(exponentText) {
		if limits.Exponent > 0 && exponent > limits.Exponent {
			return &Error{ExponentTooLarge, limits.Exponent, 0}
		}
		return nil
	}
	if exponentText[end] == '\\' {
		return checkEscapedQuantity(text, limits)
	}
	return nil // The text is not a quantity but, for example, the UID 144e1135-fce3-47cd-83ea-3cf99f69d193.
}

func signLength(text []byte) int {
	if len(text) > 0 && (text[0] == '+' || text[0] == '-') {
		return 1
	}
	return 0
}

// mantissaLength returns the number of digits and decimal points with which a text begins.
func mantissaLength(text []byte) int {
	length := 0
	for length < len(text) && (isDigit(text[length]) || text[length] == '.') {
		length++
	}
	return length
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isLetter(c byte) bool { return c|32 >= 'a' && c|32 <= 'z' }

// checkEscapedQuantity decodes the JSON escapes of a quantity and checks the resulting text. It rejects the
// quantity if the resulting text is longer than maxUnescapedLength.
func checkEscapedQuantity(text []byte, limits *Limits) *Error {
	var buffer [maxUnescapedLength]byte
	n, ok := unescape(&buffer, text)
	if !ok {
		return &Error{TooManyDigits, limits.Digits, 0}
	}
	return checkQuantity(buffer[:n], limits)
}

// unescape decodes the JSON escapes of a text, writes the resulting text to the buffer, and returns the
// length of the resulting text. The result ok is false if the resulting text does not fit into the buffer.
// The caller needs only ASCII digits, signs and letters. An escape of another character can be decoded to a
// different character that occurs in no quantity, but never to a backslash.
func unescape(buffer *[maxUnescapedLength]byte, text []byte) (n int, ok bool) {
	for i := 0; i < len(text); n++ {
		if n == len(buffer) {
			return 0, false
		}
		switch {
		case text[i] != '\\':
			buffer[n] = text[i]
			i++
		case i+5 < len(text) && text[i+1] == 'u':
			buffer[n] = unescapeHex(text[i+2 : i+6])
			i += 6
		default:
			buffer[n] = '?'
			i += 2
		}
	}
	return n, true
}

// unescapeHex returns the character for the four hexadecimal digits of a \u escape. It returns a question mark
// instead of a backslash, and the character 0x7f instead of a character outside ASCII.
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
