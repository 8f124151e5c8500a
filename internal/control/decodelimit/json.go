package decodelimit

// maxNesting is the greatest nesting depth that a jsonScanner can track. A greater value of Limits.Depth
// counts as maxNesting.
const maxNesting = 1023

// freeTextFields contains the names of object members whose strings are free text and never quantities.
var freeTextFields = map[string]bool{
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

// CheckJSON checks a text that should be JSON and returns an *Error if it exceeds a limit. It does not
// validate the JSON syntax, which the decoder does. A text that passes the check is safe to decode.
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

// jsonScanner scans the tokens of a text in a single pass. It tolerates text that is not valid JSON.
type jsonScanner struct {
	text     []byte
	limits   Limits
	maxDepth int

	depth         int
	values        int
	freeTextDepth int    // freeTextDepth is the depth of the outermost object or array of free text, or 0 if there is none.
	memberName    []byte // memberName is the name of the next value in an object, and nil in an array.
	expectsName   bool   // expectsName means that the next string is the name of an object member.
	inObject      [maxNesting + 1]bool
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
			s.nextMember()
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

// open processes the beginning of an object or an array at the given offset.
func (s *jsonScanner) open(offset int) *Error {
	if err := s.limits.countValue(&s.values, offset); err != nil {
		return err
	}
	s.depth++
	if s.depth > s.maxDepth {
		return &Error{ObjectsTooDeep, s.maxDepth, offset}
	}
	if s.freeTextDepth == 0 && freeTextFields[string(s.memberName)] {
		s.freeTextDepth = s.depth
	}
	isObject := s.text[offset] == '{'
	s.inObject[s.depth] = isObject
	s.expectsName = isObject
	s.memberName = nil
	return nil
}

// close processes the end of an object or an array.
func (s *jsonScanner) close() {
	if s.depth > 0 {
		if s.freeTextDepth == s.depth {
			s.freeTextDepth = 0
		}
		s.depth--
	}
	s.memberName = nil
	s.expectsName = false
}

// nextMember processes a comma. Inside an object, the next string is then expected to be a member name.
func (s *jsonScanner) nextMember() {
	s.expectsName = s.inObject[s.depth]
	if s.expectsName {
		s.memberName = nil
	}
}

// scanString scans a string, which is a member name or a value. The string begins with the quote at the given
// offset. The result next is the offset after the string.
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
	if err := s.limits.countValue(&s.values, offset); err != nil {
		return 0, err
	}
	if s.freeTextDepth == 0 && !freeTextFields[string(s.memberName)] {
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
	if err := s.limits.countValue(&s.values, offset); err != nil {
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

// scanLiteral scans true, false, null or any other run of lower-case letters. The result next is the offset
// after it.
func (s *jsonScanner) scanLiteral(offset int) (next int, err *Error) {
	if err := s.limits.countValue(&s.values, offset); err != nil {
		return 0, err
	}
	end := offset + 1
	for end < len(s.text) && s.text[end] >= 'a' && s.text[end] <= 'z' {
		end++
	}
	return end, nil
}
