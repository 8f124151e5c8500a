package wellknown

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/dunglas/httpsfv"
)

// Dict is a set of named numbers in the form of an RFC 9651 dictionary.
type Dict map[string]float64

// Member is one named number of a dictionary.
type Member struct {
	Name  string
	Value float64
}

// ParseDict parses a dictionary. Members that are not numbers are left out. An empty text is an empty dictionary. The error is that of
// the RFC 9651 parser.
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
		member, _ := parsed.Get(name) // it is there: the name is the dictionary's own
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

// dictDecimals is the number of decimals of a formatted number, the most that RFC 9651 allows.
const dictDecimals = 3

// FormatDict formats a dictionary with its members in the order given.
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

// FormatCapacity formats the Dict of Usage and FreeCapacity. Memory is in GiB.
func FormatCapacity(cores, memory float64) string {
	return FormatDict(Member{DictCores, cores}, Member{DictMemory, memory})
}
