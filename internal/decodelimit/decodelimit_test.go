package decodelimit

import (
	"strings"
	"testing"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"
)

// TestQuantities checks that only a text that is a number to its end is rejected as a quantity: a UID that begins like one must pass in both
// encodings, or a running task would not be seen.
func TestQuantities(t *testing.T) {
	limits := ObjectLimits()
	for s, ok := range map[string]bool{"1": true, "500m": true, "1e3": true, "1E6": true, "100Ki": true, "1e99": true, "": true, "e9999": true,
		"144e1135-fce3-47cd-83ea-3cf99f69d193": true, "3e33835c-4f55-4600-ad83-2c224c2f507e": true, "1e1000x": true,
		strings.Repeat("9", 70) + "-rest": true, "1e100": false, "1e1000000000": false, "-1e-2147483647": false, "+.5E999": false,
		strings.Repeat("9", 65): false, strings.Repeat("9", 65) + "Ki": false, `1\u00651000`: false, " 1e1000 ": false, "1e1000\u00a0": false, `\u0031e1000`: false} {
		if err := CheckQuantity([]byte(s), limits); (err == nil) != ok {
			t.Errorf("%.40q: %v", s, err)
		}
	}
}

func TestIdentitiesPass(t *testing.T) {
	for _, uid := range []string{"144e1135-fce3-47cd-83ea-3cf99f69d193", "3e338350-4f55-4600-ad83-2c224c2f507e", "00000000-0000-4000-8000-000000000000"} {
		p := &corev1.Pod{}
		p.Name, p.UID = "p", types.UID(uid)
		b, err := p.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		if err := CheckProto(b, ObjectLimits()); err != nil {
			t.Errorf("%s: %v", uid, err)
		}
		if err := CheckJSON([]byte(`{"metadata":{"uid":"`+uid+`"}}`), ObjectLimits()); err != nil {
			t.Errorf("%s: %v", uid, err)
		}
	}
}
