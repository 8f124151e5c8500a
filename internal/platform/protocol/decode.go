package protocol

import (
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// MaxLineBytes is the maximum length of a line in bytes, including its line feed.
const MaxLineBytes = 16 << 10

// maxSkippedDepth is the maximum nesting depth of a value that is skipped because its key is unknown.
const maxSkippedDepth = 8

// ErrTooLong is the error of Parse for a line that is longer than MaxLineBytes.
var ErrTooLong = errors.New("line is longer than 16 KiB")

// keySet is a set of top-level keys of a message. It can contain only keys that the protocol defines.
type keySet uint8

const (
	keyKind keySet = 1 << iota
	keyUID
	keyMeta
	keyReason
	keyBody

	requiredKeys = keyKind | keyUID
)

// keyByName returns the set that contains only the key with the given name, or the empty set if the protocol
// does not define the key.
func keyByName(key string) keySet {
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

// Parse decodes one line, which must not include its line feed, into msg. It returns ErrTooLong for a line
// that is longer than MaxLineBytes. Any other error states what is invalid in the line.
func Parse(line []byte, msg *Message) error {
	*msg = Message{}
	if len(line) >= MaxLineBytes {
		return ErrTooLong
	}
	if !utf8.Valid(line) {
		return errors.New("line is not valid UTF-8")
	}
	p := parser{line: line}
	var parsedKeys keySet
	p.skipSpace()
	err := p.parseObject(func(key string) error {
		definedKey := keyByName(key)
		if err := p.parseMember(msg, definedKey); err != nil {
			return fmt.Errorf("key %.20q: %w", key, err)
		}
		if parsedKeys&definedKey != 0 {
			return fmt.Errorf("duplicate key %q", key)
		}
		parsedKeys |= definedKey
		return nil
	})
	if err != nil {
		return err
	}
	p.skipSpace()
	if p.position < len(p.line) {
		return p.expectedError("the end of the line")
	}
	if parsedKeys&requiredKeys != requiredKeys {
		return errors.New(`message lacks the key "kind" or "uid"`)
	}
	return nil
}

// parseMember parses the value of one top-level key of a message. It skips the value if key is the empty set,
// which means that the protocol does not define the key.
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
	kindName, err := p.parseString()
	if err != nil {
		return err
	}
	for kind, name := range kindNames {
		if name != "" && name == kindName {
			msg.Kind = Kind(kind)
			return nil
		}
	}
	return fmt.Errorf("unknown message kind %.20q", kindName)
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

// parseBody checks that the body is a valid JSON string and stores it without decoding it.
func (p *parser) parseBody(msg *Message) error {
	start := p.position
	if _, err := p.parseString(); err != nil {
		return err
	}
	msg.Body = string(p.line[start:p.position])
	return nil
}

// parseMetaField parses the value of one field of the "meta" object, which must be a string or a number. It
// skips the value if the protocol does not define the field.
func (p *parser) parseMetaField(msg *Message, name string) (err error) {
	field, isKnown := fieldByName(name)
	if !isKnown {
		return p.skipValue(0)
	}
	if msg.has[field] {
		return fmt.Errorf("duplicate field %q", name)
	}
	if p.peek() == '"' {
		msg.meta[field], err = p.parseString()
	} else {
		msg.meta[field], err = p.parseNumber()
	}
	msg.has[field] = true
	if err != nil {
		return fmt.Errorf("field %q: %w", name, err)
	}
	return nil
}
