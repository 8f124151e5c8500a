package wellknown

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/dunglas/httpsfv"
)

// Dict is a set of numbers with names. Its encoding is an RFC 9651 dictionary.
type Dict map[string]float64

// Member is one number of a Dict with its name.
type Member struct {
	Name  string
	Value float64
}

// ParseDict parses an RFC 9651 dictionary. It skips members that are not numbers. For an empty text, it
// returns an empty Dict. If the text is not a dictionary, ParseDict returns an error that wraps the error
// of the RFC 9651 parser.
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

// dictDecimals is the number of decimal places that FormatDict writes for each number. RFC 9651 permits at
// most three.
const dictDecimals = 3

// FormatDict formats named numbers as an RFC 9651 dictionary. The members of the dictionary have the same
// order as the arguments.
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

// FormatCapacity formats a number of cores and an amount of memory in GiB as the value of the annotation
// Usage or FreeCapacity.
func FormatCapacity(cores, memory float64) string {
	return FormatDict(Member{DictCores, cores}, Member{DictMemory, memory})
}
