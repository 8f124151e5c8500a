package decodelimit

// maxNesting is the greatest nesting depth of objects and arrays that a jsonScanner can track. A greater value
// of Limits.Depth counts as maxNesting.
const maxNesting = 1023

// nonQuantityFields contains the names of object members whose values never contain quantities. Such a value
// is a string, or an object or array of strings. CheckJSON does not check these strings as quantities.
var nonQuantityFields = map[string]bool{
	"annotations":  true,
	"args":         true,
	"command":      true,
	"fieldsV1":     true,
	"labels":       true,
	"matchLabels":  true,
	"message":      true,
	"nodeSelector": true,
	"stringData":   true,
	"value":        true,
	"values":       true,
}

// CheckJSON checks a JSON text and returns an *Error if the text exceeds a limit. CheckJSON does not validate
// the JSON syntax, because the decoder does so later. A text for which CheckJSON returns nil is safe to
// decode.
func CheckJSON(text []byte, limits Limits) error {
	if err := limits.checkBytes(text); err != nil {
		return err
	}
	scanner := jsonScanner{text: text, limits: limits, maxDepth: maxNesting}
	if limits.Depth > 0 {
		scanner.maxDepth = min(maxNesting, limits.Depth)
	}
	if err := scanner.scan(); err != nil {
		return err
	}
	return nil
}

// jsonScanner scans the tokens of a JSON text in a single pass. It also accepts a text that is not valid JSON.
type jsonScanner struct {
	text     []byte
	limits   Limits
	maxDepth int

	depth            int
	valueCount       int
	nonQuantityDepth int                  // nonQuantityDepth is the depth of the enclosing value of a member in nonQuantityFields, or 0 if there is none.
	memberName       []byte               // memberName is the member name of the next value if that value is in an object, or nil if it is in an array.
	expectsName      bool                 // expectsName means that the next string is a member name of an object.
	inObject         [maxNesting + 1]bool // inObject states for each depth up to the current one whether an object, not an array, is open there.
}

func (s *jsonScanner) scan() *Error {
	text := s.text
	for i := 0; i < len(text); {
		var err *Error
		switch text[i] {
		case '{', '[':
			err = s.open(i)
			i++
		case '}', ']':
			s.close()
			i++
		case ',':
			s.processComma()
			i++
		case '"':
			i, err = s.scanString(i)
		case '-', '0', '1', '2', '3', '4', '5', '6', '7', '8', '9':
			i, err = s.scanNumber(i)
		case 't', 'f', 'n':
			i, err = s.scanLiteral(i)
		default:
			i++
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// open processes the bracket at the given offset, which begins an object or an array.
func (s *jsonScanner) open(offset int) *Error {
	if err := s.limits.countValue(&s.valueCount, offset); err != nil {
		return err
	}
	s.depth++
	if s.depth > s.maxDepth {
		return &Error{ObjectsTooDeep, s.maxDepth, offset}
	}
	if s.nonQuantityDepth == 0 && nonQuantityFields[string(s.memberName)] {
		s.nonQuantityDepth = s.depth
	}
	isObject := s.text[offset] == '{'
	s.inObject[s.depth] = isObject
	s.expectsName = isObject
	s.memberName = nil
	return nil
}

// close processes a bracket that ends an object or an array.
func (s *jsonScanner) close() {
	if s.depth > 0 {
		if s.nonQuantityDepth == s.depth {
			s.nonQuantityDepth = 0
		}
		s.depth--
	}
	s.memberName = nil
	s.expectsName = false
}

// processComma processes a comma. If the comma is inside an object, the next string is a member name.
func (s *jsonScanner) processComma() {
	s.expectsName = s.inObject[s.depth]
	if s.expectsName {
		s.memberName = nil
	}
}

// scanString scans a string, which is a member name or a value. The string begins with the quotation mark at
// the given offset. The result next is the offset after the string.
func (s *jsonScanner) scanString(offset int) (next int, err *Error) {
	text := s.text
	end := offset + 1
	for end < len(text) && text[end] != '"' {
		if text[end] == '\\' {
			end++
		}
		end++
	}
	content := text[offset+1 : min(end, len(text))]
	if s.expectsName {
		s.memberName = content
		s.expectsName = false
		return end + 1, nil
	}
	if err := s.limits.countValue(&s.valueCount, offset); err != nil {
		return 0, err
	}
	if s.nonQuantityDepth == 0 && !nonQuantityFields[string(s.memberName)] {
		err = checkQuantityAt(content, &s.limits, offset)
	}
	return end + 1, err
}

// scanNumber scans the number that begins at the given offset. The result next is the offset after the
// number.
func (s *jsonScanner) scanNumber(offset int) (next int, err *Error) {
	text := s.text
	end := offset + 1
	for end < len(text) && isNumberByte(text[end]) {
		end++
	}
	if err := s.limits.countValue(&s.valueCount, offset); err != nil {
		return 0, err
	}
	if s.limits.NumberLength > 0 && end-offset > s.limits.NumberLength {
		return 0, &Error{NumberTooLong, s.limits.NumberLength, offset}
	}
	return end, checkQuantityAt(text[offset:end], &s.limits, offset)
}

func isNumberByte(c byte) bool {
	switch c {
	case '0', '1', '2', '3', '4', '5', '6', '7', '8', '9', '.', 'e', 'E', '+', '-':
		return true
	}
	return false
}

// scanLiteral scans the literal true, false or null, or any other sequence of lower-case letters. The result
// next is the offset after the sequence.
func (s *jsonScanner) scanLiteral(offset int) (next int, err *Error) {
	if err := s.limits.countValue(&s.valueCount, offset); err != nil {
		return 0, err
	}
	end := offset + 1
	for end < len(s.text) && s.text[end] >= 'a' && s.text[end] <= 'z' {
		end++
	}
	return end, nil
}
