package decodelimit

import "bytes"

const (
	// maxUnitLength is the length of the longest unit of a quantity, in bytes. Digits before a longer text are
	// not a quantity but, for example, the beginning of a UID.
	maxUnitLength = 3
	// maxParsedExponent is the value at which the parsed exponent stops growing. It prevents an integer overflow.
	maxParsedExponent = 1 << 30
	// maxEscapedLength is the greatest length, in bytes, of a quantity with JSON escapes after the escapes are
	// decoded. A longer quantity with escapes is rejected.
	maxEscapedLength = 256
)

// CheckQuantity checks a string or number that is possibly decoded as a resource quantity, such as 1e3 or
// 500m. It returns nil for a text that is not a quantity. If the text contains JSON escapes, CheckQuantity
// decodes them first.
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
	return nil // The text is no quantity. For example, the UID 144e1135-fce3-47cd-83ea-3cf99f69d193 has this form.
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

// checkEscapedQuantity decodes the JSON escapes of a quantity and checks the decoded text. It rejects the
// quantity if the decoded text is longer than maxEscapedLength.
func checkEscapedQuantity(text []byte, limits *Limits) *Error {
	var decoded [maxEscapedLength]byte
	n, ok := unescape(&decoded, text)
	if !ok {
		return &Error{TooManyDigits, limits.Digits, 0}
	}
	return checkQuantity(decoded[:n], limits)
}

// unescape decodes the JSON escapes of a text into the array decoded and returns the length of the decoded
// text. The result ok is false if the decoded text does not fit. The caller only needs ASCII digits, signs
// and letters. Any other escaped character is replaced by a character that occurs in no quantity, and never
// by a backslash.
func unescape(decoded *[maxEscapedLength]byte, text []byte) (n int, ok bool) {
	for i := 0; i < len(text); n++ {
		if n == len(decoded) {
			return 0, false
		}
		switch {
		case text[i] != '\\':
			decoded[n] = text[i]
			i++
		case i+5 < len(text) && text[i+1] == 'u':
			decoded[n] = unescapeHex(text[i+2 : i+6])
			i += 6
		default:
			decoded[n] = '?'
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
