package decodelimit

import (
	"strings"
	"testing"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"
)

// TestCheckQuantity checks that CheckQuantity rejects quantities that exceed a limit and accepts any text
// that is not a quantity. A UID can begin like a number with a large exponent. If CheckQuantity rejected such
// a UID, the scheduler would not learn of a Pod that already runs a task.
func TestCheckQuantity(t *testing.T) {
	limits := ObjectLimits()
	for _, test := range []struct {
		name, text string
		accepted   bool
	}{
		{"integer without a unit", "1", true},
		{"integer with a decimal unit", "500m", true},
		{"exponent after a lower-case letter e", "1e3", true},
		{"exponent after an upper-case letter E", "1E6", true},
		{"integer with a binary unit", "100Ki", true},
		{"exponent equal to the limit", "1e99", true},
		{"empty text", "", true},
		{"text that begins with a letter e and digits", "e9999", true},
		{"UID that begins like a number with a large exponent", "144e1135-fce3-47cd-83ea-3cf99f69d193", true},
		{"UID that begins like a number with a larger exponent", "3e33835c-4f55-4600-ad83-2c224c2f507e", true},
		{"exponent above the limit, followed by a letter", "1e1000x", true},
		{"more digits than the limit, followed by a text longer than any unit", strings.Repeat("9", 70) + "-rest", true},
		{"exponent one above the limit", "1e100", false},
		{"exponent far above the limit", "1e1000000000", false},
		{"negative exponent whose absolute value is far above the limit", "-1e-2147483647", false},
		{"exponent above the limit after a sign and a decimal point", "+.5E999", false},
		{"one digit more than the limit", strings.Repeat("9", 65), false},
		{"one digit more than the limit, followed by a unit", strings.Repeat("9", 65) + "Ki", false},
		{"exponent above the limit with an escaped letter e", `1\u00651000`, false},
		{"exponent above the limit between spaces", " 1e1000 ", false},
		{"exponent above the limit before a no-break space", "1e1000\u00a0", false},
		{"exponent above the limit after an escaped digit", `\u0031e1000`, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := CheckQuantity([]byte(test.text), limits); (err == nil) != test.accepted {
				t.Errorf("CheckQuantity(%.40q) = %v; want an error if this is <nil>, or <nil> if this is an error", test.text, err)
			}
		})
	}
}

// TestUIDsAreAccepted checks that CheckProto and CheckJSON accept objects whose UIDs begin like numbers.
func TestUIDsAreAccepted(t *testing.T) {
	for _, uid := range []string{
		"144e1135-fce3-47cd-83ea-3cf99f69d193",
		"3e338350-4f55-4600-ad83-2c224c2f507e",
		"00000000-0000-4000-8000-000000000000",
	} {
		t.Run(uid, func(t *testing.T) {
			pod := &corev1.Pod{}
			pod.Name = "p"
			pod.UID = types.UID(uid)
			message, err := pod.Marshal()
			if err != nil {
				t.Fatal(err)
			}
			if err := CheckProto(message, ObjectLimits()); err != nil {
				t.Errorf("CheckProto returned an error for a Pod whose UID is the name of this subtest: %v", err)
			}
			if err := CheckJSON([]byte(`{"metadata":{"uid":"`+uid+`"}}`), ObjectLimits()); err != nil {
				t.Errorf("CheckJSON returned an error for an object whose UID is the name of this subtest: %v", err)
			}
		})
	}
}
