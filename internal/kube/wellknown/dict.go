package wellknown

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/dunglas/httpsfv"
)

// Dict is a set of named numbers that is encoded as an RFC 9651 dictionary.
type Dict map[string]float64

// Member is one named number of a Dict.
type Member struct {
	Name  string
	Value float64
}

// ParseDict parses an RFC 9651 dictionary. Members that are not numbers are skipped, and an empty text
// gives an empty Dict. If the text is not a dictionary, the error is that of the RFC 9651 parser.
func ParseDict(text string) (Dict, error) {
	if text == "" {
		return nil, nil
	}
	parsed, err := httpsfv.UnmarshalDictionary([]string{text})
	if err != nil {
		return nil, fmt.Errorf("dictionary %.40q: %w", text, err)
	}
	numbers := Dict{}
	for _, name := range parsed.Names() {
		member, _ := parsed.Get(name) // Get finds the member, because the name comes from the same dictionary.
		item, ok := member.(httpsfv.Item)
		if !ok {
			continue
		}
		switch value := item.Value.(type) {
		case float64:
			numbers[name] = value
		case int64:
			numbers[name] = float64(value)
		}
	}
	return numbers, nil
}

// dictDecimals is the number of decimal places of a formatted number. RFC 9651 does not allow more.
const dictDecimals = 3

// FormatDict formats members as an RFC 9651 dictionary and keeps their order.
func FormatDict(members ...Member) string {
	var text strings.Builder
	for i, member := range members {
		if i > 0 {
			text.WriteString(", ")
		}
		text.WriteString(member.Name)
		text.WriteByte('=')
		text.WriteString(strconv.FormatFloat(member.Value, 'f', dictDecimals, 64))
	}
	return text.String()
}

// FormatCapacity formats the value of the annotations Usage and FreeCapacity. memory is in GiB.
func FormatCapacity(cores, memory float64) string {
	return FormatDict(Member{DictCores, cores}, Member{DictMemory, memory})
}
