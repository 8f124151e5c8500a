package protocol

import (
	"fmt"
	"unicode/utf16"
	"unicode/utf8"
)

// parser is a recursive-descent parser of JSON values (RFC 8259). It reads a line of valid UTF-8 in one pass.
type parser struct {
	line     []byte
	position int
}

// expectedError returns an error that states the byte at the current position and what was expected there.
func (p *parser) expectedError(want string) error {
	if p.position >= len(p.line) {
		return fmt.Errorf("line ends at byte %d, want %s", p.position, want)
	}
	return fmt.Errorf("byte %d is %q, want %s", p.position, p.line[p.position], want)
}

func (p *parser) skipSpace() {
	for p.position < len(p.line) && isSpace(p.line[p.position]) {
		p.position++
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// peek returns the next byte without consuming it. It returns 0 at the end of the line.
func (p *parser) peek() byte {
	if p.position < len(p.line) {
		return p.line[p.position]
	}
	return 0
}

// expect consumes the given byte. It returns an error if the next byte is a different one.
func (p *parser) expect(c byte) error {
	if p.peek() != c || p.position >= len(p.line) {
		return p.expectedError(fmt.Sprintf("%q", c))
	}
	p.position++
	return nil
}

// parseObject parses an object. It calls parseValue for each key of the object, and parseValue must consume
// the value of this key.
func (p *parser) parseObject(parseValue func(key string) error) error {
	if err := p.expect('{'); err != nil {
		return err
	}
	p.skipSpace()
	if p.peek() == '}' {
		p.position++
		return nil
	}
	for {
		p.skipSpace()
		key, err := p.parseString()
		if err != nil {
			return err
		}
		p.skipSpace()
		if err := p.expect(':'); err != nil {
			return err
		}
		p.skipSpace()
		if err := parseValue(key); err != nil {
			return err
		}
		p.skipSpace()
		if p.peek() == ',' {
			p.position++
			continue
		}
		return p.expect('}')
	}
}

// parseString parses a string and returns its text with escape sequences decoded.
func (p *parser) parseString() (string, error) {
	if err := p.expect('"'); err != nil {
		return "", err
	}
	start := p.position
	for p.position < len(p.line) && isUnescaped(p.line[p.position]) {
		p.position++
	}
	if p.peek() == '"' { // The string contains no escape sequence, so its bytes are its text.
		value := string(p.line[start:p.position])
		p.position++
		return value, nil
	}
	decodedText := append([]byte(nil), p.line[start:p.position]...)
	for p.position < len(p.line) {
		c := p.line[p.position]
		switch {
		case c == '"':
			p.position++
			return string(decodedText), nil
		case c < 0x20:
			return "", p.expectedError("a character other than a control character")
		case c != '\\':
			decodedText = append(decodedText, c)
			p.position++
		default:
			r, err := p.parseEscape()
			if err != nil {
				return "", err
			}
			decodedText = utf8.AppendRune(decodedText, r)
		}
	}
	return "", p.expectedError("the closing quote of a string")
}

// isUnescaped reports whether a byte in a JSON string stands for itself and needs no decoding.
func isUnescaped(c byte) bool { return c != '"' && c != '\\' && c >= 0x20 }

// parseEscape parses the escape sequence at the current position and returns the character that it encodes.
func (p *parser) parseEscape() (rune, error) {
	p.position++ // This consumes the backslash.
	c := p.peek()
	switch c {
	case '"', '\\', '/':
	case 'b':
		c = '\b'
	case 'f':
		c = '\f'
	case 'n':
		c = '\n'
	case 'r':
		c = '\r'
	case 't':
		c = '\t'
	case 'u':
		r, err := p.parseHexEscape()
		if err != nil || !utf16.IsSurrogate(r) {
			return r, err
		}
		// Half of a surrogate pair encodes no character, and JSON parsers disagree on how to treat it, so
		// this parser rejects it.
		if p.peek() == '\\' && p.position+1 < len(p.line) && p.line[p.position+1] == 'u' {
			p.position++
			lowSurrogate, err := p.parseHexEscape()
			if err != nil {
				return 0, err
			}
			if r = utf16.DecodeRune(r, lowSurrogate); r != utf8.RuneError {
				return r, nil
			}
		}
		return 0, p.expectedError("a complete surrogate pair")
	default:
		return 0, p.expectedError("an escape sequence")
	}
	p.position++
	return rune(c), nil
}

// parseHexEscape parses the letter u and the four hexadecimal digits of a Unicode escape sequence.
func (p *parser) parseHexEscape() (rune, error) {
	p.position++
	var r rune
	for range 4 {
		c := p.peek()
		switch {
		case c >= '0' && c <= '9':
			r = r<<4 | rune(c-'0')
		case c >= 'a' && c <= 'f':
			r = r<<4 | rune(c-'a'+10)
		case c >= 'A' && c <= 'F':
			r = r<<4 | rune(c-'A'+10)
		default:
			return 0, p.expectedError("a hexadecimal digit")
		}
		p.position++
	}
	return r, nil
}

// skipDigits consumes all decimal digits at the current position and reports whether there was at least one.
func (p *parser) skipDigits() bool {
	start := p.position
	for p.peek() >= '0' && p.peek() <= '9' {
		p.position++
	}
	return p.position > start
}

// parseNumber parses a number and returns its text unchanged.
func (p *parser) parseNumber() (string, error) {
	start := p.position
	if p.peek() == '-' {
		p.position++
	}
	if p.peek() == '0' {
		p.position++
	} else if !p.skipDigits() {
		return "", p.expectedError("a number")
	}
	if p.peek() == '.' {
		p.position++
		if !p.skipDigits() {
			return "", p.expectedError("a digit")
		}
	}
	if c := p.peek(); c == 'e' || c == 'E' {
		p.position++
		if c := p.peek(); c == '+' || c == '-' {
			p.position++
		}
		if !p.skipDigits() {
			return "", p.expectedError("a digit")
		}
	}
	return string(p.line[start:p.position]), nil
}

// skipValue consumes a value of any type. depth is the nesting depth of this value. If the value contains
// another value that is nested deeper than maxSkippedDepth, skipValue returns an error.
func (p *parser) skipValue(depth int) error {
	if depth > maxSkippedDepth {
		return fmt.Errorf("value at byte %d is nested deeper than %d levels", p.position, maxSkippedDepth)
	}
	switch c := p.peek(); c {
	case '"':
		_, err := p.parseString()
		return err
	case '{':
		return p.parseObject(func(string) error { return p.skipValue(depth + 1) })
	case '[':
		return p.skipArray(depth)
	case 't':
		return p.expectLiteral("true")
	case 'f':
		return p.expectLiteral("false")
	case 'n':
		return p.expectLiteral("null")
	}
	_, err := p.parseNumber()
	return err
}

// skipArray consumes an array. depth is the nesting depth of the array itself; its elements are one level
// deeper.
func (p *parser) skipArray(depth int) error {
	p.position++ // This consumes the opening bracket.
	p.skipSpace()
	if p.peek() == ']' {
		p.position++
		return nil
	}
	for {
		p.skipSpace()
		if err := p.skipValue(depth + 1); err != nil {
			return err
		}
		p.skipSpace()
		if p.peek() != ',' {
			return p.expect(']')
		}
		p.position++
	}
}

// expectLiteral consumes the given literal. It returns an error if the line does not continue with this
// literal.
func (p *parser) expectLiteral(literal string) error {
	if len(p.line)-p.position < len(literal) || string(p.line[p.position:p.position+len(literal)]) != literal {
		return p.expectedError(literal)
	}
	p.position += len(literal)
	return nil
}
