package wellknown

import (
	"time"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/placer"
)

const microsecondsPerSecond = 1e6

// timestampFormat is RFC 3339 with microseconds.
const timestampFormat = "2006-01-02T15:04:05.000000Z07:00"

// ParseTimestamp returns a timestamp as a Unix time, 0 if the text is not one.
func ParseTimestamp(text string) placer.Seconds {
	parsed, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0
	}
	return placer.Seconds(parsed.UnixMicro()) / microsecondsPerSecond
}

// FormatTimestamp formats a Unix time as a timestamp.
func FormatTimestamp(at placer.Seconds) string { return fromUnix(at).Format(timestampFormat) }

// APITime returns a Unix time as a time of the Kubernetes API, which has whole seconds.
func APITime(at placer.Seconds) metav1.Time {
	return metav1.NewTime(fromUnix(at).Truncate(time.Second))
}

func fromUnix(at placer.Seconds) time.Time {
	return time.UnixMicro(int64(at * microsecondsPerSecond)).UTC()
}
