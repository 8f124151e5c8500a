package protocol

import (
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// MaxLine is the longest line in bytes, its line feed included.
const MaxLine = 16 << 10

// maxSkippedDepth bounds the nesting of values under unknown keys.
const maxSkippedDepth = 8

// ErrTooLong is the error of a line that does not end within MaxLine.
var ErrTooLong = errors.New("line longer than 16 KiB")

// keySet is a set of the keys of a message's object. Unknown keys are not part of it.
type keySet uint8

const (
	keyKind keySet = 1 << iota
	keyUID
	keyMeta
	keyReason
	keyBody

	requiredKeys = keyKind | keyUID
)

// keyOf returns the set of one key, or the empty set if the key is unknown.
func keyOf(key string) keySet {
	switch key {
	case "kind":
		return keyKind
	case "uid":
		return keyUID
	case "meta":
		return keyMeta
	case "reason":
		return keyReason
	case "body":
		return keyBody
	}
	return 0
}

// Parse parses one line without its line feed. The error is ErrTooLong, or says what is invalid and where.
func Parse(line []byte, msg *Message) error {
	*msg = Message{}
	if len(line) >= MaxLine {
		return ErrTooLong
	}
	if !utf8.Valid(line) {
		return errors.New("line is not UTF-8")
	}
	p := parser{line: line}
	var seen keySet
	p.skipSpace()
	err := p.parseObject(func(key string) error {
		known := keyOf(key)
		if err := p.parseMember(msg, known); err != nil {
			return fmt.Errorf("%.20q: %w", key, err)
		}
		if seen&known != 0 {
			return fmt.Errorf("duplicate key %q", key)
		}
		seen |= known
		return nil
	})
	if err != nil {
		return err
	}
	p.skipSpace()
	if p.position < len(p.line) {
		return p.syntaxError("the end of the line")
	}
	if seen&requiredKeys != requiredKeys {
		return errors.New(`message without "kind" or "uid"`)
	}
	return nil
}

// parseMember parses the value of one key of a message's object. The value of an unknown key is skipped.
func (p *parser) parseMember(msg *Message, key keySet) (err error) {
	switch key {
	case keyKind:
		return p.parseKind(msg)
	case keyUID:
		if msg.UID, err = p.parseString(); err != nil {
			return err
		}
		msg.ID, err = ParseID(msg.UID)
		return err
	case keyMeta:
		return p.parseObject(func(name string) error { return p.parseMetaField(msg, name) })
	case keyReason:
		return p.parseCause(msg)
	case keyBody:
		return p.parseBody(msg)
	}
	return p.skipValue(0)
}

func (p *parser) parseKind(msg *Message) error {
	word, err := p.parseString()
	if err != nil {
		return err
	}
	for kind, name := range kindNames {
		if name != "" && name == word {
			msg.Kind = Kind(kind)
			return nil
		}
	}
	return fmt.Errorf("unknown kind %.20q", word)
}

func (p *parser) parseCause(msg *Message) error {
	text, err := p.parseNumber()
	if err != nil {
		return err
	}
	number, err := strconv.Atoi(text)
	msg.Cause, msg.HasCause = Cause(number), true
	return err
}

// parseBody checks a JSON string and keeps it as it was written.
func (p *parser) parseBody(msg *Message) error {
	start := p.position
	if _, err := p.parseString(); err != nil {
		return err
	}
	msg.Body = string(p.line[start:p.position])
	return nil
}

// parseMetaField parses the value of one key of the meta object: a string or a number. The value of an unknown key is skipped.
func (p *parser) parseMetaField(msg *Message, name string) (err error) {
	field, known := fieldOf(name)
	if !known {
		return p.skipValue(0)
	}
	if msg.has[field] {
		return fmt.Errorf("duplicate key %q", name)
	}
	if p.peek() == '"' {
		msg.meta[field], err = p.parseString()
	} else {
		msg.meta[field], err = p.parseNumber()
	}
	msg.has[field] = true
	if err != nil {
		return fmt.Errorf("%q: %w", name, err)
	}
	return nil
}
