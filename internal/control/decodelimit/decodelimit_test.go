package decodelimit

import (
	"strings"
	"testing"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"
)

// TestCheckQuantity checks that a text is rejected as a quantity only if the whole text is a number. A UID
// can begin like a number with a large exponent. If such a UID were rejected, a running task would not be
// seen.
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
		{"UID that begins like a number with a large exponent", "144e1135-fce3-47cd-83ea-3cf99f69d193", true},
		{"UID that begins like a number with a larger exponent", "3e33835c-4f55-4600-ad83-2c224c2f507e", true},
		{"letter after the exponent", "1e1000x", true},
		{"many digits that are not a quantity", strings.Repeat("9", 70) + "-rest", true},
		{"exponent too large", "1e100", false},
		{"exponent much too large", "1e1000000000", false},
		{"negative exponent", "-1e-2147483647", false},
		{"sign and decimal point", "+.5E999", false},
		{"too many digits", strings.Repeat("9", 65), false},
		{"too many digits with a unit", strings.Repeat("9", 65) + "Ki", false},
		{"escaped exponent", `1\u00651000`, false},
		{"surrounding spaces", " 1e1000 ", false},
		{"trailing no-break space", "1e1000\u00a0", false},
		{"escaped first digit", `\u0031e1000`, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := CheckQuantity([]byte(test.text), limits); (err == nil) != test.ok {
				t.Errorf("CheckQuantity(%.40q) returned the wrong result: %v", test.text, err)
			}
		})
	}
}

// TestUIDsAreAccepted checks that UIDs that begin like numbers are accepted in JSON and in protobuf.
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
				t.Errorf("CheckProto rejects a Pod with this UID: %v", err)
			}
			if err := CheckJSON([]byte(`{"metadata":{"uid":"`+uid+`"}}`), ObjectLimits()); err != nil {
				t.Errorf("CheckJSON rejects an object with this UID: %v", err)
			}
		})
	}
}
