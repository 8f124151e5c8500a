package workload

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"heathshed/placer"
)

// harReader streams a HAR file: only one entry is in memory at a time.
type harReader struct {
	dec       *json.Decoder
	file      string
	entries   int64 // read so far
	inEntries bool  // the decoder is inside log.entries
	done      bool
}

// harEntry has the fields that are read from an element of log.entries. It is an alias, so that the errors of package json describe it by its fields.
type harEntry = struct {
	Started string  `json:"startedDateTime"`
	Time    float64 `json:"time"` // milliseconds, -1 if unknown
	Addr    string  `json:"serverIPAddress"`
	Request struct {
		Method string `json:"method"`
		URL    string `json:"url"`
	} `json:"request"`
	Response struct {
		Status  int `json:"status"`
		Content struct {
			Size int64 `json:"size"`
		} `json:"content"`
	} `json:"response"`
}

// NewHAR reads log.entries of a HAR 1.2 file. From a truncated file all complete entries are read. Entries and errors name file as
// their source.
func NewHAR(r io.Reader, file string) Reader { return &harReader{dec: json.NewDecoder(r), file: file} }

func (h *harReader) Next() (Entry, error) {
	if h.done {
		return Entry{}, io.EOF
	}
	if !h.inEntries {
		if err := h.enterEntries(); err != nil {
			return Entry{}, h.truncated(err)
		}
		h.inEntries = true
	}
	if !h.dec.More() {
		if _, err := h.dec.Token(); err != nil {
			return Entry{}, h.truncated(err)
		}
		h.done = true
		return Entry{}, io.EOF
	}
	var raw json.RawMessage
	if err := h.dec.Decode(&raw); err != nil {
		return Entry{}, h.truncated(err)
	}
	h.entries++
	return h.parse(raw)
}

// truncated ends the reading after an error of the decoder, and returns the error of kind Truncated.
func (h *harReader) truncated(err error) error {
	h.done = true
	return &EntryError{Kind: Truncated, File: h.file, Line: h.entries + 1, Reason: err.Error()}
}

// enterEntries advances the decoder into the array log.entries, and skips other values without storing them.
func (h *harReader) enterEntries() error {
	for _, key := range []string{"log", "entries"} {
		if err := h.enterKey(key); err != nil {
			return err
		}
	}
	token, err := h.dec.Token()
	if err != nil {
		return err
	}
	if token != json.Delim('[') {
		return errors.New("entries are no list")
	}
	return nil
}

// enterKey advances the decoder into an object, up to the value of a key.
func (h *harReader) enterKey(want string) error {
	token, err := h.dec.Token()
	if err != nil {
		return err
	}
	if token != json.Delim('{') {
		return fmt.Errorf("want an object with %q, found %v", want, token)
	}
	for h.dec.More() {
		key, err := h.dec.Token()
		if err != nil {
			return err
		}
		if key == want {
			return nil
		}
		if err := h.skipValue(); err != nil {
			return err
		}
	}
	return fmt.Errorf("no %q", want)
}

// skipValue skips a value token by token.
func (h *harReader) skipValue() error {
	for depth := 0; ; {
		token, err := h.dec.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

// parse converts an element of log.entries.
func (h *harReader) parse(raw json.RawMessage) (Entry, error) {
	var recorded harEntry
	if err := json.Unmarshal(raw, &recorded); err != nil {
		return Entry{}, h.entryError(Malformed, raw, err.Error())
	}
	at, wholeSeconds, err := parseTime(recorded.Started)
	if err != nil {
		return Entry{}, h.entryError(BadTime, raw, err.Error())
	}
	if recorded.Request.Method == "" {
		return Entry{}, h.entryError(BadRequest, raw, "no method")
	}
	entry := Entry{
		At:           at,
		WholeSeconds: wholeSeconds,
		Method:       recorded.Request.Method,
		Status:       recorded.Response.Status,
		Bytes:        recorded.Response.Content.Size,
		Duration:     placer.Seconds(max(recorded.Time, 0) / 1000),
		File:         h.file,
		Line:         h.entries,
	}
	host, target := splitURL(recorded.Request.URL)
	entry.Host = host
	entry.Path, entry.Query, _ = strings.Cut(target, "?")
	if entry.Path == "" {
		entry.Path = "/"
	}
	return entry, nil
}

// entryError returns the error of the entry that was read last.
func (h *harReader) entryError(kind ErrorKind, raw json.RawMessage, reason string) error {
	return &EntryError{Kind: kind, File: h.file, Line: h.entries, Text: excerpt(string(raw)), Reason: reason}
}

// splitURL splits a URL into its host and what follows it. A URL without a scheme has no host.
func splitURL(url string) (host, target string) {
	_, rest, found := strings.Cut(url, "://")
	if !found {
		return "", url
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		return rest, ""
	}
	return rest[:end], rest[end:]
}
