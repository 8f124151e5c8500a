package platformproto

import (
	"fmt"
	"unicode/utf16"
	"unicode/utf8"
)

// parser reads JSON values (RFC 8259) from a text that is valid UTF-8. It goes forward only and takes each byte once.
type parser struct {
	b []byte
	i int
}

func (p *parser) fail(want string) error {
	if p.i >= len(p.b) {
		return fmt.Errorf("line ends at byte %d, want %s", p.i, want)
	}
	return fmt.Errorf("byte %d is %q, want %s", p.i, p.b[p.i], want)
}

func (p *parser) space() {
	for p.i < len(p.b) && (p.b[p.i] == ' ' || p.b[p.i] == '\t' || p.b[p.i] == '\r' || p.b[p.i] == '\n') {
		p.i++
	}
}

// peek is the next byte, 0 at the end.
func (p *parser) peek() byte {
	if p.i < len(p.b) {
		return p.b[p.i]
	}
	return 0
}

func (p *parser) take(c byte) error {
	if p.peek() != c || p.i >= len(p.b) {
		return p.fail(fmt.Sprintf("%q", c))
	}
	p.i++
	return nil
}

// object reads an object; value is called for each key and reads what it stands for.
func (p *parser) object(value func(key string) error) error {
	if err := p.take('{'); err != nil {
		return err
	}
	p.space()
	if p.peek() == '}' {
		p.i++
		return nil
	}
	for {
		p.space()
		key, err := p.text()
		if err != nil {
			return err
		}
		p.space()
		if err := p.take(':'); err != nil {
			return err
		}
		p.space()
		if err := value(key); err != nil {
			return err
		}
		p.space()
		if p.peek() == ',' {
			p.i++
			continue
		}
		return p.take('}')
	}
}

// text reads a string and undoes its escapes.
func (p *parser) text() (string, error) {
	if err := p.take('"'); err != nil {
		return "", err
	}
	from := p.i
	for p.i < len(p.b) && p.b[p.i] != '"' && p.b[p.i] != '\\' && p.b[p.i] >= 0x20 {
		p.i++
	}
	if p.peek() == '"' { // nothing to undo
		s := string(p.b[from:p.i])
		p.i++
		return s, nil
	}
	out := append([]byte(nil), p.b[from:p.i]...)
	for p.i < len(p.b) {
		c := p.b[p.i]
		switch {
		case c == '"':
			p.i++
			return string(out), nil
		case c < 0x20:
			return "", p.fail("no control character in a string")
		case c != '\\':
			out = append(out, c)
			p.i++
		default:
			r, err := p.escape()
			if err != nil {
				return "", err
			}
			out = utf8.AppendRune(out, r)
		}
	}
	return "", p.fail("the end of a string")
}

func (p *parser) escape() (rune, error) {
	p.i++ // the backslash
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
		r, err := p.hex4()
		if err != nil || !utf16.IsSurrogate(r) {
			return r, err
		}
		// Half of a pair stands for no character: readers differ on it.
		if p.peek() == '\\' && p.i+1 < len(p.b) && p.b[p.i+1] == 'u' {
			p.i++
			low, err := p.hex4()
			if err != nil {
				return 0, err
			}
			if r = utf16.DecodeRune(r, low); r != utf8.RuneError {
				return r, nil
			}
		}
		return 0, p.fail("a whole surrogate pair")
	default:
		return 0, p.fail("an escape")
	}
	p.i++
	return rune(c), nil
}

// hex4 reads uXXXX.
func (p *parser) hex4() (rune, error) {
	p.i++
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
			return 0, p.fail("a hexadecimal digit")
		}
		p.i++
	}
	return r, nil
}

func (p *parser) digits() bool {
	from := p.i
	for p.peek() >= '0' && p.peek() <= '9' {
		p.i++
	}
	return p.i > from
}

// number reads a number and returns it as written.
func (p *parser) number() (string, error) {
	from := p.i
	if p.peek() == '-' {
		p.i++
	}
	if p.peek() == '0' {
		p.i++
	} else if !p.digits() {
		return "", p.fail("a number")
	}
	if p.peek() == '.' {
		p.i++
		if !p.digits() {
			return "", p.fail("a digit")
		}
	}
	if c := p.peek(); c == 'e' || c == 'E' {
		p.i++
		if c := p.peek(); c == '+' || c == '-' {
			p.i++
		}
		if !p.digits() {
			return "", p.fail("a digit")
		}
	}
	return string(p.b[from:p.i]), nil
}

// skip reads any value and forgets it.
func (p *parser) skip(depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("byte %d: nested deeper than %d", p.i, maxDepth)
	}
	switch c := p.peek(); c {
	case '"':
		_, err := p.text()
		return err
	case '{':
		return p.object(func(string) error { return p.skip(depth + 1) })
	case '[':
		p.i++
		p.space()
		if p.peek() == ']' {
			p.i++
			return nil
		}
		for {
			p.space()
			if err := p.skip(depth + 1); err != nil {
				return err
			}
			p.space()
			if p.peek() != ',' {
				return p.take(']')
			}
			p.i++
		}
	case 't':
		return p.word("true")
	case 'f':
		return p.word("false")
	case 'n':
		return p.word("null")
	}
	_, err := p.number()
	return err
}

func (p *parser) word(w string) error {
	if len(p.b)-p.i < len(w) || string(p.b[p.i:p.i+len(w)]) != w {
		return p.fail(w)
	}
	p.i += len(w)
	return nil
}
