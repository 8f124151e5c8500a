// Package labconfig configures what tests a scheduler: emulated nodes, derived from the settings of package config, and the scripts of fault
// scenarios.
//
// The package is pure but for LoadScript, which reads a file.
package labconfig
