package wellknown

import (
	"time"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/placer"
)

const microsecondsPerSecond = 1e6

// timestampFormat is the RFC 3339 format with microseconds, in the notation of package time.
const timestampFormat = "2006-01-02T15:04:05.000000Z07:00"

// ParseTimestamp returns the Unix time that an RFC 3339 timestamp states. It returns 0 if the text is not
// an RFC 3339 timestamp.
func ParseTimestamp(text string) placer.Seconds {
	parsed, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0
	}
	return placer.Seconds(parsed.UnixMicro()) / microsecondsPerSecond
}

// FormatTimestamp formats a Unix time as an RFC 3339 timestamp with microseconds.
func FormatTimestamp(unixTime placer.Seconds) string {
	return timeFromUnix(unixTime).Format(timestampFormat)
}

// APITime converts a Unix time to the time type of the Kubernetes API, which has a resolution of one second.
func APITime(unixTime placer.Seconds) metav1.Time {
	return metav1.NewTime(timeFromUnix(unixTime).Truncate(time.Second))
}

func timeFromUnix(unixTime placer.Seconds) time.Time {
	return time.UnixMicro(int64(unixTime * microsecondsPerSecond)).UTC()
}
