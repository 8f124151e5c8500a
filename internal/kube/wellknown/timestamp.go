package wellknown

import (
	"time"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/placer"
)

const microsecondsPerSecond = 1e6

// timestampFormat is the RFC 3339 format with microseconds.
const timestampFormat = "2006-01-02T15:04:05.000000Z07:00"

// ParseTimestamp returns an RFC 3339 timestamp as a Unix time, or 0 if the text is not a timestamp.
func ParseTimestamp(text string) placer.Seconds {
	parsed, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0
	}
	return placer.Seconds(parsed.UnixMicro()) / microsecondsPerSecond
}

// FormatTimestamp formats a Unix time as an RFC 3339 timestamp with microseconds.
func FormatTimestamp(at placer.Seconds) string { return timeFromUnix(at).Format(timestampFormat) }

// APITime returns a Unix time in the form of the Kubernetes API, which has whole seconds.
func APITime(at placer.Seconds) metav1.Time {
	return metav1.NewTime(timeFromUnix(at).Truncate(time.Second))
}

func timeFromUnix(at placer.Seconds) time.Time {
	return time.UnixMicro(int64(at * microsecondsPerSecond)).UTC()
}
