package decodelimit_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"

	"heathshed/internal/control/decodelimit"
	"heathshed/internal/testsupport/goldentest"
)

// TestCharacterization compares the results of CheckJSON, CheckProto and CheckQuantity with a golden file. Some
// inputs are just below a limit, some at the limit and some just above it. Others are random mutations of these
// inputs. The results include the error messages, because clients receive them.
//
// Regenerate the golden file with HEATHSHED_UPDATE_GOLDEN=1 only if the behaviour of package decodelimit is
// meant to change; package goldentest describes how.
func TestCharacterization(t *testing.T) {
	objectLimits := decodelimit.ObjectLimits()
	record := goldentest.NewRecorder()
	record.Line("object %d %d %d %d %d %d", objectLimits.Bytes, objectLimits.Depth, objectLimits.Values, objectLimits.NumberLength, objectLimits.Exponent, objectLimits.Digits)
	for i, limits := range limitSets {
		for j, text := range jsonTexts() {
			record.Line("limits %d json %d %s", i, j, describeError(decodelimit.CheckJSON([]byte(text), limits)))
		}
		for j, text := range quantities {
			record.Line("limits %d quantity %d %s", i, j, describeQuantity(text, limits))
		}
		for j, message := range protoMessages() {
			record.Line("limits %d message %d %s", i, j, describeError(decodelimit.CheckProto(message, limits)))
		}
		record.Line("limits %d mutations %s", i, goldentest.Digest(checkMutatedTexts(limits, uint64(i))))
	}
	record.Check(t, "characterization")
}

var limitSets = []decodelimit.Limits{
	decodelimit.ObjectLimits(),
	{},
	{Bytes: 60, Depth: 3, Values: 5, NumberLength: 6, Exponent: 3, Digits: 4},
	{Depth: 1},
	{Values: 1},
	{Digits: 2, Exponent: 1},
}

func describeError(err error) string {
	var limitErr *decodelimit.Error
	if !errors.As(err, &limitErr) {
		return fmt.Sprint(err == nil)
	}
	return fmt.Sprintf("%s %t", limitErr.Error(), limitErr.TooLarge())
}

func describeQuantity(text string, limits decodelimit.Limits) string {
	if limitErr := decodelimit.CheckQuantity([]byte(text), limits); limitErr != nil {
		return describeError(limitErr)
	}
	return "true"
}

var quantities = []string{
	"", "1", "+1", "-1.5", "500m", "1e3", "1E3", "1e99", "1e100", "1e-100", "12e4", "12e+04", "1e3x", "e3",
	"12345", "12345Mi", "12345abcd", " 123 ", "1.2.3",
	`1\u0065100`, `\u0031e100`, `1e\u0031\u0030\u0030`, `\n1`, `1\`, `\u`, `1\u00`, `1\u005c`, `1\uFFFF`,
	"144e1135-fce3", "1e99999999999999999999",
	strings.Repeat("9", 64), strings.Repeat("9", 65), strings.Repeat("9", 65) + "Mi", strings.Repeat("9", 65) + "abcd",
	`1\n` + strings.Repeat("2", 300), "1" + strings.Repeat(`\u0030`, 70),
}

func jsonTexts() []string {
	var texts []string
	for _, quantity := range quantities {
		quoted := `"` + quantity + `"`
		texts = append(texts,
			`{"a":`+quoted+`}`,
			`{"labels":{"a":`+quoted+`},"b":`+quoted+`}`,
			`{"args":[`+quoted+`,[`+quoted+`]],"c":`+quoted+`}`,
			`[`+quoted+`]`,
			quantity,
		)
	}
	for _, depth := range []int{1, 2, 3, 4, 63, 64, 65, 1022, 1023, 1024, 2000} {
		texts = append(texts, strings.Repeat("[", depth), strings.Repeat(`{"a":`, depth), strings.Repeat("[", depth)+strings.Repeat("]", depth)+"]]")
	}
	for _, values := range []int{4, 5, 6, 19999, 20000, 20001} {
		texts = append(texts, "["+strings.Repeat("1,", values-1)+"1]", "["+strings.Repeat("true,", values))
	}
	for _, size := range []int{5, 6, 7, 63, 64, 65} {
		texts = append(texts, strings.Repeat("1", size), "["+strings.Repeat("-", size)+"]", "1."+strings.Repeat("0", size))
	}
	for _, size := range []int{60, 61, 3 << 20, 3<<20 + 1} {
		texts = append(texts, strings.Repeat(" ", size))
	}
	return append(texts, `{"a":1,"b":{"c":"x"},"d":[null,false]}`, `"open`, `"open\`, `{"value":"1e999","x":"1e999"}`,
		`{"value":{"y":["1e999"]},"x":"1e999"}`, `{"value" "1e999"}`, `}{"a":"1e999"}`, `[]]]]{"a":1}`)
}

// protoMessages returns protobuf messages, some of which are nested or truncated. Their fields contain
// quantities as strings and numbers of several wire types.
func protoMessages() [][]byte {
	var messages [][]byte
	for _, quantity := range quantities {
		inner := protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), quantity)
		outer := protowire.AppendBytes(protowire.AppendTag(nil, 2, protowire.BytesType), inner)
		messages = append(messages, inner, outer, inner[:len(inner)-len(inner)/3])
	}
	nested := protowire.AppendVarint(protowire.AppendTag(nil, 3, protowire.VarintType), 300)
	for range 70 {
		messages = append(messages, nested, slices.Concat(nested, nested), slices.Concat(nested, []byte{0xff}))
		nested = protowire.AppendBytes(protowire.AppendTag(nil, 4, protowire.BytesType), nested)
	}
	fixedWidth := protowire.AppendFixed32(protowire.AppendTag(nil, 5, protowire.Fixed32Type), 1)
	fixedWidth = protowire.AppendFixed64(protowire.AppendTag(fixedWidth, 6, protowire.Fixed64Type), 1)
	manyFields := bytes.Repeat([]byte{0x08, 0x01}, 20001)
	return append(messages, nil, fixedWidth, manyFields, manyFields[:40000], make([]byte, 3<<20+1), []byte{0x0b, 0x0c}, []byte{0x0b}, []byte{0x0f})
}

func checkMutatedTexts(limits decodelimit.Limits, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 7))
	var results strings.Builder
	for _, text := range jsonTexts() {
		if len(text) == 0 || len(text) > 300 {
			continue
		}
		mutated := []byte(text)
		for range 3 {
			const alphabet = `{}[],:"\eE+-.0159 utfn`
			mutated[rng.IntN(len(mutated))] = alphabet[rng.IntN(len(alphabet))]
			results.WriteString(describeError(decodelimit.CheckJSON(mutated, limits)) + describeError(decodelimit.CheckProto(mutated, limits)) + "\n")
		}
	}
	return results.String()
}
