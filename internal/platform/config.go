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

// maxConfig bounds the configuration file, in bytes.
const maxConfig = 16 << 20

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
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxConfig+1))
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if len(text) > maxConfig {
		return nil, fmt.Errorf("configuration %s: over %d bytes", path, maxConfig)
	}
	c, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// ParseConfig reads the text of a configuration.
func ParseConfig(text []byte) (*Config, error) {
	var f struct {
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
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Bulletin, InitialEvents: f.Known, Cores: f.Limits.Cores,
		Memory: f.Limits.MemoryMB << 20, Sockets: f.Limits.Sockets}
	if c.Name == "" {
		return nil, fmt.Errorf("name: is empty")
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return nil, fmt.Errorf("bulletin: %w", err)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if !(c.Cores >= 0) || f.Limits.MemoryMB < 0 || f.Limits.MemoryMB > 1<<30 || c.Sockets < 0 {
		return nil, fmt.Errorf("limits: cores %v, memory_mb %d, sockets %d: want 0 or more", c.Cores, f.Limits.MemoryMB, c.Sockets)
	}
	if c.Sockets > 0 && c.Sockets < leastSockets {
		return nil, fmt.Errorf("limits: sockets %d: want at least %d", c.Sockets, leastSockets)
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("settings: missing")
	}
	if c.Settings, err = simconfig.Parse(f.Settings); err != nil {
		return nil, err
	}
	return c, nil
}
