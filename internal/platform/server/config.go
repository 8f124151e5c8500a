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

// maxConfigBytes bounds the configuration file.
const maxConfigBytes = 16 << 20

// maxMemoryMB bounds the memory limit of a configuration, in MiB.
const maxMemoryMB = 1 << 30

// Config is what the platform gives a scheduler at its start.
type Config struct {
	Name          string
	Listen        string // address for clients
	Discovery     string // address of the discovery server
	Seed          uint64
	CPULimit      float64         // limit; 0 if none is given
	MemoryLimit   int64           // limit in bytes; 0 if none is given
	MaxOpenFiles  int             // limit of file descriptors; 0 if none is given
	InitialEvents json.RawMessage // discovery events that are known at the start
	Settings      *simconfig.Settings
}

// configFile is the JSON of a configuration.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Seed      string          `json:"seed"` // hexadecimal
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

// ReadConfig reads the configuration file at a path. An error names the field that cannot be used.
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
		return nil, fmt.Errorf("configuration %s: over %d bytes", path, maxConfigBytes)
	}
	config, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return config, nil
}

// ParseConfig reads a configuration from its JSON text. An error names the field that cannot be used.
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
		return nil, errors.New("settings: missing")
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
		MaxOpenFiles:  file.Limits.OpenFiles,
		InitialEvents: file.Known,
		Settings:      settings,
	}, nil
}

// checkIdentity checks the name and the addresses.
func (file *configFile) checkIdentity() error {
	if file.Name == "" {
		return errors.New("name: is empty")
	}
	if _, err := netip.ParseAddrPort(file.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(file.Discovery); err != nil {
		return fmt.Errorf("bulletin: %w", err)
	}
	return nil
}

// check checks the ranges of the limits.
func (limits *configLimits) check() error {
	validMemory := limits.MemoryMiB >= 0 && limits.MemoryMiB <= maxMemoryMB
	if !(limits.Cores >= 0) || !validMemory || limits.OpenFiles < 0 {
		return fmt.Errorf("limits: cores %v, memory_mb %d, sockets %d: want 0 or more", limits.Cores, limits.MemoryMiB, limits.OpenFiles)
	}
	if limits.OpenFiles > 0 && limits.OpenFiles < minSockets {
		return fmt.Errorf("limits: sockets %d: want at least %d", limits.OpenFiles, minSockets)
	}
	return nil
}
