package decodelimit

import (
	"strings"
	"testing"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"
)

// TestCheckQuantity checks that only a text that is a number to its end is rejected as a quantity: a UID that begins like one must pass in both
// encodings, or a running task would not be seen.
func TestCheckQuantity(t *testing.T) {
	limits := ObjectLimits()
	for _, test := range []struct {
		name, text string
		ok         bool
	}{
		{"integer", "1", true},
		{"unit", "500m", true},
		{"exponent", "1e3", true},
		{"capital exponent", "1E6", true},
		{"binary unit", "100Ki", true},
		{"largest exponent", "1e99", true},
		{"empty", "", true},
		{"no digits", "e9999", true},
		{"UID like a large exponent", "144e1135-fce3-47cd-83ea-3cf99f69d193", true},
		{"UID like a larger exponent", "3e33835c-4f55-4600-ad83-2c224c2f507e", true},
		{"letter after the exponent", "1e1000x", true},
		{"many digits of no quantity", strings.Repeat("9", 70) + "-rest", true},
		{"exponent too large", "1e100", false},
		{"exponent much too large", "1e1000000000", false},
		{"negative exponent", "-1e-2147483647", false},
		{"sign and point", "+.5E999", false},
		{"too many digits", strings.Repeat("9", 65), false},
		{"too many digits with a unit", strings.Repeat("9", 65) + "Ki", false},
		{"escaped exponent", `1\u00651000`, false},
		{"spaces around", " 1e1000 ", false},
		{"no-break space after", "1e1000\u00a0", false},
		{"escaped first digit", `\u0031e1000`, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := CheckQuantity([]byte(test.text), limits); (err == nil) != test.ok {
				t.Errorf("%.40q: %v", test.text, err)
			}
		})
	}
}

// TestUIDsAreAccepted checks that UIDs that begin like numbers pass in both encodings.
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
				t.Errorf("protobuf: %v", err)
			}
			if err := CheckJSON([]byte(`{"metadata":{"uid":"`+uid+`"}}`), ObjectLimits()); err != nil {
				t.Errorf("JSON: %v", err)
			}
		})
	}
}
