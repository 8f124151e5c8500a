// Package labconfig configures the programs that test a scheduler: it derives emulated nodes from the settings of package config (NodeAt in
// node.go) and reads the scripts of fault scenarios (LoadScript in script.go). The commands call it, and the packages of experiments.
//
// The package is pure except for LoadScript, which reads a file.
package labconfig
