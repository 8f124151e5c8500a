package wellknown

import (
	"time"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
)

const microsecondsPerSecond = 1e6

// timestampFormat is RFC 3339 with microseconds.
const timestampFormat = "2006-01-02T15:04:05.000000Z07:00"

// ParseTimestamp returns a timestamp in Unix seconds, 0 if the text is not one.
func ParseTimestamp(text string) float64 {
	parsed, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0
	}
	return float64(parsed.UnixMicro()) / microsecondsPerSecond
}

// FormatTimestamp formats Unix seconds as a timestamp.
func FormatTimestamp(seconds float64) string { return fromUnix(seconds).Format(timestampFormat) }

// APITime returns Unix seconds as a time of the Kubernetes API, which has whole seconds.
func APITime(seconds float64) metav1.Time {
	return metav1.NewTime(fromUnix(seconds).Truncate(time.Second))
}

func fromUnix(seconds float64) time.Time {
	return time.UnixMicro(int64(seconds * microsecondsPerSecond)).UTC()
}
