package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"

	"heathshed/internal/simconfig"
)

// maxConfigBytes bounds the configuration file, in bytes.
const maxConfigBytes = 16 << 20

// Config is what the platform tells a scheduler at its start.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   float64
	Memory                  int64 // bytes; 0 if not told
	Sockets                 int   // descriptors; 0 if not told
	InitialEvents           json.RawMessage
	Settings                *simconfig.Settings
}

// ReadConfig reads the configuration at a path. An error names the field that cannot be used.
func ReadConfig(path string) (*Config, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	defer file.Close()
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

// ParseConfig reads the text of a configuration.
func ParseConfig(text []byte) (*Config, error) {
	var file struct {
		Name     string          `json:"name"`
		Listen   string          `json:"listen"`
		Seed     string          `json:"seed"`
		Bulletin string          `json:"bulletin"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
		Limits   struct {
			Cores    float64 `json:"cores"`
			MemoryMB int64   `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	config := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Bulletin, InitialEvents: file.Known, Cores: file.Limits.Cores,
		Memory: file.Limits.MemoryMB << 20, Sockets: file.Limits.Sockets}
	if config.Name == "" {
		return nil, fmt.Errorf("name: is empty")
	}
	if _, err := netip.ParseAddrPort(config.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(config.Discovery); err != nil {
		return nil, fmt.Errorf("bulletin: %w", err)
	}
	var err error
	if config.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if !(config.Cores >= 0) || file.Limits.MemoryMB < 0 || file.Limits.MemoryMB > 1<<30 || config.Sockets < 0 {
		return nil, fmt.Errorf("limits: cores %v, memory_mb %d, sockets %d: want 0 or more", config.Cores, file.Limits.MemoryMB, config.Sockets)
	}
	if config.Sockets > 0 && config.Sockets < minSockets {
		return nil, fmt.Errorf("limits: sockets %d: want at least %d", config.Sockets, minSockets)
	}
	if len(file.Settings) == 0 {
		return nil, fmt.Errorf("settings: missing")
	}
	if config.Settings, err = simconfig.Parse(file.Settings); err != nil {
		return nil, err
	}
	return config, nil
}
