package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"

	"heathshed/internal/simbridge/simconfig"
)

// maxConfigBytes is the maximum size of a configuration file in bytes.
const maxConfigBytes = 16 << 20

// maxMemoryMiB is the maximum memory limit that a configuration may set, in MiB.
const maxMemoryMiB = 1 << 30

// Config is the configuration of a scheduler. The environment that starts the scheduler provides it as a
// configuration file.
type Config struct {
	Name          string
	Listen        string          // Listen is the address on which the server accepts client connections.
	Discovery     string          // Discovery is the address of the discovery server.
	Seed          uint64          // Seed is the seed of the server's random numbers.
	CPULimit      float64         // CPULimit is the limit on processor cores, or 0 if the configuration sets none.
	MemoryLimit   int64           // MemoryLimit is the memory limit in bytes, or 0 if the configuration sets none.
	OpenFileLimit int             // OpenFileLimit is the limit on file descriptors, or 0 if the configuration sets none.
	InitialEvents json.RawMessage // InitialEvents contains the discovery events that were published before the scheduler started.
	Settings      *simconfig.Settings
}

// configFile is the JSON form of a configuration.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Seed      string          `json:"seed"` // Seed is a hexadecimal number.
	Discovery string          `json:"bulletin"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
	Limits    configLimits    `json:"limits"`
}

type configLimits struct {
	Cores     float64 `json:"cores"`
	MemoryMiB int64   `json:"memory_mb"`
	OpenFiles int     `json:"sockets"`
}

// ReadConfig reads a configuration file. If a field is invalid, the error names the field.
func ReadConfig(path string) (*Config, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	defer file.Close() //nolint:errcheck // only read; ReadAll returns what can fail
	text, err := io.ReadAll(io.LimitReader(file, maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if len(text) > maxConfigBytes {
		return nil, fmt.Errorf("configuration %s: the file is larger than %d bytes", path, maxConfigBytes)
	}
	config, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return config, nil
}

// ParseConfig parses the JSON text of a configuration. If a field is invalid, the error names the field.
func ParseConfig(text []byte) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	if err := file.checkIdentity(); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if err := file.Limits.check(); err != nil {
		return nil, err
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings: the field is missing or empty")
	}
	settings, err := simconfig.Parse(file.Settings)
	if err != nil {
		return nil, err
	}
	return &Config{
		Name:          file.Name,
		Listen:        file.Listen,
		Discovery:     file.Discovery,
		Seed:          seed,
		CPULimit:      file.Limits.Cores,
		MemoryLimit:   file.Limits.MemoryMiB << 20,
		OpenFileLimit: file.Limits.OpenFiles,
		InitialEvents: file.Known,
		Settings:      settings,
	}, nil
}

// checkIdentity checks the name of the scheduler, the address on which it listens and the address of the
// discovery server.
func (file *configFile) checkIdentity() error {
	if file.Name == "" {
		return errors.New("name: must not be empty")
	}
	if _, err := netip.ParseAddrPort(file.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(file.Discovery); err != nil {
		return fmt.Errorf("bulletin: %w", err)
	}
	return nil
}

// check returns an error if one of the limits is outside its valid range.
func (limits *configLimits) check() error {
	validMemory := limits.MemoryMiB >= 0 && limits.MemoryMiB <= maxMemoryMiB
	if !(limits.Cores >= 0) || !validMemory || limits.OpenFiles < 0 {
		return fmt.Errorf("limits: cores %v, memory_mb %d, sockets %d: want values of at least 0, and memory_mb of at most 2^30", limits.Cores, limits.MemoryMiB, limits.OpenFiles)
	}
	if limits.OpenFiles > 0 && limits.OpenFiles < minOpenFileLimit {
		return fmt.Errorf("limits: sockets %d: must be 0 or at least %d", limits.OpenFiles, minOpenFileLimit)
	}
	return nil
}
