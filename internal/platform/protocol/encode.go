package protocol

import "strconv"

// Append appends the encoded message and a line feed to the buffer and returns the extended buffer.
func (m *Message) Append(buffer []byte) []byte {
	buffer = append(buffer, `{"kind":"`...)
	buffer = append(buffer, m.Kind.String()...)
	buffer = append(buffer, `","uid":"`...)
	buffer = append(buffer, m.UID...)
	buffer = append(buffer, `","meta":{`...)
	isFirstField := true
	for f, name := range fieldNames {
		if !m.has[f] {
			continue
		}
		if !isFirstField {
			buffer = append(buffer, ',')
		}
		isFirstField = false
		buffer = append(buffer, '"')
		buffer = append(buffer, name...)
		buffer = append(buffer, `":`...)
		buffer = appendJSONString(buffer, m.meta[f])
	}
	buffer = append(buffer, '}')
	if m.HasCause {
		buffer = append(buffer, `,"reason":`...)
		buffer = strconv.AppendInt(buffer, int64(m.Cause), 10)
	}
	if m.Body != "" {
		buffer = append(buffer, `,"body":`...)
		buffer = append(buffer, m.Body...)
	}
	return append(buffer, '}', '\n')
}

// appendJSONString appends the text to the buffer as a JSON string.
func appendJSONString(buffer []byte, text string) []byte {
	const hex = "0123456789abcdef"
	buffer = append(buffer, '"')
	for i := range len(text) {
		switch c := text[i]; {
		case c == '"' || c == '\\':
			buffer = append(buffer, '\\', c)
		case c < 0x20:
			buffer = append(buffer, '\\', 'u', '0', '0', hex[c>>4], hex[c&15])
		default:
			buffer = append(buffer, c)
		}
	}
	return append(buffer, '"')
}
