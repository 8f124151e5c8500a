package decodelimit

// maxNesting is the deepest nesting that a jsonScanner can follow; Limits.Depth is no more than that.
const maxNesting = 1023

// freeTextFields are names under which a string is free text and never a quantity.
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

// CheckJSON checks a text that should be JSON and returns an *Error if it exceeds a limit. It does not validate the text, which the decoder
// does: a text without an error is safe to decode.
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

// jsonScanner walks the tokens of a text once. It tolerates what is not JSON.
type jsonScanner struct {
	text     []byte
	limits   Limits
	maxDepth int

	depth         int
	values        int
	freeTextDepth int    // depth of the outermost object or array of free text, 0 if none
	name          []byte // of the next value, nil in an array
	wantName      bool   // the next string is a name
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
			s.separate()
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

// open enters an object or an array.
func (s *jsonScanner) open(at int) *Error {
	if err := s.limits.countValue(&s.values, at); err != nil {
		return err
	}
	s.depth++
	if s.depth > s.maxDepth {
		return &Error{ObjectsTooDeep, s.maxDepth, at}
	}
	if s.freeTextDepth == 0 && freeTextFields[string(s.name)] {
		s.freeTextDepth = s.depth
	}
	isObject := s.text[at] == '{'
	s.inObject[s.depth] = isObject
	s.wantName = isObject
	s.name = nil
	return nil
}

// close leaves an object or an array.
func (s *jsonScanner) close() {
	if s.depth > 0 {
		if s.freeTextDepth == s.depth {
			s.freeTextDepth = 0
		}
		s.depth--
	}
	s.name = nil
	s.wantName = false
}

// separate moves on to the next member or element. The elements of a named array keep its name.
func (s *jsonScanner) separate() {
	s.wantName = s.inObject[s.depth]
	if s.wantName {
		s.name = nil
	}
}

// scanString scans the string, a name or a value, that begins at a quote, and returns the offset after it.
func (s *jsonScanner) scanString(at int) (next int, err *Error) {
	text := s.text
	end := at + 1
	for end < len(text) && text[end] != '"' {
		if text[end] == '\\' {
			end++
		}
		end++
	}
	content := text[at+1 : min(end, len(text))]
	if s.wantName {
		s.name = content
		s.wantName = false
		return end + 1, nil
	}
	if err := s.limits.countValue(&s.values, at); err != nil {
		return 0, err
	}
	if s.freeTextDepth == 0 && !freeTextFields[string(s.name)] {
		err = checkQuantityAt(content, &s.limits, at)
	}
	return end + 1, err
}

// scanNumber scans the number that begins at an offset and returns the offset after it.
func (s *jsonScanner) scanNumber(at int) (next int, err *Error) {
	text := s.text
	end := at + 1
	for end < len(text) && isNumberByte(text[end]) {
		end++
	}
	if err := s.limits.countValue(&s.values, at); err != nil {
		return 0, err
	}
	if s.limits.NumberLength > 0 && end-at > s.limits.NumberLength {
		return 0, &Error{NumberTooLong, s.limits.NumberLength, at}
	}
	return end, checkQuantityAt(text[at:end], &s.limits, at)
}

func isNumberByte(c byte) bool {
	switch c {
	case '0', '1', '2', '3', '4', '5', '6', '7', '8', '9', '.', 'e', 'E', '+', '-':
		return true
	}
	return false
}

// scanLiteral scans true, false or null, or any other run of lower-case letters, and returns the offset after it.
func (s *jsonScanner) scanLiteral(at int) (next int, err *Error) {
	if err := s.limits.countValue(&s.values, at); err != nil {
		return 0, err
	}
	end := at + 1
	for end < len(s.text) && s.text[end] >= 'a' && s.text[end] <= 'z' {
		end++
	}
	return end, nil
}
