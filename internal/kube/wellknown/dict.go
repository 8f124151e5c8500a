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

// ParseDict parses an RFC 9651 dictionary. It skips members that are not numbers. The result for an empty
// text is an empty Dict. If the text is not a dictionary, the error wraps the error of the RFC 9651 parser.
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
		member, _ := parsed.Get(name) // The member exists because its name comes from the dictionary itself.
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

// dictDecimals is the number of decimal places of the numbers that FormatDict writes. RFC 9651 allows no
// more.
const dictDecimals = 3

// FormatDict formats named numbers as an RFC 9651 dictionary. It keeps the order of the numbers.
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

// FormatCapacity formats an amount of cores and memory as the value of an annotation Usage or FreeCapacity.
// The unit of memory is GiB.
func FormatCapacity(cores, memory float64) string {
	return FormatDict(Member{DictCores, cores}, Member{DictMemory, memory})
}
